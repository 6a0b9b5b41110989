"""Claims of once-only keys in the platform, by create-if-absent.

A claim lies under its day.  Creating it compares the days before and after as well, so
clocks that differ around midnight cannot claim a key twice.  A key is remembered for
one day at least.
"""

import asyncio
import hashlib

from clementinebay import errors
from clementinebay.store.base import Put

DAY_SECONDS = 86_400
#: Wait before claims whose answer was lost are written again, in seconds.
RETRY_SECONDS = 0.05
#: Most claims of one write.
BATCH = 40


def claim_key(day, key):
    """Return the platform key of the claim of ``key`` on ``day``."""
    name = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"claim/{day:06d}/{name}"


class Claim:
    """One claim; ``version`` is set once it is made, ``error`` if it is not."""

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
        """Key of the claim in the platform."""
        return claim_key(self.day, self.key)

    @property
    def compares(self):
        """What must not exist for the claim to be made."""
        days = (self.day - 1, self.day, self.day + 1)
        return [(claim_key(day, self.key), 0) for day in days]

    def settle(self, entry):
        """Take in that the key exists: an earlier write of this claim, or another's."""
        if entry is not None and entry.value == self.value:
            self.version = entry.version
        else:
            self.error = errors.DuplicateKeyError(f"key {self.key} was used before")

    def result(self):
        """Return the claim, or raise why it was not made."""
        if self.error is not None:
            raise self.error
        return self


class Claims:
    """Claims keys through a `KeyValueStore`, one key a write."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock

    def new(self, key, claimant, deadline):
        """Return a `Claim` that is not made yet."""
        day = int(self.clock.now() // DAY_SECONDS)
        return Claim(day, key, claimant, deadline)

    async def claim(self, key, claimant, deadline):
        """Claim ``key`` for ``claimant``, unique for each attempt; return the `Claim`.

        Raises `DuplicateKeyError` if it was claimed before, `KeyNotClaimedError` if the
        platform does not say so by ``deadline``.
        """
        claim = self.new(key, claimant, deadline)
        await self.write([claim])
        return claim.result()

    async def write(self, batch):
        """Make the claims of ``batch``, whose keys differ; each gets its result."""
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
                batch = self.in_time(batch, lost)
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

    def in_time(self, batch, lost):
        """Return the claims that may be written again; settle the others."""
        limit = self.clock.now() + RETRY_SECONDS
        for claim in batch:
            if claim.deadline < limit:
                claim.error = errors.KeyNotClaimedError(str(lost))
        return [claim for claim in batch if claim.deadline >= limit]

    async def release(self, claim):
        """Give back the claim of a request that did not run, if the platform answers.

        Otherwise the key stays claimed, which is safe.
        """
        path = claim.path
        try:
            await self.store.commit([(path, claim.version)], [], [(path, path + "\0")])
        except errors.PlatformError:
            pass

    async def forget_old(self):
        """Delete the claims of days that are no longer compared."""
        day = int(self.clock.now() // DAY_SECONDS)
        await self.store.commit([], [], [("claim/", f"claim/{day - 1:06d}/")])


class SharedClaims(Claims):
    """Claims that are made while a write is in progress share the next one."""

    def __init__(self, store, clock):
        super().__init__(store, clock)
        self.waiting = []
        self.writing = None

    async def claim(self, key, claimant, deadline):
        """See `Claims`."""
        claim = self.new(key, claimant, deadline)
        written = asyncio.get_running_loop().create_future()
        self.waiting.append((claim, written))
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self.write_waiting())
        await written
        return claim.result()

    async def write_waiting(self):
        """Write until nothing waits."""
        while self.waiting:
            batch = self.take_batch()
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

    def take_batch(self):
        """Take claims of different keys from those that wait."""
        batch, rest, keys = [], [], set()
        for claim, written in self.waiting:
            if claim.key in keys or len(batch) == BATCH:
                rest.append((claim, written))
            else:
                keys.add(claim.key)
                batch.append((claim, written))
        self.waiting = rest
        return batch
