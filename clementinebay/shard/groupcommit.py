"""Writes of many callers in few batches: what waits is appended together.

A library part: it needs a `ShardLog` and an event loop, and no daemon.
"""

import asyncio
import random

from clementinebay import errors
from clementinebay.shard.log import split

#: Attempts to write a batch that other writers overtake.
ATTEMPTS = 20
#: A log that was read within so long is not read again before a write, in seconds.
FRESH_SECONDS = 0.5
#: Shortest and longest pause of a writer that others overtook, in seconds.
PAUSES_SECONDS = (0.02, 0.32)
#: Factors of the pause after a batch that was overtaken, and one that was not.
LONGER, SHORTER = 2.0, 0.8


class Entry:
    """Records of one caller; ``result`` is a future of their refusals."""

    __slots__ = ("records", "still_due", "result", "attempts")

    def __init__(self, records, still_due, result):
        self.records = records
        self.still_due = still_due
        self.result = result
        self.attempts = 0


class GroupWriter:
    """Appends to ``log`` what callers hand in; a context manager that ends its task.

    While other writers overtake this one, it pauses and reads before each batch, so
    that few writes are in vain and more callers share one.
    """

    def __init__(self, log):
        self.log = log
        self.entries = []
        self.running = None
        self.pause_seconds = 0.0
        self.rng = random.Random(log.writer)

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
                if self.pause_seconds:
                    part = self.rng.uniform(0.5, 1.0)
                    await self.log.clock.sleep(part * self.pause_seconds)
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
        """Write ``entries`` in one batch; they wait again if others were faster."""
        written = True
        try:
            written = await self.try_write(entries)
        except errors.ClementineError as error:
            settle(entries, error)
            return
        finally:
            if written:
                settle(entries, errors.LogConflictError("the writer was stopped"))
        if written:
            self.succeeded()
        else:
            self.overtaken(entries)

    def succeeded(self):
        """Pause less."""
        self.pause_seconds *= SHORTER
        if self.pause_seconds < PAUSES_SECONDS[0]:
            self.pause_seconds = 0.0

    def overtaken(self, entries):
        """Pause for longer, and have ``entries`` wait for the next batch."""
        shortest, longest = PAUSES_SECONDS
        self.pause_seconds = min(max(LONGER * self.pause_seconds, shortest), longest)
        for entry in entries:
            entry.attempts += 1
        tired = [entry for entry in entries if entry.attempts >= ATTEMPTS]
        settle(tired, errors.LogConflictError("other writers were faster each time"))
        waiting = [entry for entry in entries if not entry.result.done()]
        self.entries = waiting + self.entries

    async def try_write(self, entries):
        """Write ``entries`` that are due; return whether no other writer was first."""
        log = self.log
        if self.pause_seconds:
            # A wait between the read and the write would let others overtake.
            await log.store.reserve()
        age = log.clock.now() - log.confirmed_at
        if self.pause_seconds or age > FRESH_SECONDS:
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
