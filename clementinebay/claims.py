"""Claims of once-only keys in the platform, by create-if-absent.

A claim lies under its day.  Creating it compares the days before and after as well, so
clocks that differ around midnight cannot claim a key twice.  A key is remembered for
one day at least.
"""

import hashlib

from clementinebay import errors
from clementinebay.platform.base import Put

DAY_SECONDS = 86_400
#: Wait before a claim whose answer was lost is written again, in seconds.
RETRY_SECONDS = 0.05


def claim_key(day, key):
    """Return the platform key of the claim of ``key`` on ``day``."""
    name = hashlib.blake2b(key.encode(), digest_size=16).hexdigest()
    return f"claim/{day:06d}/{name}"


class Claims:
    """Claims keys through a `KeyValueStore`."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock

    async def claim(self, key, claimant, deadline):
        """Claim ``key`` for ``claimant``, unique for each attempt to claim.

        Raises `DuplicateKeyError` if it was claimed before, `KeyNotClaimedError` if the
        platform does not say so by ``deadline``.
        """
        day = int(self.clock.now() // DAY_SECONDS)
        mine = claim_key(day, key)
        compares = [(claim_key(d, key), 0) for d in (day - 1, day, day + 1)]
        value = claimant.encode()
        while True:
            try:
                await self.store.commit(compares, [Put(mine, value)])
                return
            except errors.CompareFailedError as failure:
                if failure.entry is not None and failure.entry.value == value:
                    return
                raise errors.DuplicateKeyError(
                    f"key {key} was used before"
                ) from failure
            except errors.PlatformOutcomeUnknownError as error:
                lost = error
            except errors.PlatformError as error:
                raise errors.KeyNotClaimedError(str(error)) from error
            if self.clock.now() + RETRY_SECONDS > deadline:
                raise errors.KeyNotClaimedError(str(lost)) from lost
            await self.clock.sleep(RETRY_SECONDS)

    async def forget_old(self):
        """Delete the claims of days that are no longer compared."""
        day = int(self.clock.now() // DAY_SECONDS)
        await self.store.commit([], [], [("claim/", f"claim/{day - 1:06d}/")])
