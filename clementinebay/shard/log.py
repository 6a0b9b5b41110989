"""A shard's log in the platform: batches written by create-if-absent, and a snapshot.

Can be used without a daemon or a lease.  Any number of writers may append; of those
that write the same index, the first one succeeds.  Creating a batch also compares the
snapshot's version, so that a writer that was suspended while the log was truncated
cannot recreate a deleted index.
"""

import asyncio
import uuid
from collections import deque

from clementinebay import errors, thriftcodec
from clementinebay.shard import codec, snapshot
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import MAX_VALUE_BYTES, Put, prefix_end

#: Delay before repeating a write whose response was lost, in seconds.
RETRY_DELAY_SECONDS = 0.2
#: Maximum number of batches fetched by one read of the log.
SCAN_BATCHES = 100
#: Largest batch produced by `split`, in bytes; a larger one would delay readers.
MAX_BATCH_BYTES = 250_000
#: Maximum number of records in a batch produced by `split`.
MAX_BATCH_RECORDS = 2_000
#: Number of batches whose write time is kept to decide on truncation.
MAX_TRACKED_BATCHES = 20_000


class AppliedBatch:
    """Index and write time of an applied batch."""

    __slots__ = ("index", "written_at")

    def __init__(self, index, written_at):
        self.index = index
        self.written_at = written_at


class ShardLog:
    """Reads and appends to the log of failure domain ``domain``.

    Every batch written before ``confirmed_at`` has been applied to ``state``.
    ``writer`` identifies this process in the batches that it writes.  ``inspect``, if
    set, is called with the state after each batch.
    """

    def __init__(self, store, domain, writer, clock):
        self.store = store
        self.clock = clock
        self.writer = writer
        self.domain = domain
        self.prefix = f"shard/{domain}/log/"
        self.snapshot_key = f"shard/{domain}/snapshot"
        self.state = State()
        self.snapshot_version = 0
        self.snapshot_index = 0
        self.confirmed_at = 0.0
        self.revision = 0
        self.recent_batches = deque(maxlen=MAX_TRACKED_BATCHES)
        self.inspect = None
        self.lock = asyncio.Lock()

    def key(self, index):
        """Return the platform key of the batch at ``index``."""
        return f"{self.prefix}{index:012d}"

    # Reading

    async def load(self):
        """Restore the latest snapshot and apply every batch after it."""
        async with self.lock:
            await self.read_snapshot()
            await self.read_batches()

    async def catch_up(self):
        """Apply the batches written since the last read."""
        async with self.lock:
            if not self.confirmed_at:
                await self.read_snapshot()
            await self.read_batches()

    async def read_snapshot(self):
        """Restore the latest snapshot if it is ahead of the state."""
        entry = await self.store.get(self.snapshot_key)
        self.snapshot_version = entry.version if entry else 0
        if entry:
            image = snapshot.decode(entry.value)
            self.snapshot_index = image.index
            if image.index > self.state.index:
                self.state = snapshot.restore(image)

    async def read_batches(self):
        """Apply all batches to the end of the log.

        If an index is missing, continues from the latest snapshot.
        """
        while True:
            started_at = self.clock.now()
            entries, revision = await self.store.scan(
                self.key(self.state.index + 1), prefix_end(self.prefix), SCAN_BATCHES
            )
            try:
                self.apply(entries)
            except errors.LogGapError:
                await self.read_snapshot()
                continue
            if len(entries) < SCAN_BATCHES:
                self.confirmed_at = max(self.confirmed_at, started_at)
                self.revision = revision
                return

    async def install_snapshot(self, image, confirmed_at):
        """Restore a snapshot from a peer that read the whole log at ``confirmed_at``.

        For a reader that cannot reach the platform.  The snapshot contains only
        batches of the log, so the state stays consistent with it.
        """
        async with self.lock:
            if image.index > self.state.index:
                self.state = snapshot.restore(image)
                self.confirmed_at = max(self.confirmed_at, confirmed_at)

    async def follow(self):
        """Apply batches as they are written, until the watch fails."""
        await self.load()
        end = prefix_end(self.prefix)
        async for entries, _revision in self.store.watch(
            self.prefix, end, self.revision
        ):
            async with self.lock:
                self.apply(entries)
            yield

    def apply(self, entries):
        """Apply log ``entries`` in order, skipping those already applied.

        Raises `LogGapError` if an index is missing.
        """
        for entry in entries:
            index = int(entry.key.rpartition("/")[2])
            if entry.value is not None and index > self.state.index:
                self.apply_batch(index, codec.unpack(wire.Batch, entry.value))

    def apply_batch(self, index, batch):
        """Apply one batch; return a refusal or ``None`` for each record."""
        refusals = self.state.apply_batch(index, batch)
        self.recent_batches.append(AppliedBatch(index, batch.written_at))
        if self.inspect is not None:
            self.inspect(self.state)
        return refusals

    # Writing

    async def append(self, records, after=None):
        """Write ``records`` as one batch; return a refusal or ``None`` for each.

        With ``after``, the batch is written only at the index that follows, so that
        the state on which the caller based its records is unchanged.

        If the response is lost, the same bytes are written again; only one of the
        copies can take effect.  Raises `LogConflictError`, after catching up, if
        another writer used the index or if it is no longer known which writer did.
        Raises `ValueTooLargeError` if the records should have been divided by `split`.
        """
        async with self.lock:
            if after is not None and self.state.index != after:
                raise errors.LogConflictError(
                    f"the log has advanced past index {after}"
                )
            index = self.state.index + 1
            nonce = uuid.uuid4().hex
            started_at = self.clock.now()
            batch = wire.Batch(self.writer, nonce, started_at, records)
            await self.write(index, codec.pack(batch, MAX_VALUE_BYTES))
            self.confirmed_at = max(self.confirmed_at, started_at)
            return self.apply_batch(index, batch)

    async def write(self, index, data):
        """Create the batch at ``index``; on a conflict, catch up and raise.

        Raises `LogConflictError`.
        """
        uncertain = False
        while True:
            try:
                return await self.store.commit(
                    [(self.key(index), 0), (self.snapshot_key, self.snapshot_version)],
                    [Put(self.key(index), data)],
                )
            except errors.CompareFailedError as failure:
                if self.is_own_write(failure, index, data):
                    return None
                await self.read_snapshot()
                await self.read_batches()
                raise errors.LogConflictError(
                    f"index {index} is already in use"
                ) from failure
            except errors.PlatformOutcomeUnknownError:
                uncertain = True
            except errors.PlatformUnavailableError:
                # An earlier copy of the write may still take effect.
                if not uncertain:
                    raise
            await self.clock.sleep(RETRY_DELAY_SECONDS)

    def is_own_write(self, failure, index, data):
        """Return whether a failed comparison found ``data`` at ``index``."""
        entry = failure.entry
        return failure.key == self.key(index) and entry and entry.value == data

    # Snapshot and truncation

    async def write_snapshot(self):
        """Write the state as the new snapshot.

        Raises `LogConflictError` if another writer replaced the snapshot, and
        `ValueTooLargeError` if the platform cannot store it.
        """
        async with self.lock:
            image = snapshot.take(self.state)
            data = snapshot.encode(image)
            if len(data) > MAX_VALUE_BYTES:
                raise errors.ValueTooLargeError(
                    f"snapshot of {len(data)} bytes is too large"
                )
            try:
                version = await self.store.swap(
                    self.snapshot_key, data, self.snapshot_version
                )
            except errors.CompareFailedError as failure:
                await self.read_snapshot()
                raise errors.LogConflictError(
                    "another writer replaced the snapshot"
                ) from failure
            self.snapshot_version = version
            self.snapshot_index = image.index

    async def truncate(self, before):
        """Delete the batches written before ``before`` that the snapshot covers.

        The last batch is always kept, so that readers detect the gap.
        """
        last = None
        while (
            len(self.recent_batches) > 1
            and self.recent_batches[0].index < self.snapshot_index
            and self.recent_batches[0].written_at < before
        ):
            last = self.recent_batches.popleft().index
        if last is not None:
            await self.store.commit([], [], [(self.prefix, self.key(last + 1))])


def split(records):
    """Yield consecutive lists of ``records``, each small enough for one batch."""
    part, size = [], 0
    for record in records:
        length = len(thriftcodec.encode(record))
        if part and (size + length > MAX_BATCH_BYTES or len(part) == MAX_BATCH_RECORDS):
            yield part
            part, size = [], 0
        part.append(record)
        size += length
    if part:
        yield part
