"""Stand-in for the platform's store, by the page on its protocol.

It loses nothing and is linearizable.  Each daemon has a port of its own, so that faults
can be limited to one daemon: ``faults`` maps a port to "silent" (no response), "busy"
(503) or "reset", or to nothing.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qsl

from lib2.wire import ConnectionResetByServerError, HttpServer

HISTORY_SECONDS = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
MAX_ENTRIES = 32
ANSWER_SECONDS = 0.004


class Store:
    """Items, leases, history and watches."""

    def __init__(self, host, ports):
        self.servers = [
            HttpServer(lambda call, port=port: self.answer(call, port), host, port)
            for port in ports
        ]
        self.faults = {}
        self.items = {}
        self.events = []
        self.rev = 100
        self.forgotten = 0
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.commits = []
        self.expiring = None
        self.down_since = None
        self.cut = 0

    async def start(self):
        """Open all ports."""
        for server in self.servers:
            await server.start()
        self.expiring = asyncio.create_task(self.expire())

    async def stop(self):
        """Close all ports."""
        self.expiring.cancel()
        for server in self.servers:
            await server.stop()

    async def expire(self):
        """Remove the keys of leases that have ended, and old history."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _ttl) in list(self.leases.items()):
                if now > until and self.down_since is None:
                    await self.end_lease(lease)
            while self.events and self.events[0][3] < now - HISTORY_SECONDS:
                self.forgotten = self.events.pop(0)[0]

    def go_down(self, fault):
        """Let all daemons meet a fault; leases pause meanwhile."""
        self.down_since = time.monotonic()
        for server in self.servers:
            self.faults[server.port] = fault

    def come_back(self):
        """Serve again."""
        away = time.monotonic() - self.down_since
        self.down_since = None
        self.faults.clear()
        for lease, (until, ttl) in self.leases.items():
            self.leases[lease] = (until + away, ttl)

    async def forget_history(self):
        """Drop the history; watches that wait are cut."""
        self.events.clear()
        self.forgotten = self.rev
        # Watches from this revision on have missed nothing yet: a change makes them.
        await self.write([], [])
        self.forgotten = self.rev
        async with self.changed:
            self.cut += 1
            self.changed.notify_all()

    async def end_lease(self, lease):
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.write([], keys)

    async def put(self, key, document):
        """Write a document as the operator or a worker does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.write([{"key": key, "value": value, "lease": 0}], [])

    async def remove(self, key):
        """Remove a key."""
        if key in self.items:
            await self.write([], [key])

    async def write(self, puts, removals):
        """Apply one change."""
        self.rev += 1
        now = time.monotonic()
        for put in puts:
            before = self.items.get(put["key"])
            item = {
                "key": put["key"],
                "value": put["value"],
                "rev": self.rev,
                "create_rev": before["create_rev"] if before else self.rev,
                "lease": put.get("lease", 0),
            }
            self.items[put["key"]] = item
            self.events.append((self.rev, put["key"], item, now))
        for key in removals:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "rev": self.rev, "deleted": True}
                self.events.append((self.rev, key, event, now))
        async with self.changed:
            self.changed.notify_all()

    def read(self, key):
        """Return the decoded document at a key, or ``None``."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def answer(self, call, port):
        """Answer a call at the port of one daemon."""
        await self.meet_fault(port)
        if self.faults.get(port) == "busy":
            return 503, None
        name = call.path.split("/")[1].replace("-", "_")
        query = dict(parse_qsl(call.query, keep_blank_values=True))
        if name != "kv_watch":
            await asyncio.sleep(ANSWER_SECONDS)
        result = await getattr(self, "do_" + name)(call, query)
        await self.meet_fault(port)
        return result

    async def meet_fault(self, port):
        """Hold back or reset a call while its port is disturbed."""
        if self.faults.get(port) == "reset":
            raise ConnectionResetByServerError
        if self.faults.get(port) == "silent":
            # A channel on which a response is lost returns nothing further.
            await asyncio.sleep(3600)

    async def do_kv_key(self, call, query):
        """Read one key."""
        item = self.items.get(query["key"])
        if item is None:
            return 404, {"as_of": self.rev}
        return 200, item | {"as_of": self.rev}

    async def do_kv_range(self, call, query):
        """Read a page of a prefix."""
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        more = len(page) < len(keys)
        return 200, {"items": page, "has_more": more, "as_of": self.rev}

    async def do_kv_watch(self, call, query):
        """Return events after a revision; wait for one."""
        prefix, after = query["prefix"], int(query["after"])

        def found():
            return [
                e[2] for e in self.events if e[0] > after and e[1].startswith(prefix)
            ]

        if after < self.forgotten:
            return 410, None
        cut = self.cut
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self.changed:
                await self.changed.wait_for(lambda: found() or self.cut != cut)
        except TimeoutError:
            pass
        if after < self.forgotten:
            return 410, None
        return 200, {"events": found(), "as_of": self.rev}

    async def do_kv_txn(self, call, query):
        """Carry out a transaction."""
        body = call.json()
        expected = body.get("expected", [])
        puts, removals = body.get("set_keys", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, None
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                rows = [self.items.get(r["key"]) for r in expected]
                return 412, {"items": [item for item in rows if item]}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, None
        keys = [put["key"] for put in puts] + removals
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        await self.write(puts, removals)
        return 200, {"rev": self.rev}

    async def do_kv_lease(self, call, query):
        """Grant a lease."""
        ttl = max(1000, call.json()["ttl_ms"])
        self.last_lease += 1
        self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"lease": self.last_lease, "ttl_ms": ttl}

    async def do_kv_keep(self, call, query):
        """Renew a lease."""
        lease = int(call.path.split("/")[2])
        if lease not in self.leases:
            return 404, None
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    async def do_kv_lease_end(self, call, query):
        """End a lease."""
        await self.end_lease(int(call.path.split("/")[2]))
        return 200, {}
