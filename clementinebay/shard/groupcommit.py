"""Group commit: appends the records of many callers in few batches.

Can be used without a daemon; needs only a `ShardLog` and an event loop.
"""

import asyncio
import random

from clementinebay import errors
from clementinebay.shard.log import split

#: Attempts to append an entry while other writers win the conflict.
MAX_ATTEMPTS = 20
#: The log is read again before a write if the last read is older, in seconds.
MAX_READ_AGE_SECONDS = 0.5
#: Shortest and longest pause of a writer that lost a conflict, in seconds.
PAUSE_RANGE_SECONDS = (0.02, 0.32)
#: Factors applied to the pause after a conflict and after a successful write.
PAUSE_GROWTH, PAUSE_DECAY = 2.0, 0.8


class PendingEntry:
    """Records of one caller; ``result`` is a future of one refusal per record."""

    __slots__ = ("records", "still_due", "result", "attempts")

    def __init__(self, records, still_due, result):
        self.records = records
        self.still_due = still_due
        self.result = result
        self.attempts = 0


class GroupWriter:
    """Appends records of concurrent callers to ``log`` in shared batches.

    An asynchronous context manager, which stops the background task on exit.  While
    other writers cause conflicts, it pauses and reads the log before each batch, so
    that fewer writes fail and more callers share a batch.
    """

    def __init__(self, log):
        self.log = log
        self.entries = []
        self.write_task = None
        self.pause_seconds = 0.0
        self.rng = random.Random(log.writer)

    async def write(self, records, still_due=None):
        """Append ``records`` and return a refusal or ``None`` for each.

        The records must be idempotent, because they are written again after a conflict.

        ``still_due`` is a coroutine function that returns whether the records should
        still be written.  It is called after reading the log, and the batch is written
        only if no other batch was written since that read, so that its result and the
        log's state are consistent.  If it returns false, nothing is written and the
        result is an empty list.

        Raises `PlatformError` or `ShardError`.
        """
        if not records:
            return []
        entry = PendingEntry(
            records, still_due, asyncio.get_running_loop().create_future()
        )
        self.entries.append(entry)
        if self.write_task is None:
            self.write_task = asyncio.create_task(self.run())
        return await entry.result

    async def run(self):
        """Write batches until no entry is queued."""
        try:
            while self.entries:
                if self.pause_seconds:
                    jitter = self.rng.uniform(0.5, 1.0)
                    await self.log.clock.sleep(jitter * self.pause_seconds)
                entries, self.entries = self.entries, []
                try:
                    await self.write_entries(entries)
                finally:
                    fail_pending(entries, errors.LogConflictError("writer stopped"))
        finally:
            self.write_task = None

    async def write_entries(self, entries):
        """Write ``entries`` in as many batches as their size requires."""
        records = [record for entry in entries for record in entry.records]
        sizes = [len(batch) for batch in split(records)]
        for size in sizes:
            group = []
            while entries and size > 0:
                size -= len(entries[0].records)
                group.append(entries.pop(0))
            if group:
                await self.write_group(group)

    async def write_group(self, entries):
        """Write ``entries`` in one batch; queue them again after a conflict."""
        written = True
        try:
            written = await self.try_write(entries)
        except errors.ClementineError as error:
            fail_pending(entries, error)
            return
        finally:
            if written:
                fail_pending(entries, errors.LogConflictError("writer stopped"))
        if written:
            self.shorten_pause()
        else:
            self.requeue(entries)

    def shorten_pause(self):
        """Shorten the pause after a successful write."""
        self.pause_seconds *= PAUSE_DECAY
        if self.pause_seconds < PAUSE_RANGE_SECONDS[0]:
            self.pause_seconds = 0.0

    def requeue(self, entries):
        """Lengthen the pause and queue ``entries`` for the next batch.

        Entries that have used up their attempts fail instead.
        """
        shortest, longest = PAUSE_RANGE_SECONDS
        self.pause_seconds = min(
            max(PAUSE_GROWTH * self.pause_seconds, shortest), longest
        )
        for entry in entries:
            entry.attempts += 1
        exhausted = [entry for entry in entries if entry.attempts >= MAX_ATTEMPTS]
        fail_pending(
            exhausted, errors.LogConflictError("too many conflicts with other writers")
        )
        waiting = [entry for entry in entries if not entry.result.done()]
        self.entries = waiting + self.entries

    async def try_write(self, entries):
        """Write the entries that are still due; return false after a conflict."""
        log = self.log
        if self.pause_seconds:
            # Waits for the rate limit here rather than between the read and the write,
            # where a delay makes a conflict more likely.
            await log.store.reserve()
        age = log.clock.now() - log.confirmed_at
        if self.pause_seconds or age > MAX_READ_AGE_SECONDS:
            await log.catch_up()
        after = log.state.index
        due = [entry for entry in entries if not entry.result.done()]
        conditional = [entry for entry in due if entry.still_due is not None]
        still_wanted = await asyncio.gather(
            *(entry.still_due() for entry in conditional)
        )
        for entry, wanted in zip(conditional, still_wanted, strict=True):
            if not wanted:
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
        if self.write_task is not None:
            self.write_task.cancel()
            await asyncio.gather(self.write_task, return_exceptions=True)
        fail_pending(self.entries, errors.LogConflictError("writer closed"))


def fail_pending(entries, error):
    """Raise ``error`` in the callers of ``entries`` that still wait."""
    for entry in entries:
        if not entry.result.done():
            entry.result.set_exception(error)
