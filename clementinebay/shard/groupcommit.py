"""Writes of many callers in few batches: what waits is appended together.

A library part: it needs a `ShardLog` and an event loop, and no daemon.
"""

import asyncio

from clementinebay import errors
from clementinebay.shard.log import split

#: Attempts to write a batch that other writers overtake.
ATTEMPTS = 20
#: A log that was read within so long is not read again before a write, in seconds.
FRESH_SECONDS = 0.5


class Entry:
    """Records of one caller; ``result`` is a future of their refusals."""

    __slots__ = ("records", "still_due", "result")

    def __init__(self, records, still_due, result):
        self.records = records
        self.still_due = still_due
        self.result = result


class GroupWriter:
    """Appends to ``log`` what callers hand in; a context manager that ends its task."""

    def __init__(self, log):
        self.log = log
        self.entries = []
        self.running = None

    async def write(self, records, still_due=None):
        """Append ``records`` and return one refusal or ``None`` for each.

        The records must be idempotent, for they are written again after a conflict.
        ``still_due`` is a coroutine function that tells whether the records are still
        to be written.  It is asked after the log was read, and the batch is written
        only if nothing was written since, so its word and the log's state hold
        together.  Returns an empty list if they are not due any more.  Raises
        `PlatformError` and `ShardError`.
        """
        if not records:
            return []
        entry = Entry(records, still_due, asyncio.get_running_loop().create_future())
        self.entries.append(entry)
        if self.running is None:
            self.running = asyncio.create_task(self.run())
        return await entry.result

    async def run(self):
        """Write until nothing waits."""
        try:
            while self.entries:
                entries, self.entries = self.entries, []
                try:
                    await self.write_entries(entries)
                finally:
                    settle(entries, errors.LogConflictError("the writer was stopped"))
        finally:
            self.running = None

    async def write_entries(self, entries):
        """Write ``entries`` in as many batches as their size asks for."""
        records = [record for entry in entries for record in entry.records]
        sizes = [len(part) for part in split(records)]
        for size in sizes:
            group = []
            while entries and size > 0:
                size -= len(entries[0].records)
                group.append(entries.pop(0))
            if group:
                await self.write_group(group)

    async def write_group(self, entries):
        """Write ``entries`` in one batch and settle them."""
        try:
            for _attempt in range(ATTEMPTS):
                if await self.try_write(entries):
                    return
            raise errors.LogConflictError("other writers were faster each time")
        except errors.ClementineError as error:
            settle(entries, error)
        finally:
            settle(entries, errors.LogConflictError("the writer was stopped"))

    async def try_write(self, entries):
        """Write ``entries`` that are due; return whether no other writer was first."""
        log = self.log
        if log.clock.now() - log.confirmed_at > FRESH_SECONDS:
            await log.catch_up()
        after = log.state.index
        due = [entry for entry in entries if not entry.result.done()]
        asked = [entry for entry in due if entry.still_due is not None]
        words = await asyncio.gather(*(entry.still_due() for entry in asked))
        for entry, word in zip(asked, words, strict=True):
            if not word:
                entry.result.set_result([])
        due = [entry for entry in due if not entry.result.done()]
        records = [record for entry in due for record in entry.records]
        if not records:
            return True
        try:
            refusals = await log.append(records, after)
        except errors.LogConflictError:
            return False
        for entry in due:
            count = len(entry.records)
            if not entry.result.done():
                entry.result.set_result(refusals[:count])
            refusals = refusals[count:]
        return True

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        if self.running is not None:
            self.running.cancel()
            await asyncio.gather(self.running, return_exceptions=True)
        settle(self.entries, errors.LogConflictError("the writer was closed"))


def settle(entries, error):
    """Fail the callers of ``entries`` that still wait."""
    for entry in entries:
        if not entry.result.done():
            entry.result.set_exception(error)
