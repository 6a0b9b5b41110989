"""Claims of once-only keys in the platform, by create-if-absent.

A claim lies under its day.  Creating it compares the days before and after as well, so
clocks that differ around midnight cannot claim a key twice.  A key is remembered for
one day at least.  Claims that are made while a write is in progress share the next one.
"""

import asyncio
import hashlib

from clementinebay import errors
from clementinebay.platform.base import Put

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
    """One claim; ``version`` is that of its entry once it is made."""

    __slots__ = ("day", "key", "value", "deadline", "version", "made")

    def __init__(self, day, key, claimant, deadline):
        self.day = day
        self.key = key
        self.value = claimant.encode()
        self.deadline = deadline
        self.version = 0
        self.made = asyncio.get_running_loop().create_future()

    @property
    def path(self):
        """Key of the claim in the platform."""
        return claim_key(self.day, self.key)

    @property
    def compares(self):
        """What must not exist for the claim to be made."""
        days = (self.day - 1, self.day, self.day + 1)
        return [(claim_key(day, self.key), 0) for day in days]

    def settle(self, error=None):
        """Tell the claimant the result."""
        if self.made.done():
            return
        if error is None:
            self.made.set_result(self)
        else:
            self.made.set_exception(error)


class Claims:
    """Claims keys through a `KeyValueStore`."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.waiting = []
        self.writing = None

    async def claim(self, key, claimant, deadline):
        """Claim ``key`` for ``claimant``, unique for each attempt; return the `Claim`.

        Raises `DuplicateKeyError` if it was claimed before, `KeyNotClaimedError` if the
        platform does not say so by ``deadline``.
        """
        day = int(self.clock.now() // DAY_SECONDS)
        claim = Claim(day, key, claimant, deadline)
        self.waiting.append(claim)
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self.write_all())
        return await claim.made

    async def write_all(self):
        """Write claims until none waits."""
        while self.waiting:
            batch = []
            while self.waiting and len(batch) < BATCH:
                claim = self.waiting.pop(0)
                if any(claim.key == other.key for other in batch):
                    claim.settle(errors.DuplicateKeyError("the key is used twice"))
                else:
                    batch.append(claim)
            try:
                await self.write(batch)
            except Exception as error:
                for claim in batch:
                    claim.settle(errors.KeyNotClaimedError(repr(error)))
                if not isinstance(error, errors.PlatformError):
                    raise

    async def write(self, batch):
        """Write one batch; leave out the claims that cannot be made."""
        while batch:
            compares = [compare for claim in batch for compare in claim.compares]
            puts = [Put(claim.path, claim.value) for claim in batch]
            try:
                version = await self.store.commit(compares, puts)
            except errors.CompareFailedError as failure:
                found = [c for c in batch if (failure.key, 0) in c.compares]
                batch = [claim for claim in batch if claim not in found]
                for claim in found:
                    self.settle(claim, failure.entry)
            except errors.PlatformOutcomeUnknownError as lost:
                batch = self.in_time(batch, lost)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                for claim in batch:
                    claim.version = version
                    claim.settle()
                return

    def settle(self, claim, entry):
        """Settle a claim whose key exists: an earlier write, or another's claim."""
        if entry is not None and entry.value == claim.value:
            claim.version = entry.version
            claim.settle()
        else:
            claim.settle(errors.DuplicateKeyError(f"key {claim.key} was used before"))

    def in_time(self, batch, lost):
        """Return the claims that may be written again; settle the others."""
        limit = self.clock.now() + RETRY_SECONDS
        for claim in batch:
            if claim.deadline < limit:
                claim.settle(errors.KeyNotClaimedError(str(lost)))
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
