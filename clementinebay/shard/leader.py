"""Election of one scheduler for a shard, by a lease of the platform.

The lease only saves work: the log keeps its promises with any number of writers.
"""

from clementinebay import errors

#: A lease that another holds is looked at again after this share of its time.
LOOK_AGAIN_SHARE = 0.125
#: The same while the holder says so itself.
LOOK_AGAIN_SHARE_KNOWN = 0.5


class LeaderLease:
    """Holds key ``shard/<domain>/leader`` for ``holder`` while it is renewed.

    ``held_until`` is the deadline in seconds; the lease is renewed from the middle of
    its time on.
    """

    def __init__(self, store, domain, holder, ttl, clock):
        self.store = store
        self.key = f"shard/{domain}/leader"
        self.holder = holder
        self.ttl = ttl
        self.clock = clock
        self.lease = 0
        self.held_until = 0.0
        self.seen_taken_at = 0.0

    @property
    def held(self):
        """Whether the lease is held at this time."""
        return self.clock.now() < self.held_until

    async def hold(self, known=False):
        """Acquire or renew the lease if it is time; return whether it is held.

        ``known`` tells that another says of itself that it holds the lease, so that it
        need not be read as often.
        """
        now = self.clock.now()
        if now < self.held_until - self.ttl / 2:
            return True
        share = LOOK_AGAIN_SHARE_KNOWN if known else LOOK_AGAIN_SHARE
        if now < self.seen_taken_at + self.ttl * share:
            return False
        try:
            if not self.lease or not await self.store.keep_alive(self.lease):
                await self.acquire()
            self.held_until = now + self.ttl
        except errors.CompareFailedError:
            self.held_until = 0.0
            self.seen_taken_at = now
        except errors.PlatformError:
            pass
        return self.held

    async def acquire(self):
        """Create the key under a new lease; raise `CompareFailedError` if it exists.

        The key may be there from a try whose answer was lost; its lease then tells.
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
        """End the lease so that another may take it at once."""
        lease, self.lease, self.held_until = self.lease, 0, 0.0
        if lease:
            try:
                await self.store.revoke(lease)
            except errors.PlatformError:
                pass
