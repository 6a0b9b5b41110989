"""Claims of once-only keys in the platform, made by create-if-absent.

A claim is stored under its day.  Creating one also compares the keys of the previous
and the next day, so clocks that differ around midnight cannot claim a key twice.  A
claimed key is remembered for at least one day.
"""

import asyncio
import hashlib

from clementinebay import errors
from clementinebay.store.base import Put

DAY_SECONDS = 86_400
#: Delay before a write whose response was lost is retried, in seconds.
RETRY_SECONDS = 0.05
#: Maximum number of claims in one write.
MAX_BATCH_SIZE = 40


def claim_key(day, key):
    """Return the store key of the claim of ``key`` on ``day``."""
    name = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"claim/{day:06d}/{name}"


class Claim:
    """A claim; ``version`` is set once it succeeded, ``error`` if it failed."""

    __slots__ = ("day", "key", "value", "deadline", "version", "error")

    def __init__(self, day, key, claimant, deadline):
        self.day = day
        self.key = key
        self.value = claimant.encode()
        self.deadline = deadline
        self.version = 0
        self.error = None

    @property
    def path(self):
        """Store key of the claim."""
        return claim_key(self.day, self.key)

    @property
    def compares(self):
        """Comparisons that must hold: the key is unclaimed on all three days."""
        days = (self.day - 1, self.day, self.day + 1)
        return [(claim_key(day, self.key), 0) for day in days]

    def settle(self, entry):
        """Handle an existing claim, found as ``entry``.

        It may be this claim, if the response to an earlier write was lost.
        """
        if entry is not None and entry.value == self.value:
            self.version = entry.version
        else:
            self.error = errors.DuplicateKeyError(f"key {self.key} was used before")

    def result(self):
        """Return the claim, or raise the error with which it failed."""
        if self.error is not None:
            raise self.error
        return self


class Claims:
    """Claims keys in a `KeyValueStore`, one key per write."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock

    def new(self, key, claimant, deadline):
        """Return a `Claim` that is not yet written."""
        day = int(self.clock.now() // DAY_SECONDS)
        return Claim(day, key, claimant, deadline)

    async def claim(self, key, claimant, deadline):
        """Claim ``key`` for ``claimant``, unique per attempt; return the `Claim`.

        Raises `DuplicateKeyError` if the key was already claimed, `KeyNotClaimedError`
        if the platform does not confirm the claim by ``deadline``.
        """
        claim = self.new(key, claimant, deadline)
        await self.write([claim])
        return claim.result()

    async def write(self, batch):
        """Write the claims of ``batch``, whose keys differ, and settle each of them."""
        while batch:
            compares = [compare for claim in batch for compare in claim.compares]
            puts = [Put(claim.path, claim.value) for claim in batch]
            try:
                version = await self.store.commit(compares, puts)
            except errors.CompareFailedError as failure:
                found = [c for c in batch if (failure.key, 0) in c.compares]
                batch = [claim for claim in batch if claim not in found]
                for claim in found:
                    claim.settle(failure.entry)
            except errors.PlatformOutcomeUnknownError as lost:
                batch = self.retryable(batch, lost)
                if batch:
                    await self.clock.sleep(RETRY_SECONDS)
            except errors.PlatformError as error:
                for claim in batch:
                    claim.error = errors.KeyNotClaimedError(str(error))
                return
            else:
                for claim in batch:
                    claim.version = version
                return

    def retryable(self, batch, lost):
        """Return the claims with time left for another write; fail the others."""
        retry_at = self.clock.now() + RETRY_SECONDS
        for claim in batch:
            if claim.deadline < retry_at:
                claim.error = errors.KeyNotClaimedError(str(lost))
        return [claim for claim in batch if claim.deadline >= retry_at]

    async def release(self, claim):
        """Release the claim of a request that was not executed.

        If the platform fails, the key stays claimed, which is safe.
        """
        path = claim.path
        try:
            await self.store.commit([(path, claim.version)], [], [(path, path + "\0")])
        except errors.PlatformError:
            pass

    async def delete_expired(self):
        """Delete the claims of days that are no longer compared."""
        day = int(self.clock.now() // DAY_SECONDS)
        await self.store.commit([], [], [("claim/", f"claim/{day - 1:06d}/")])


class SharedClaims(Claims):
    """Groups claims that are made during a write into the next write."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.waiting = []
        self.write_task = None

    async def claim(self, key, claimant, deadline):
        """See `Claims`."""
        claim = self.new(key, claimant, deadline)
        written = asyncio.get_running_loop().create_future()
        self.waiting.append((claim, written))
        if self.write_task is None or self.write_task.done():
            self.write_task = asyncio.create_task(self.write_waiting())
        await written
        return claim.result()

    async def write_waiting(self):
        """Write waiting claims in batches until none are left."""
        while self.waiting:
            batch = self.next_batch()
            try:
                await self.write([claim for claim, _written in batch])
            except Exception as error:
                for claim, _written in batch:
                    claim.error = errors.KeyNotClaimedError(repr(error))
                raise
            finally:
                for _claim, written in batch:
                    if not written.done():
                        written.set_result(None)

    def next_batch(self):
        """Remove the next batch of claims, with distinct keys, from ``waiting``."""
        batch, rest, keys = [], [], set()
        for claim, written in self.waiting:
            if claim.key in keys or len(batch) == MAX_BATCH_SIZE:
                rest.append((claim, written))
            else:
                keys.add(claim.key)
                batch.append((claim, written))
        self.waiting = rest
        return batch
