"""Client of the platform's key-value store, as a `KeyValueStore`."""

import asyncio
import base64
import time
from urllib.parse import quote

import msgspec

from clementinebay import decoding, errors, metrics
from clementinebay.store.base import Entry, KeyValueStore, prefix_end

#: Timeout of a call, in seconds.  It allows for a store at sixty times its usual
#: latency of 4 ms and for the network.
CALL_TIMEOUT_SECONDS = 1.2
#: Longest time for one page of a scan, in seconds.  A page may have 1 MB, which takes
#: 1.7 s on an idle link of 5 Mbit/s.  A page of which no byte arrives for
#: `CALL_TIMEOUT_SECONDS` fails earlier.
MAX_PAGE_SECONDS = 20.0
#: Number of times that a page is requested before its scan fails.  The pages before it
#: are kept, so that a scan of many pages does not begin anew with each failure.
PAGE_ATTEMPTS = 3
#: Wait before a page is requested again, in seconds.
PAGE_RETRY_SECONDS = 0.1
#: Time for which a watch request waits for a change, in seconds.  A dead connection is
#: detected if the request does not end within this time and the timeout of a call.
WATCH_WAIT_SECONDS = 1.5

WATCH = "kv-watch"
OK = 200
NOT_FOUND = 404
GONE = 410
PRECONDITION_FAILED = 412
#: Statuses of calls that had no effect.
NO_EFFECT = (429, 503)

#: Longest answer that is decoded, in bytes.  The store ends a page after about 1 MB.
MAX_ANSWER_BYTES = 33_554_432

_encode = msgspec.json.Encoder().encode


class Item(msgspec.Struct):
    """A key, or its deletion; ``rev`` is 0 for a key that does not exist."""

    key: str
    rev: int | None = 0
    value: str | None = None
    lease: int | str | None = 0
    deleted: bool | int = False


class Page(msgspec.Struct):
    """A page of the items with a prefix."""

    items: list[Item]
    as_of: int
    has_more: bool | int


class Changes(msgspec.Struct):
    """Changes of the items with a prefix."""

    events: list[Item]
    as_of: int


class Written(msgspec.Struct):
    """The answer to a write."""

    rev: int


class Conflict(msgspec.Struct):
    """The items with which a write was compared."""

    items: list[Item] = []


class Lease(msgspec.Struct):
    """The answer to the grant of a lease."""

    lease: int | str


class Renewal(msgspec.Struct):
    """The answer to the renewal of a lease."""

    ttl_ms: float


_DECODERS = {
    kind: decoding.Decoder(kind, MAX_ANSWER_BYTES)
    for kind in (Item, Page, Changes, Written, Conflict, Lease, Renewal)
}


def _entry(item):
    """Return the `Entry` of an `Item`; the value of a deleted item is ``None``.

    Raises `PlatformUnavailableError` if it cannot be read.
    """
    if item.rev and item.deleted:
        return Entry(item.key, None, item.rev)
    try:
        if not item.rev or item.value is None:
            raise ValueError("no revision or value")
        value = base64.b64decode(item.value)
    except ValueError as error:
        raise errors.PlatformUnavailableError(f"{item.key}: {error}") from error
    return Entry(item.key, value, item.rev, item.lease or 0)


def _range_prefix(start, end):
    """Return the prefix equivalent to a key range; the store supports no others."""
    if end != prefix_end(start):
        raise ValueError(f"{start!r} to {end!r} is not a prefix")
    return start


class PlatformStore(KeyValueStore):
    """Client of the store at ``address`` ("host:port")."""

    def __init__(self, client, address):
        self.client = client
        self.address = address

    async def call(
        self, method, path, body=None, seconds=CALL_TIMEOUT_SECONDS, max_seconds=0.0
    ):
        """Return the `Answer` to a call; raise `PlatformError` if it was not served.

        See `Client.call` for ``max_seconds``.
        """
        data = None if body is None else _encode(body)
        kind = path.split("?")[0].split("/")[1]
        started_at = time.perf_counter()
        result = "unanswered"
        try:
            answer = await self.client.call(
                self.address, method, path, seconds, data, max_seconds=max_seconds
            )
            result = str(answer.status)
        except errors.CallNotSentError as error:
            result = "not-sent"
            raise errors.PlatformUnavailableError(str(error)) from error
        except errors.CallUnansweredError as error:
            if method == "GET":
                raise errors.PlatformUnavailableError(str(error)) from error
            raise errors.PlatformOutcomeUnknownError(str(error)) from error
        finally:
            metrics.STORE_CALLS.labels(kind, result).inc()
        if kind != WATCH:
            metrics.STORE_SECONDS.labels(kind).observe(time.perf_counter() - started_at)
        if answer.status in NO_EFFECT:
            raise errors.PlatformUnavailableError(f"{path}: {answer.status}")
        return answer

    def decode_success(self, answer, path, kind):
        """Return the decoded body; raise `PlatformError` unless the status is OK."""
        if answer.status != OK:
            raise errors.PlatformError(f"{path}: status {answer.status}")
        return self.decode(answer, path, kind)

    def decode(self, answer, path, kind):
        """Return the body as a ``kind``; raise `PlatformUnavailableError`."""
        try:
            return _DECODERS[kind].decode(answer.body)
        except errors.UnreadableError as error:
            text = f"{path}: {error.reason}"
            raise errors.PlatformUnavailableError(text) from error

    def decode_written(self, answer, path, kind):
        """Return the body of the answer to a successful write.

        A write whose answer cannot be read has an unknown outcome.
        """
        try:
            return self.decode_success(answer, path, kind)
        except errors.PlatformUnavailableError as error:
            raise errors.PlatformOutcomeUnknownError(str(error)) from error

    async def get(self, key):
        """Return the `Entry` at ``key``, or ``None``."""
        path = f"/kv-key?key={quote(key, safe='')}"
        answer = await self.call("GET", path)
        if answer.status == NOT_FOUND:
            return None
        return _entry(self.decode_success(answer, path, Item))

    async def scan(self, start, end, limit=0):
        """Return all entries of a prefix, and the revision from which to watch.

        Pages do not belong to one snapshot, so the revision is that of the first page.
        """
        base = f"/kv-range?prefix={quote(_range_prefix(start, end), safe='')}"
        entries, after, revision = [], "", None
        while True:
            path = base + (f"&after={quote(after, safe='')}" if after else "")
            page = await self.read_page(path, PAGE_ATTEMPTS if after else 1)
            entries += [_entry(item) for item in page.items]
            revision = page.as_of if revision is None else revision
            if not page.has_more or (limit and len(entries) >= limit):
                return entries, revision
            after = entries[-1].key

    async def read_page(self, path, attempts):
        """Return a `Page`, requested at most ``attempts`` times."""
        while True:
            attempts -= 1
            try:
                answer = await self.call("GET", path, max_seconds=MAX_PAGE_SECONDS)
                page = self.decode_success(answer, path, Page)
            except errors.PlatformUnavailableError:
                if not attempts:
                    raise
                await asyncio.sleep(PAGE_RETRY_SECONDS)
                continue
            if page.has_more and not page.items:
                raise errors.PlatformUnavailableError(f"{path}: an empty page")
            return page

    async def commit(self, compares, puts=(), deletes=()):
        """Write atomically and return the new revision; ``deletes`` are single keys."""
        body = {
            "expected": [{"key": key, "rev": version} for key, version in compares],
            "set_keys": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in puts
            ],
            "remove": [start for start, _end in deletes],
        }
        answer = await self.call("POST", "/kv-txn", body)
        if answer.status == PRECONDITION_FAILED:
            conflict = self.decode(answer, "/kv-txn", Conflict)
            self.raise_compare_failed(compares, conflict.items)
        if answer.status == NOT_FOUND:
            raise errors.LeaseGoneError("the lease of a write has ended")
        return self.decode_written(answer, "/kv-txn", Written).rev

    def raise_compare_failed(self, compares, items):
        """Raise `CompareFailedError` for the first key with another version."""
        found = {}
        for item in items:
            if item.rev and not item.deleted:
                found[item.key] = _entry(item)
        for key, version in compares:
            entry = found.get(key)
            if (0 if entry is None else entry.version) != version:
                raise errors.CompareFailedError(key, entry)
        raise errors.CompareFailedError(compares[0][0], found.get(compares[0][0]))

    async def grant(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds."""
        answer = await self.call("POST", "/kv-lease", {"ttl_ms": round(ttl * 1000)})
        return self.decode_written(answer, "/kv-lease", Lease).lease

    async def keep_alive(self, lease):
        """Renew ``lease``; return its time to live in seconds, 0 if it has expired."""
        path = f"/kv-keep/{lease}"
        answer = await self.call("POST", path, {})
        if answer.status == NOT_FOUND:
            return 0
        return self.decode_written(answer, path, Renewal).ttl_ms / 1000

    async def revoke(self, lease):
        """Revoke ``lease``, which deletes its keys."""
        await self.call("DELETE", f"/kv-lease-end/{lease}")

    async def watch(self, start, end, revision):
        """Yield (changed entries, revision), without entries if nothing has changed."""
        prefix = quote(_range_prefix(start, end), safe="")
        wait_ms = round(WATCH_WAIT_SECONDS * 1000)
        while True:
            path = f"/kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}"
            answer = await self.call(
                "GET", path, None, WATCH_WAIT_SECONDS + CALL_TIMEOUT_SECONDS
            )
            if answer.status == GONE:
                raise errors.HistoryGoneError(start)
            changes = self.decode_success(answer, path, Changes)
            revision = changes.as_of
            yield [_entry(item) for item in changes.events], revision
