"""Client of etcd's version 3 API through its JSON gateway.

See the "gRPC gateway" page of etcd's documentation.  Keys and values are encoded as
base64 and 64-bit integers as strings; fields with their default value are omitted; a
watch is one streaming POST.  An error response carries an HTTP status and the error
message of the service.
"""

import base64

import msgspec

from clementinebay import decoding, errors
from clementinebay.store.base import Entry, KeyValueStore
from clementinebay.store.session import CALL_ERRORS, NOT_SENT_ERRORS, Session

#: A watch that receives nothing for longer is considered broken, in seconds.
WATCH_SILENCE_SECONDS = 30.0
#: Status of an unavailable service, which may have started to execute the call.
UNAVAILABLE_STATUS = 503
#: Statuses of calls that were rejected without any effect.
REJECTED_STATUSES = (429,)
NOT_FOUND_STATUS = 404
#: Prefix of the error message of an unavailable service that did not execute the call.
NO_LEADER_PREFIX = "etcdserver: no leader"
#: Longest line of a watch, in bytes.
WATCH_LINE_BYTES = 16_000_000
#: Longest answer that is decoded, in bytes; answers are not paged.
MAX_ANSWER_BYTES = 268_435_456

_decoder = decoding.Decoder(dict, MAX_ANSWER_BYTES)


def _encode(data):
    return base64.b64encode(data.encode() if isinstance(data, str) else data).decode()


def _decode(text):
    return base64.b64decode(text)


def _entry(item):
    return Entry(
        _decode(item["key"]).decode(),
        _decode(item.get("value", "")),
        int(item["mod_revision"]),
        int(item.get("lease", 0)),
    )


def _key_range(start, end):
    return {"key": _encode(start), "range_end": _encode(end)}


class EtcdStore(KeyValueStore):
    """Key-value store at ``url``; calls time out after ``timeout`` seconds."""

    def __init__(self, url, timeout):
        self.url = url.rstrip("/")
        self.session = Session(timeout)

    async def call(self, path, body):
        """POST ``body`` and return the decoded response."""
        try:
            async with self.session.open().post(
                self.url + path, data=msgspec.json.encode(body), allow_redirects=False
            ) as response:
                status, content = response.status, await response.read()
        except NOT_SENT_ERRORS as error:
            raise errors.PlatformUnavailableError(
                f"{path} not sent: {error!r}"
            ) from error
        except CALL_ERRORS as error:
            raise errors.PlatformOutcomeUnknownError(f"{path}: {error!r}") from error
        if status != 200:
            raise _failure(path, status, content)
        try:
            return _decoder.decode(content)
        except errors.UnreadableError as error:
            raise errors.PlatformOutcomeUnknownError(
                f"{path}: {error.reason}"
            ) from error

    async def get(self, key):
        """See `KeyValueStore`."""
        answer = await self.call("/v3/kv/range", {"key": _encode(key)})
        items = answer.get("kvs", ())
        return _entry(items[0]) if items else None

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        body = {**_key_range(start, end), "limit": str(limit)}
        answer = await self.call("/v3/kv/range", body)
        entries = [_entry(item) for item in answer.get("kvs", ())]
        return entries, int(answer["header"]["revision"])

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        answer = await self.call("/v3/kv/txn", _transaction(compares, puts, deletes))
        if not answer.get("succeeded"):
            self.raise_compare_failure(compares, answer)
        return int(answer["header"]["revision"])

    @staticmethod
    def raise_compare_failure(compares, answer):
        """Raise `CompareFailedError` for the first comparison that did not match."""
        for (key, version), result in zip(compares, answer["responses"], strict=True):
            items = result["response_range"].get("kvs", ())
            entry = _entry(items[0]) if items else None
            if (entry.version if entry else 0) != version:
                raise errors.CompareFailedError(key, entry)
        raise errors.CompareFailedError(compares[0][0], None)

    async def grant(self, ttl):
        """See `KeyValueStore`."""
        return int((await self.call("/v3/lease/grant", {"TTL": str(ttl)}))["ID"])

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        answer = await self.call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer["result"].get("TTL", 0))

    async def revoke(self, lease):
        """See `KeyValueStore`."""
        try:
            await self.call("/v3/lease/revoke", {"ID": str(lease)})
        except errors.LeaseGoneError:
            pass

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        key_range = {**_key_range(start, end), "start_revision": str(revision + 1)}
        body = msgspec.json.encode({"create_request": key_range})
        try:
            async with self.session.open().post(
                self.url + "/v3/watch",
                data=body,
                timeout=self.session.watch_timeout(WATCH_SILENCE_SECONDS),
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    raise errors.PlatformUnavailableError("watch rejected")
                async for line in _lines(response.content):
                    yield _changes(line)
        except (*CALL_ERRORS, errors.UnreadableError) as error:
            raise errors.PlatformUnavailableError(f"watch failed: {error!r}") from error
        raise errors.PlatformUnavailableError("watch ended")

    async def close(self):
        """See `KeyValueStore`."""
        await self.session.close()


def _transaction(compares, puts, deletes):
    return {
        "compare": [
            {
                "key": _encode(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(version),
            }
            for key, version in compares
        ],
        "success": [{"request_delete_range": _key_range(s, e)} for s, e in deletes]
        + [
            {
                "request_put": {
                    "key": _encode(put.key),
                    "value": _encode(put.value),
                    "lease": str(put.lease),
                }
            }
            for put in puts
        ],
        "failure": [
            {"request_range": {"key": _encode(key)}} for key, _version in compares
        ],
    }


def _failure(path, status, content):
    """Return the error to raise for a response of ``status``."""
    try:
        message = str(_decoder.decode(content).get("error", ""))
    except errors.UnreadableError:
        message = ""
    text = f"{path}: {status} {message}"
    if status in REJECTED_STATUSES or (
        status == UNAVAILABLE_STATUS and message.startswith(NO_LEADER_PREFIX)
    ):
        return errors.PlatformUnavailableError(text)
    if status == NOT_FOUND_STATUS and "lease" in message:
        return errors.LeaseGoneError(text)
    return errors.PlatformOutcomeUnknownError(text)


async def _lines(stream):
    """Yield the non-empty lines of ``stream``.

    Raises `PlatformUnavailableError` if an incomplete line exceeds `WATCH_LINE_BYTES`.
    """
    parts = []
    size = 0
    async for data in stream.iter_any():
        *complete_lines, remainder = data.split(b"\n")
        for end in complete_lines:
            line = b"".join((*parts, end))
            parts, size = [], 0
            if line:
                yield line
        parts.append(remainder)
        size += len(remainder)
        if size > WATCH_LINE_BYTES:
            raise errors.PlatformUnavailableError("a line of the watch is too long")


def _changes(line):
    result = _decoder.decode(line)["result"]
    if result.get("canceled"):
        raise errors.LogGapError("watch starts at a compacted revision")
    entries = []
    for event in result.get("events", ()):
        entry = _entry(event["kv"])
        if event.get("type") == "DELETE":
            entry.value = None
        entries.append(entry)
    return entries, int(result["header"]["revision"])
