"""The key-value service over the JSON gateway of etcd's version 3 interface.

Source: the "gRPC gateway" page of etcd's documentation.  Keys and values are base64,
64-bit integers are texts, a watch is one streaming POST.
"""

import base64

import httpx
import msgspec

from clementinebay import errors
from clementinebay.platform.base import Entry, KeyValueStore

#: Longest silence on a watch before it is opened again, in seconds.
WATCH_SILENCE_SECONDS = 30.0
#: Connections that one daemon keeps to the platform.
CONNECTIONS = 16

#: Failures that prove that no byte of the call was sent.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


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


def _span(start, end):
    return {"key": _encode(start), "range_end": _encode(end)}


class EtcdStore(KeyValueStore):
    """A client of the service at ``url``; calls end after ``timeout`` seconds."""

    def __init__(self, url, timeout):
        limits = httpx.Limits(max_connections=CONNECTIONS)
        self.client = httpx.AsyncClient(base_url=url, timeout=timeout, limits=limits)

    async def call(self, path, body):
        """POST ``body`` and return the decoded answer."""
        try:
            response = await self.client.post(path, content=msgspec.json.encode(body))
        except NOT_SENT as error:
            raise errors.PlatformUnavailableError(
                f"{path} not sent: {error!r}"
            ) from error
        except httpx.HTTPError as error:
            raise errors.PlatformOutcomeUnknownError(f"{path}: {error!r}") from error
        if response.status_code == 503:
            raise errors.PlatformUnavailableError(f"{path} refused")
        if response.status_code != 200:
            raise errors.PlatformOutcomeUnknownError(f"{path}: {response.status_code}")
        try:
            return msgspec.json.decode(response.content)
        except msgspec.DecodeError as error:
            raise errors.PlatformOutcomeUnknownError(f"{path}: cut answer") from error

    async def get(self, key):
        """See `KeyValueStore`."""
        answer = await self.call("/v3/kv/range", {"key": _encode(key)})
        items = answer.get("kvs", ())
        return _entry(items[0]) if items else None

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        body = {**_span(start, end), "limit": str(limit)}
        answer = await self.call("/v3/kv/range", body)
        entries = [_entry(item) for item in answer.get("kvs", ())]
        return entries, int(answer["header"]["revision"])

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        answer = await self.call("/v3/kv/txn", _transaction(compares, puts, deletes))
        if not answer.get("succeeded"):
            self.raise_failed(compares, answer)
        return int(answer["header"]["revision"])

    @staticmethod
    def raise_failed(compares, answer):
        """Raise `CompareFailedError` for the first comparison that does not hold."""
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
        await self.call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        span = {**_span(start, end), "start_revision": str(revision + 1)}
        body = msgspec.json.encode({"create_request": span})
        timeout = httpx.Timeout(self.client.timeout.connect, read=WATCH_SILENCE_SECONDS)
        try:
            async with self.client.stream(
                "POST", "/v3/watch", content=body, timeout=timeout
            ) as response:
                if response.status_code != 200:
                    raise errors.PlatformUnavailableError("watch refused")
                async for line in response.aiter_lines():
                    if line:
                        yield _changes(line)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            raise errors.PlatformUnavailableError(f"watch broke: {error!r}") from error
        raise errors.PlatformUnavailableError("watch ended")

    async def close(self):
        """See `KeyValueStore`."""
        await self.client.aclose()


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
        "success": [{"request_delete_range": _span(s, e)} for s, e in deletes]
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


def _changes(line):
    result = msgspec.json.decode(line)["result"]
    if result.get("canceled"):
        raise errors.LogGapError("the watch starts before the oldest kept revision")
    entries = []
    for event in result.get("events", ()):
        entry = _entry(event["kv"])
        if event.get("type") == "DELETE":
            entry.value = None
        entries.append(entry)
    return entries, int(result["header"]["revision"])
