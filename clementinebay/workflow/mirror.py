"""Keeps track of all keys under a prefix of the key-value service."""

import asyncio
import random

from clementinebay import errors
from clementinebay.store.base import prefix_end

#: First and longest wait after a failed call, in seconds.
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8


class Mirror:
    """Calls ``replace`` with all entries and then ``update`` with each change.

    ``replace`` gets a list of `Entry`, ``update`` a single `Entry`, whose value is
    ``None`` if the key was deleted.  ``confirmed_at`` is when the last successful call
    was sent, in seconds of ``clock``; ``loaded`` is set after the first call of
    ``replace``.
    """

    def __init__(self, store, prefix, replace, update, clock, log):
        self.store = store
        self.prefix = prefix
        self.replace = replace
        self.update = update
        self.clock = clock
        self.log = log
        self.loaded = asyncio.Event()
        self.confirmed_at = float("-inf")
        self.revision = None
        self.failures = 0

    async def run(self):
        """Load the prefix and follow its changes until cancelled."""
        while True:
            try:
                if self.revision is None:
                    await self.load()
                await self.follow()
            except errors.HistoryGoneError:
                self.log.info("mirror.history_gone", prefix=self.prefix)
                self.revision = None
            except errors.PlatformError as error:
                await self.back_off(error)
            except Exception:
                # A change could not be applied, and would be given again and again.
                self.revision = None
                raise

    async def back_off(self, error):
        """Wait after a failed call; log the first failure in a row."""
        self.failures += 1
        if self.failures == 1:
            self.log.warning(
                "mirror.interrupted",
                prefix=self.prefix,
                error=error.code,
                why=str(error),
            )
        delay = min(RETRY_SECONDS * 2 ** min(self.failures, 8), MAX_RETRY_SECONDS)
        await asyncio.sleep(delay * random.uniform(0.5, 1.0))

    async def load(self):
        """Read all entries under the prefix."""
        asked_at = self.clock.now()
        entries, revision = await self.store.scan(self.prefix, prefix_end(self.prefix))
        self.replace(entries)
        self.revision = revision
        self.confirm(asked_at)
        self.loaded.set()

    async def follow(self):
        """Apply changes until the watch fails."""
        asked_at = self.clock.now()
        watch = self.store.watch(self.prefix, prefix_end(self.prefix), self.revision)
        async for entries, revision in watch:
            for entry in entries:
                self.update(entry)
            self.revision = revision
            self.confirm(asked_at)
            asked_at = self.clock.now()

    def confirm(self, asked_at):
        """Record the success of a call that was sent at ``asked_at``."""
        self.confirmed_at = asked_at
        if self.failures:
            self.log.info("mirror.resumed", prefix=self.prefix, failures=self.failures)
            self.failures = 0
