"""A shard's log in the platform: batches written by create-if-absent, and a snapshot.

The log needs no daemon and no lease: any number of writers may append, and the next
free index decides between them.  A batch is created only together with a comparison of
the snapshot's version, so a writer that slept while the log was truncated cannot
create a deleted index again.
"""

import asyncio
import uuid
from collections import deque

from clementinebay import errors, thriftcodec
from clementinebay.shard import codec, snapshot
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import MAX_VALUE_BYTES, Put, prefix_end

#: Wait before a write whose answer was lost is written again, in seconds.
REWRITE_SECONDS = 0.2
#: Most batches that one read of the log fetches.
SCAN_LIMIT = 100
#: Largest batch, in bytes; small enough that readers are not held up by one.
MAX_BATCH_BYTES = 250_000
#: Most records of a batch.
MAX_BATCH_RECORDS = 2_000
#: Batches whose time of writing is remembered for the truncation.
KEPT_BATCHES = 20_000


class Origin:
    """Where the state came from, for the log's own bookkeeping of one batch."""

    __slots__ = ("index", "written_at")

    def __init__(self, index, written_at):
        self.index = index
        self.written_at = written_at


class ShardLog:
    """Reads and appends the log of failure domain ``domain``.

    ``confirmed_at`` is the time before which every batch of the log is applied to
    ``state``.  ``writer`` names this process in the batches that it writes.
    ``inspect`` is called with the state after each batch.
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
        self.kept = deque(maxlen=KEPT_BATCHES)
        self.inspect = None
        self.lock = asyncio.Lock()

    def key(self, index):
        """Return the platform key of the batch at ``index``."""
        return f"{self.prefix}{index:012d}"

    # Reading

    async def load(self):
        """Take the newest snapshot and apply every batch after it."""
        async with self.lock:
            await self.read_snapshot()
            await self.read_batches()

    async def catch_up(self):
        """Apply the batches that were written since the last read."""
        async with self.lock:
            if not self.confirmed_at:
                await self.read_snapshot()
            await self.read_batches()

    async def read_snapshot(self):
        """Take the newest snapshot if it is ahead of the state."""
        entry = await self.store.get(self.snapshot_key)
        self.snapshot_version = entry.version if entry else 0
        if entry:
            image = snapshot.decode(entry.value)
            self.snapshot_index = image.index
            if image.index > self.state.index:
                self.state = snapshot.restore(image)

    async def read_batches(self):
        """Read to the end of the log; over a gap, from the newest snapshot."""
        while True:
            asked_at = self.clock.now()
            entries, revision = await self.store.scan(
                self.key(self.state.index + 1), prefix_end(self.prefix), SCAN_LIMIT
            )
            try:
                self.apply(entries)
            except errors.LogGapError:
                await self.read_snapshot()
                continue
            if len(entries) < SCAN_LIMIT:
                self.confirmed_at = max(self.confirmed_at, asked_at)
                self.revision = revision
                return

    async def install_snapshot(self, image, confirmed_at):
        """Take a snapshot from a peer that read the log to its end at ``confirmed_at``.

        For a reader that cannot reach the platform; it changes nothing that the log
        will not say again.
        """
        async with self.lock:
            if image.index > self.state.index:
                self.state = snapshot.restore(image)
                self.confirmed_at = max(self.confirmed_at, confirmed_at)

    async def follow(self):
        """Apply batches as they are written, until the watch breaks."""
        await self.load()
        end = prefix_end(self.prefix)
        async for entries, _revision in self.store.watch(
            self.prefix, end, self.revision
        ):
            async with self.lock:
                self.apply(entries)
            yield

    def apply(self, entries):
        """Apply log ``entries`` in order; ones already applied are passed over.

        Raises `LogGapError` where an index is missing.
        """
        for entry in entries:
            index = int(entry.key.rpartition("/")[2])
            if entry.value is not None and index > self.state.index:
                self.apply_batch(index, codec.unpack(wire.Batch, entry.value))

    def apply_batch(self, index, batch):
        """Apply one batch and return its refusals."""
        refusals = self.state.apply_batch(index, batch)
        self.kept.append(Origin(index, batch.written_at))
        if self.inspect is not None:
            self.inspect(self.state)
        return refusals

    # Writing

    async def append(self, records, after=None):
        """Write ``records`` as one batch; return a refusal or ``None`` for each.

        Raises `LogConflictError` after catching up if another writer was first, or if
        it cannot be told any more who was.  A lost answer is settled by writing the
        same bytes again: only one of the copies can take effect.  With ``after``, the
        batch is written only right after that index; what the caller has read since
        then is still true of this log.  Raises `ValueTooLargeError` for what `split`
        should have split.
        """
        async with self.lock:
            if after is not None and self.state.index != after:
                raise errors.LogConflictError(f"the log went past index {after}")
            index = self.state.index + 1
            nonce = uuid.uuid4().hex
            asked_at = self.clock.now()
            batch = wire.Batch(self.writer, nonce, asked_at, records)
            await self.write(index, codec.pack(batch, MAX_VALUE_BYTES))
            self.confirmed_at = max(self.confirmed_at, asked_at)
            return self.apply_batch(index, batch)

    async def write(self, index, data):
        """Create the batch at ``index``, or catch up and raise `LogConflictError`."""
        uncertain = False
        while True:
            try:
                return await self.store.commit(
                    [(self.key(index), 0), (self.snapshot_key, self.snapshot_version)],
                    [Put(self.key(index), data)],
                )
            except errors.CompareFailedError as failure:
                if self.wrote(failure, index, data):
                    return None
                await self.read_snapshot()
                await self.read_batches()
                raise errors.LogConflictError(f"index {index} is taken") from failure
            except errors.PlatformOutcomeUnknownError:
                uncertain = True
            except errors.PlatformUnavailableError:
                # An earlier copy of the write may still take effect.
                if not uncertain:
                    raise
            await self.clock.sleep(REWRITE_SECONDS)

    def wrote(self, failure, index, data):
        """Return whether the entry found shows that ``data`` is at ``index``."""
        entry = failure.entry
        return failure.key == self.key(index) and entry and entry.value == data

    # Snapshot and truncation

    async def write_snapshot(self):
        """Write the state as a snapshot; raise `LogConflictError` if another did.

        Raises `ValueTooLargeError` if the platform cannot hold it.
        """
        async with self.lock:
            image = snapshot.take(self.state)
            data = snapshot.encode(image)
            if len(data) > MAX_VALUE_BYTES:
                raise errors.ValueTooLargeError(f"snapshot of {len(data)} bytes")
            try:
                version = await self.store.swap(
                    self.snapshot_key, data, self.snapshot_version
                )
            except errors.CompareFailedError as failure:
                await self.read_snapshot()
                raise errors.LogConflictError(
                    "another snapshot was written"
                ) from failure
            self.snapshot_version = version
            self.snapshot_index = image.index

    async def truncate(self, before):
        """Delete batches written before ``before`` that the snapshot covers.

        The last batch is always kept, so that a reader notices a gap.
        """
        last = None
        while (
            len(self.kept) > 1
            and self.kept[0].index < self.snapshot_index
            and self.kept[0].written_at < before
        ):
            last = self.kept.popleft().index
        if last is not None:
            await self.store.commit([], [], [(self.prefix, self.key(last + 1))])


def split(records):
    """Yield lists of ``records``, in order, each small enough for one batch."""
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
