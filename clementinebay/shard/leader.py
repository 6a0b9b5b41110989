"""Leader election among the daemons of a shard, by a lease of the platform.

The lease only avoids duplicate work; the log is correct with any number of writers.
"""

from clementinebay import errors

#: Fraction of the lease's duration after which a lease of another holder is read again.
RECHECK_FRACTION = 0.125
#: The same while the holder itself reports that it holds the lease.
RECHECK_FRACTION_KNOWN_HOLDER = 0.5


class LeaderLease:
    """A lease on key ``shard/<domain>/leader``, acquired and renewed for ``holder``.

    ``ttl`` is its duration in seconds and ``held_until`` the time at which it expires.
    `hold` renews it once half of its duration has passed.
    """

    def __init__(self, store, domain, holder, ttl, clock):
        self.store = store
        self.key = f"shard/{domain}/leader"
        self.holder = holder
        self.ttl = ttl
        self.clock = clock
        self.lease = 0
        self.held_until = 0.0
        self.seen_held_at = 0.0

    @property
    def held(self):
        """Whether the lease is held now."""
        return self.clock.now() < self.held_until

    async def hold(self, holder_known=False):
        """Acquire the lease, or renew it when due; return whether it is held.

        ``holder_known`` means that another daemon reports itself as the holder; the
        lease is then read less often.
        """
        now = self.clock.now()
        if now < self.held_until - self.ttl / 2:
            return True
        fraction = RECHECK_FRACTION_KNOWN_HOLDER if holder_known else RECHECK_FRACTION
        if now < self.seen_held_at + self.ttl * fraction:
            return False
        try:
            if not self.lease or not await self.store.keep_alive(self.lease):
                await self.acquire()
            self.held_until = now + self.ttl
        except errors.CompareFailedError:
            self.held_until = 0.0
            self.seen_held_at = now
        except errors.PlatformError:
            pass
        return self.held

    async def acquire(self):
        """Create the key with a new lease; raise `CompareFailedError` if it exists.

        The key may exist from an earlier attempt of this holder whose response was
        lost; the lease attached to it is then used.
        """
        entry = await self.store.get(self.key)
        if entry is None:
            lease = await self.store.grant(max(1, round(self.ttl)))
            await self.store.create(self.key, self.holder.encode(), lease)
        elif entry.value == self.holder.encode() and entry.lease:
            lease = entry.lease
            if not await self.store.keep_alive(lease):
                raise errors.CompareFailedError(self.key, entry)
        else:
            raise errors.CompareFailedError(self.key, entry)
        self.lease = lease

    async def resign(self):
        """Revoke the lease so that another holder can acquire it immediately."""
        lease, self.lease, self.held_until = self.lease, 0, 0.0
        if lease:
            try:
                await self.store.revoke(lease)
            except errors.PlatformError:
                pass
