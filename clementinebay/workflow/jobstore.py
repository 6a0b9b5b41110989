"""Jobs, their progress and the scheduler's term in the key-value service.

    clementine/jobs/ID          a job as submitted, created once by any daemon
    clementine/jobs/ID/cancel   marks the job as cancelled by its client
    clementine/progress/ID      its progress, written by the scheduler only
    clementine/term/holder      the current scheduler, attached to its lease
    clementine/term/number      the number of the term and of the last write in it
    clementine/term/endpoints   endpoints that the scheduler may have used
    clementine/term/addresses   their addresses, starts and services, for a successor
    clementine/term/leases      until when leases may last, for a successor
    clementine/learned          slowdown of replicas by fillers, for a successor
    clementine/pending          number of jobs without a started task, by queue
    clementine/secret           proves to a daemon that another one relays a request
    clementine/backlog          what waits, attached to the scheduler's lease

The scheduler's writes form a chain: each compares the version that the previous write
left at ``term/number``.  Therefore a write whose answer was lost cannot take effect
after a later write, and no write takes effect once another scheduler holds the term.
"""

import asyncio
import contextlib
import secrets

import msgspec

from clementinebay import decoding, errors
from clementinebay.policy.backlog import Backlog
from clementinebay.store.base import Put, prefix_end
from clementinebay.workflow.job import JobState, Progress
from clementinebay.workflow.leases import LeaseRecord
from clementinebay.workflow.model import JobSpec
from clementinebay.workflow.organisations import ANYONE
from clementinebay.workflow.starting import StartingRecord

JOBS = "clementine/jobs/"
CANCEL = "/cancel"
PROGRESS = "clementine/progress/"
TERM = "clementine/term/"
HOLDER = TERM + "holder"
NUMBER = TERM + "number"
ENDPOINTS = TERM + "endpoints"
ADDRESSES = TERM + "addresses"
LEASES = TERM + "leases"
STARTING = TERM + "starting"
PENDING = "clementine/pending"
LEARNED = "clementine/learned"
BACKLOG = "clementine/backlog"
SECRET = "clementine/secret"

#: Greatest number of records in one transaction of the scheduler.  The service accepts
#: 32 entries per transaction.
RECORDS_PER_WRITE = 24
#: Greatest number of tasks in a job that is read.  Daemons accept fewer; those of
#: earlier builds accepted any number.
MAX_STORED_TASKS = 1_000_000
#: Length of the daemons' secret, in bytes.
SECRET_BYTES = 32
#: Wait before repeating a write whose answer was lost, in seconds.
LOST_ANSWER_RETRY_SECONDS = 0.1


class Holder(msgspec.Struct):
    """The daemon that schedules.

    ``token`` is unique to each attempt to become the scheduler, ``front`` the
    "host:port" at which the daemon serves clients.
    """

    node: str
    token: str
    front: str = ""


class StoredAddress(msgspec.Struct, array_like=True, frozen=True):
    """Where an endpoint in use is asked for its runs.

    ``born_ms`` is the start of its incarnation, ``service`` whose endpoint it is.
    Earlier builds do not store the service; it is "" then.
    """

    address: str
    born_ms: decoding.WholeNumber
    service: str = ""


class TermNumber(msgspec.Struct):
    """The number of the term and the number of writes made in it."""

    number: int
    token: str
    writes: int


_encode = msgspec.json.Encoder().encode
_spec_decoder = decoding.Decoder(JobSpec)
_progress_decoder = decoding.Decoder(Progress)
_holder_decoder = decoding.Decoder(Holder)
_number_decoder = decoding.Decoder(TermNumber)
_counts_decoder = decoding.Decoder(dict[str, int])
_learned_decoder = decoding.Decoder(list[tuple[str, str, float, float]])
_domains_decoder = decoding.Decoder(dict[str, str])
_backlog_decoder = decoding.Decoder(Backlog)
_leases_decoder = decoding.Decoder(LeaseRecord)
_starting_decoder = decoding.Decoder(StartingRecord)
_addresses_decoder = decoding.Decoder(dict[str, StoredAddress])


def decode_entry(decoder, entry):
    """Return the value of an `Entry`; raise `EntryInvalidError`."""
    try:
        return decoder.decode(entry.value)
    except errors.UnreadableError as error:
        raise errors.EntryInvalidError(entry.key, error.reason) from error


def job_id_of(key):
    """Return the job id of a key, and whether the key is the job's cancellation."""
    name = key[len(JOBS) :]
    if name.endswith(CANCEL):
        return name[: -len(CANCEL)], True
    return name, False


def decode_spec(entry):
    """Return the `JobSpec` of an entry; raise `EntryInvalidError`.

    It is checked as far as a job that cannot be true would end each term.
    """
    spec = decode_entry(_spec_decoder, entry)
    problem = None
    if spec.id != job_id_of(entry.key)[0]:
        problem = "the id of another job"
    elif not spec.steps or any(not step.count for step in spec.steps):
        problem = "no tasks"
    elif sum(step.count for step in spec.steps) > MAX_STORED_TASKS:
        problem = "too many tasks"
    elif any(
        not 0 <= earlier < number
        for number, step in enumerate(spec.steps)
        for earlier in step.after
    ):
        problem = "not after an earlier step"
    if problem:
        raise errors.EntryInvalidError(entry.key, problem)
    return spec


def decode_holder(entry):
    """Return the `Holder` of an entry; raise `EntryInvalidError`."""
    return decode_entry(_holder_decoder, entry)


def is_usable(entry, caller):
    """Return whether the `Caller` may use the job of an entry as submitted.

    Without its entry it cannot be told whose job it is.
    """
    return entry is not None and caller.may_use(decode_spec(entry).organisation)


class JobStore:
    """The reads and writes open to any daemon; raises the errors of `KeyValueStore`.

    Reads raise `EntryInvalidError` if what they find cannot be decoded.
    """

    def __init__(self, store):
        self.store = store
        self.backlog = Backlog()
        self.backlog_version = 0

    async def submit(self, spec, caller=ANYONE):
        """Store a job unless its id exists already; return whether it was new.

        The submission counts as accepted in both cases, so a client may repeat it.
        Raises `BacklogChangedError` if ``backlog`` was not the newest; it is now, and
        `JobOwnedError` if the job of that id is not one that the `Caller` may use.
        """
        key = JOBS + spec.id
        compares = [(key, 0), (BACKLOG, self.backlog_version)]
        try:
            await self.store.commit(compares, [Put(key, _encode(spec))])
        except errors.CompareFailedError as error:
            if error.key == key:
                if caller.is_restricted and not is_usable(error.entry, caller):
                    raise errors.JobOwnedError(spec.id) from error
                return False
            self.take_backlog(error.entry)
            raise errors.BacklogChangedError from error
        return True

    def take_backlog(self, entry):
        """Take in the entry of the backlog; one that cannot be read counts as none."""
        self.backlog, self.backlog_version = Backlog(), 0
        if entry is not None:
            self.backlog_version = entry.version
            # An unreadable one, as of a later build, must not keep jobs out.
            with contextlib.suppress(errors.EntryInvalidError):
                self.backlog = decode_entry(_backlog_decoder, entry)

    async def read_backlog(self):
        """Read the newest backlog."""
        self.take_backlog(await self.store.get(BACKLOG))

    async def find(self, job_id):
        """Return the entry of a job as submitted, or ``None``."""
        return await self.store.get(JOBS + job_id)

    async def cancel(self, job_id, caller=ANYONE):
        """Mark a job as cancelled.

        Raises `JobUnknownError` if there is none that the `Caller` may use.
        """
        entry = await self.find(job_id)
        if entry is None:
            raise errors.JobUnknownError(job_id)
        if caller.is_restricted and not is_usable(entry, caller):
            raise errors.JobUnknownError(job_id)
        key = JOBS + job_id
        try:
            await self.store.commit(
                [(key, entry.version), (key + CANCEL, 0)], [Put(key + CANCEL, b"{}")]
            )
        except errors.CompareFailedError as error:
            if error.key == key:
                raise errors.JobUnknownError(job_id) from error

    async def progress(self, job_id, caller=ANYONE):
        """Return the `Progress` of a job.

        Raises `JobUnknownError` if there is none that the `Caller` may use.
        """
        entry = await self.store.get(PROGRESS + job_id)
        if entry is not None:
            progress = decode_entry(_progress_decoder, entry)
        else:
            entry = await self.find(job_id)
            if entry is None:
                raise errors.JobUnknownError(job_id)
            progress = Progress(state=JobState.QUEUED)
            if caller.is_restricted:
                progress.organisation = decode_spec(entry).organisation
        if not caller.may_use(progress.organisation):
            raise errors.JobUnknownError(job_id)
        return progress

    async def pending(self):
        """Return the number of jobs without a started task, by queue."""
        entry = await self.store.get(PENDING)
        return {} if entry is None else decode_entry(_counts_decoder, entry)

    async def relay_secret(self):
        """Return the secret of the daemons of this installation, created if needed."""
        entry = await self.store.get(SECRET)
        if entry is None:
            secret = secrets.token_hex(SECRET_BYTES).encode()
            try:
                await self.store.create(SECRET, secret)
                return secret
            except errors.CompareFailedError as error:
                entry = error.entry
        if entry is None or not entry.value:
            raise errors.EntryInvalidError(SECRET, "no value")
        return entry.value

    async def all_progress(self):
        """Return the `Progress` of all jobs by id, and why others cannot be read."""
        entries, _revision = await self.store.scan(PROGRESS, prefix_end(PROGRESS))
        found, unreadable = {}, {}
        for entry in entries:
            job_id = entry.key[len(PROGRESS) :]
            try:
                found[job_id] = decode_entry(_progress_decoder, entry)
            except errors.EntryInvalidError as error:
                unreadable[job_id] = error.reason
        return found, unreadable

    async def learned_weights(self):
        """Return the stored rows of `Pressure.export`."""
        entry = await self.store.get(LEARNED)
        return [] if entry is None else decode_entry(_learned_decoder, entry)

    async def used_endpoints(self):
        """Return the endpoints that may have been used, as two dictionaries by id.

        The first has their failure domains, the second their `StoredAddress` as far as
        it is known.
        """
        entry = await self.store.get(ENDPOINTS)
        if entry is None:
            return {}, {}
        domains = decode_entry(_domains_decoder, entry)
        addresses = await self.store.get(ADDRESSES)
        # A scheduler of an earlier build writes the domains only.
        if addresses is None or addresses.version != entry.version:
            return domains, {}
        try:
            return domains, decode_entry(_addresses_decoder, addresses)
        except errors.EntryInvalidError:
            return domains, {}

    async def lease_record(self, term):
        """Return the `LeaseRecord` of all terms up to ``term``, or ``None``.

        A scheduler of an earlier build writes none.
        """
        return await read_leases(self.store, term)

    async def starting_record(self, term):
        """Return the `StartingRecord` of all terms up to ``term``, or ``None``."""
        return await read_starting(self.store, term)


class TermWriter:
    """Makes the writes of one scheduler in its term.

    ``fence`` increases from term to term, and ``lease`` is the leader lease.  Writes
    raise `NotLeaderError` once the term is over.
    """

    def __init__(self, store, token, number, fence, version, lease=0):
        self.store = store
        self.lease = lease
        self.token = token
        self.number = number
        self.fence = fence
        self.version = version
        self.writes = 0

    async def commit(self, puts, deletes=()):
        """Write atomically, after all earlier writes of the term.

        A write whose answer was lost is repeated until its outcome is known, because it
        may still take effect.
        """
        self.writes += 1
        mark = Put(NUMBER, _encode(TermNumber(self.number, self.token, self.writes)))
        answer_lost = False
        while True:
            try:
                return await self.write_once([mark, *puts], deletes)
            except errors.PlatformOutcomeUnknownError:
                answer_lost = True
            except errors.PlatformUnavailableError:
                if not answer_lost:
                    self.writes -= 1
                    raise
            await asyncio.sleep(LOST_ANSWER_RETRY_SECONDS)

    async def write_once(self, puts, deletes):
        """Try the write once; an earlier try of the same write may have succeeded."""
        compares = [(HOLDER, self.fence), (NUMBER, self.version)]
        try:
            self.version = await self.store.commit(compares, puts, deletes)
        except errors.CompareFailedError as error:
            entry = await self.store.get(NUMBER)
            found = None if entry is None else decode_entry(_number_decoder, entry)
            if not self.is_last_write(found):
                raise errors.NotLeaderError(HOLDER) from error
            self.version = entry.version

    def is_last_write(self, found):
        """Return whether the `TermNumber` was stored by the term's last write."""
        return (
            found is not None
            and found.token == self.token
            and found.writes == self.writes
        )

    async def save(
        self, records, endpoints=None, addresses=None, leases=None, starting=None
    ):
        """Store (job id, `Progress`) pairs, and what else is given.

        ``endpoints`` are the endpoints in use, ``addresses`` has their `StoredAddress`
        by id, ``leases`` is a `LeaseRecord`, ``starting`` a `StartingRecord`.
        """
        puts = [
            Put(PROGRESS + job_id, _encode(progress)) for job_id, progress in records
        ]
        if endpoints is not None:
            puts.append(Put(ENDPOINTS, _encode(endpoints)))
            puts.append(Put(ADDRESSES, _encode(addresses or {})))
        if leases is not None:
            puts.append(Put(LEASES, _encode(leases)))
        if starting is not None:
            puts.append(Put(STARTING, _encode(starting)))
        await self.commit(puts)


def pending_put(counts):
    """Return the write that stores the number of pending jobs by queue."""
    return Put(PENDING, _encode(counts))


def backlog_put(backlog, lease):
    """Return the write that states the `Backlog` for as long as ``lease`` lasts."""
    return Put(BACKLOG, _encode(backlog), lease)


def learned_put(rows):
    """Return the write that stores rows of `Pressure.export`."""
    return Put(LEARNED, _encode(rows))


def job_key_ranges(job_ids):
    """Return the key ranges that hold the records of jobs."""
    keys = []
    for job_id in job_ids:
        keys += [JOBS + job_id, JOBS + job_id + CANCEL, PROGRESS + job_id]
    return [(key, key + "\0") for key in keys]


async def read_leases(store, term):
    """Return the `LeaseRecord` that was stored in ``term``, or ``None``."""
    # Without a record, leases are taken to be the longest.
    return await read_record(store, LEASES, _leases_decoder, term)


async def read_starting(store, term):
    """Return the `StartingRecord` that was stored in ``term``, or ``None``."""
    # Without a record, any job is taken to have a start in progress.
    return await read_record(store, STARTING, _starting_decoder, term)


async def read_record(store, key, decoder, term):
    """Return the record at ``key`` if it was stored in ``term``, else ``None``.

    A record that cannot be read counts as that of an earlier build, which has none.
    """
    entry = await store.get(key)
    if entry is None:
        return None
    try:
        record = decode_entry(decoder, entry)
    except errors.EntryInvalidError:
        return None
    return record if record.term == term else None


async def acquire_term(store, node, front, token, ttl):
    """Become the scheduler; return the `TermWriter` and the lease.

    Raises `NotLeaderError` if another daemon is the scheduler, `EntryInvalidError` if
    that cannot be told, and the errors of `KeyValueStore`.
    """
    holder = await store.get(HOLDER)
    if holder is not None:
        if decode_holder(holder).token != token:
            raise errors.NotLeaderError(HOLDER)
        number = await store.get(NUMBER)
        found = decode_entry(_number_decoder, number)
        writer = TermWriter(
            store, token, found.number, holder.version, number.version, holder.lease
        )
        return writer, holder.lease
    last = await store.get(NUMBER)
    number = 0 if last is None else decode_entry(_number_decoder, last).number + 1
    leases = await read_leases(store, number - 1)
    starting = await read_starting(store, number - 1)
    lease = await store.grant(ttl)
    compares = [(HOLDER, 0), (NUMBER, 0 if last is None else last.version)]
    puts = [
        Put(HOLDER, _encode(Holder(node, token, front)), lease),
        Put(NUMBER, _encode(TermNumber(number, token, 0))),
    ]
    # The new term grants no lease and starts no job beyond these before it has stored
    # its own.
    for key, record in ((LEASES, leases), (STARTING, starting)):
        if record is not None:
            record.term = number
            puts.append(Put(key, _encode(record)))
    try:
        revision = await store.commit(compares, puts)
    except errors.CompareFailedError as error:
        raise errors.NotLeaderError(HOLDER) from error
    return TermWriter(store, token, number, revision, revision, lease), lease
