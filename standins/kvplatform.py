"""Stand-in for the users' platform: its store, operators' keys and endpoints.

It implements the platform's published protocol over HTTP on loopback, in the event loop
of the test.  Faults are set as attributes: a nonzero ``error_status`` is returned for
every call, and the next ``unanswered_writes`` writes are executed without a response.
"""

import asyncio
import base64
import time
from urllib.parse import parse_qsl

import msgspec

from clementinebay.eventlog import ERROR, EventLog
from clementinebay.web.server import Response, Server

encode = msgspec.json.Encoder().encode
decode = msgspec.json.Decoder().decode


class Item:
    """A key with its value, revisions and lease."""

    __slots__ = ("key", "value", "rev", "create_rev", "lease")

    def __init__(self, key, value, rev, create_rev, lease):
        self.key = key
        self.value = value
        self.rev = rev
        self.create_rev = create_rev
        self.lease = lease

    def to_dict(self):
        """Return the item as represented in responses."""
        return {name: getattr(self, name) for name in self.__slots__}


class PlatformStandIn:
    """The store; an asynchronous context manager that listens on ``port``."""

    PAGE_SIZE = 3

    def __init__(self, port):
        self.address = f"127.0.0.1:{port}"
        self.server = Server(self.answer, "127.0.0.1", port, EventLog(level=ERROR + 1))
        self.items = {}
        self.events = []
        self.rev = 7
        # Revision up to which the history has been discarded.
        self.forgotten = 0
        self.leases = {}
        self.changed = asyncio.Condition()
        self.error_status = 0
        self.unanswered_writes = 0
        self.calls = []

    async def __aenter__(self):
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc):
        await self.server.__aexit__()

    # Writes by operators and endpoints

    async def put(self, key, document, lease=0):
        """Write a JSON document under ``key``."""
        value = base64.b64encode(encode(document)).decode()
        await self.write([{"key": key, "value": value, "lease": lease}], [])

    async def write(self, puts, removals):
        """Apply a change and notify watches."""
        self.rev += 1
        for put in puts:
            previous = self.items.get(put["key"])
            item = Item(
                put["key"],
                put["value"],
                self.rev,
                previous.create_rev if previous else self.rev,
                put.get("lease", 0),
            )
            self.items[item.key] = item
            self.events.append((self.rev, item.key, item.to_dict()))
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "rev": self.rev, "deleted": True}
                self.events.append((self.rev, key, event))
        async with self.changed:
            self.changed.notify_all()

    def forget_history(self):
        """Discard the history, so that watches from earlier revisions fail."""
        self.forgotten = self.rev

    async def end_lease(self, lease):
        """Revoke a lease and remove its keys."""
        self.leases.pop(lease, None)
        await self.write([], [k for k, i in self.items.items() if i.lease == lease])

    async def expire(self):
        """Revoke the expired leases."""
        for lease, (deadline, _ttl) in list(self.leases.items()):
            if time.monotonic() > deadline:
                await self.end_lease(lease)

    # Calls

    async def answer(self, request):
        """Execute a call and return the response."""
        self.calls.append((request.method, request.path))
        await self.expire()
        if self.error_status:
            return Response(self.error_status)
        query = dict(parse_qsl(request.query))
        name = request.path.split("/")[1]
        handler = getattr(self, "do_" + name.replace("-", "_"))
        response = await handler(request, query)
        if self.unanswered_writes and request.method == "POST":
            self.unanswered_writes -= 1
            await asyncio.sleep(60)
        return response

    async def do_kv_key(self, request, query):
        """Read one key."""
        item = self.items.get(query["key"])
        if item is None:
            return Response(404)
        return Response(200, encode(item.to_dict() | {"as_of": self.rev}))

    async def do_kv_range(self, request, query):
        """Read one page of the keys with a prefix."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        body = {
            "items": [self.items[key].to_dict() for key in keys[: self.PAGE_SIZE]],
            "has_more": len(keys) > self.PAGE_SIZE,
            "as_of": self.rev,
        }
        return Response(200, encode(body))

    async def do_kv_watch(self, request, query):
        """Return the events after a revision; wait for one if there are none."""
        after = int(query["after"])
        if after < self.forgotten:
            return Response(410)

        def found():
            return [
                event
                for rev, key, event in self.events
                if rev > after and key.startswith(query["prefix"])
            ]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(found)
        except TimeoutError:
            pass
        return Response(200, encode({"events": found(), "as_of": self.rev}))

    async def do_kv_txn(self, request, query):
        """Execute a transaction if the expected revisions match."""
        body = decode(request.body)
        entries = body["expected"] + body["set_keys"] + body["remove"]
        if len(entries) > 32:
            return Response(400)
        expected = {row["key"]: row["rev"] for row in body["expected"]}
        actual = {
            key: self.items[key].rev if key in self.items else 0 for key in expected
        }
        if actual != expected:
            items = [self.items[key].to_dict() for key in expected if key in self.items]
            return Response(412, encode({"items": items}))
        if any(p["lease"] and p["lease"] not in self.leases for p in body["set_keys"]):
            return Response(404)
        await self.write(body["set_keys"], body["remove"])
        return Response(200, encode({"rev": self.rev}))

    async def do_kv_lease(self, request, query):
        """Grant a lease."""
        ttl_ms = decode(request.body)["ttl_ms"]
        lease = 100 + len(self.calls)
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return Response(200, encode({"lease": lease, "ttl_ms": ttl_ms}))

    async def do_kv_keep(self, request, query):
        """Renew a lease."""
        lease = int(request.path.split("/")[2])
        if lease not in self.leases:
            return Response(404)
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return Response(200, encode({"ttl_ms": ttl_ms}))

    async def do_kv_lease_end(self, request, query):
        """Revoke a lease."""
        await self.end_lease(int(request.path.split("/")[2]))
        return Response(200)
