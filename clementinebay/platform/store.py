"""The platform's key-value store as a `KeyValueStore`."""

import base64
import time
from urllib.parse import quote

import msgspec

from clementinebay import errors, metrics
from clementinebay.store.base import Entry, KeyValueStore, prefix_end

#: Longest wait for an answer, in seconds: the store at sixty times its usual 4 ms, and
#: the way there and back.
CALL_SECONDS = 1.2
#: How long a watch waits for a change, in seconds.  A connection that has gone silent
#: is noticed when the watch does not end in time.
WATCH_SECONDS = 1.5

WATCH = "kv-watch"
OK = 200
NOT_FOUND = 404
GONE = 410
FAILED_CONDITION = 412
#: Statuses that say that nothing was done.
REFUSED = (429, 503)

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder().decode


def _entry(item):
    """Return the `Entry` of an item; a deleted one has the value ``None``."""
    if item.get("deleted"):
        return Entry(item["key"], None, item["rev"])
    value = base64.b64decode(item["value"])
    return Entry(item["key"], value, item["rev"], item.get("lease", 0))


def _span_prefix(start, end):
    """Return the prefix whose keys the span holds; the store knows no other spans."""
    if end != prefix_end(start):
        raise ValueError(f"{start!r} to {end!r} is not a prefix")
    return start


class PlatformStore(KeyValueStore):
    """A client of the store at ``address`` ("host:port")."""

    def __init__(self, client, address):
        self.client = client
        self.address = address

    async def call(self, method, path, body=None, seconds=CALL_SECONDS):
        """Return the `Answer`; raise `PlatformError` if the store did not serve."""
        data = None if body is None else _encode(body)
        kind = path.split("?")[0].split("/")[1]
        began = time.perf_counter()
        result = "unanswered"
        try:
            answer = await self.client.call(self.address, method, path, seconds, data)
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
            metrics.STORE_SECONDS.labels(kind).observe(time.perf_counter() - began)
        if answer.status in REFUSED:
            raise errors.PlatformUnavailableError(f"{path}: {answer.status}")
        return answer

    def checked(self, answer, path):
        """Return the decoded body of a successful answer."""
        if answer.status != OK:
            raise errors.PlatformError(f"{path}: status {answer.status}")
        return _decode(answer.body)

    async def get(self, key):
        """Return the `Entry` at ``key``, or ``None``."""
        path = f"/kv-key?key={quote(key, safe='')}"
        answer = await self.call("GET", path)
        if answer.status == NOT_FOUND:
            return None
        return _entry(self.checked(answer, path))

    async def scan(self, start, end, limit=0):
        """Return all entries of a prefix, and the revision from which to watch.

        Pages are not a snapshot, so the revision is that of the first page.
        """
        base = f"/kv-range?prefix={quote(_span_prefix(start, end), safe='')}"
        entries, after, revision = [], "", None
        while True:
            path = base + (f"&after={quote(after, safe='')}" if after else "")
            page = self.checked(await self.call("GET", path), path)
            entries += [_entry(item) for item in page["items"]]
            revision = page["as_of"] if revision is None else revision
            if not page["has_more"] or (limit and len(entries) >= limit):
                return entries, revision
            after = entries[-1].key

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
        if answer.status == FAILED_CONDITION:
            self.raise_compare_failed(compares, _decode(answer.body))
        if answer.status == NOT_FOUND:
            raise errors.LeaseGoneError("the lease of a write has ended")
        return self.checked(answer, "/kv-txn")["rev"]

    def raise_compare_failed(self, compares, body):
        """Raise `CompareFailedError` with the first key that differs."""
        found = {}
        for item in body.get("items", ()):
            if item.get("rev") and not item.get("deleted"):
                found[item["key"]] = _entry(item)
        for key, version in compares:
            entry = found.get(key)
            if (0 if entry is None else entry.version) != version:
                raise errors.CompareFailedError(key, entry)
        raise errors.CompareFailedError(compares[0][0], found.get(compares[0][0]))

    async def grant(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds."""
        answer = await self.call("POST", "/kv-lease", {"ttl_ms": round(ttl * 1000)})
        return self.checked(answer, "/kv-lease")["lease"]

    async def keep_alive(self, lease):
        """Renew ``lease`` and return its seconds to live, 0 if it is gone."""
        path = f"/kv-keep/{lease}"
        answer = await self.call("POST", path, {})
        if answer.status == NOT_FOUND:
            return 0
        return self.checked(answer, path)["ttl_ms"] / 1000

    async def revoke(self, lease):
        """End ``lease`` and delete its keys."""
        await self.call("DELETE", f"/kv-lease-end/{lease}")

    async def watch(self, start, end, revision):
        """Yield (entries, revision) again and again, without entries in quiet times."""
        prefix = quote(_span_prefix(start, end), safe="")
        wait_ms = round(WATCH_SECONDS * 1000)
        while True:
            path = f"/kv-watch?prefix={prefix}&after={revision}&wait_ms={wait_ms}"
            answer = await self.call("GET", path, None, WATCH_SECONDS + CALL_SECONDS)
            if answer.status == GONE:
                raise errors.HistoryGoneError(start)
            body = self.checked(answer, path)
            revision = body["as_of"]
            yield [_entry(item) for item in body["events"]], revision
