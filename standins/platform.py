"""Stand-in for the platform: etcd's JSON gateway and the list of VMs, with faults.

Faults are set by ``POST /control/faults``:

==========  ==================================================================
down        refuse all calls
store_down  refuse all calls except reads of the list
delay       seconds before each call is executed
lose        share of writes that take effect without a response
time_out    share of writes that take effect but return a timeout error
watch_lag   delay of watch events, in seconds
list_lag    age of the returned list, in seconds
old         answer reads with the values as of the last ``POST /control/mark``
hold        hold one write to a shard's log, see below
==========  ==================================================================

The value of ``hold`` is {"domain": d, "record": kind, "effect": e}.  The first write to
the log of the domain that contains a record of that kind gets no response until the
fault is cleared.  It takes effect immediately if ``effect`` is true, otherwise when the
fault is cleared.
``GET /control/held`` returns the number of held writes.
"""

import argparse
import asyncio
import base64
import random
from collections import deque

import msgspec

from clementinebay import errors
from clementinebay.clock import SystemClock
from clementinebay.shard import codec
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Put
from clementinebay.store.keyspace import KeySpace
from standins import web

NO_FAULTS = {
    "down": False,
    "delay": 0.0,
    "lose": 0.0,
    "time_out": 0.0,
    "watch_lag": 0.0,
    "list_lag": 0.0,
    "store_down": False,
    "old": False,
    "hold": None,
}


def decode(text):
    """Decode base64 ``text`` to bytes."""
    return base64.b64decode(text)


def encode(data):
    """Encode bytes as base64."""
    return base64.b64encode(data).decode()


def failure(status, code, message):
    """Return an error response in the gateway's format."""
    return web.Reply({"error": message, "code": code, "message": message}, status)


class Platform:
    """A key space, a list of VMs, and the current faults."""

    def __init__(self, seed):
        self.space = KeySpace(SystemClock())
        self.vms = {}
        self.lists = deque([(0.0, [])])
        self.rng = random.Random(seed)
        self.counts = {"read": 0, "write": 0, "watch": 0}
        self.faults = dict(NO_FAULTS)
        self.marked = {}
        self.held = 0
        self.released = asyncio.Event()

    def header(self):
        """Return the header included in every response."""
        return {"revision": str(self.space.revision)}

    async def kv(self, call):
        """Execute a call to the key-value service."""
        if self.faults["down"] or self.faults["store_down"]:
            return failure(503, 14, "etcdserver: no leader")
        if self.faults["delay"]:
            await asyncio.sleep(self.faults["delay"])
        if call.path == "/v3/watch":
            self.counts["watch"] += 1
            return Watch(self, call.json()["create_request"])
        action = {
            "/v3/kv/range": self.range,
            "/v3/kv/txn": self.transact,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep_alive,
            "/v3/lease/revoke": self.revoke,
        }[call.path]
        writing = call.path != "/v3/kv/range"
        self.counts["write" if writing else "read"] += 1
        hold = writing and self.match_hold(call)
        if hold and not hold["effect"]:
            await self.released.wait()
        try:
            answer = action(call.json())
        except errors.LeaseGoneError:
            return failure(404, 5, "etcdserver: requested lease not found")
        if hold and hold["effect"]:
            await self.released.wait()
        if writing and self.rng.random() < self.faults["lose"]:
            return None
        if writing and self.rng.random() < self.faults["time_out"]:
            return failure(503, 14, "etcdserver: request timed out")
        return web.Reply({"header": self.header(), **answer})

    def match_hold(self, call):
        """Return the fault ``hold`` if it applies to this write; it does only once."""
        hold = self.faults["hold"]
        if not hold or self.held or call.path != "/v3/kv/txn":
            return None
        prefix = f"shard/{hold['domain']}/log/"
        puts = [o["request_put"] for o in call.json()["success"] if "request_put" in o]
        for put in puts:
            if decode(put["key"]).decode().startswith(prefix):
                batch = codec.unpack(wire.Batch, decode(put["value"]))
                if any(getattr(r, hold["record"]) is not None for r in batch.records):
                    self.held += 1
                    return hold
        return None

    def item(self, entry):
        """Return an entry in the gateway's format."""
        item = {
            "key": encode(entry.key.encode()),
            "mod_revision": str(entry.version),
        }
        if entry.value:
            item["value"] = encode(entry.value)
        if entry.lease:
            item["lease"] = str(entry.lease)
        return item

    def range(self, body):
        """Execute a read of a range of keys."""
        start = decode(body["key"]).decode()
        end = (
            decode(body["range_end"]).decode() if "range_end" in body else start + "\0"
        )
        limit = int(body.get("limit", 0))
        if self.faults["old"]:
            keys = sorted(key for key in self.marked if start <= key < end)
            entries = [self.marked[key] for key in keys][: limit or None]
        else:
            entries = self.space.range(start, end, limit)
        if not entries:
            return {}
        return {"kvs": [self.item(entry) for entry in entries]}

    def transact(self, body):
        """Execute a transaction."""
        compares = [
            (decode(c["key"]).decode(), int(c["mod_revision"])) for c in body["compare"]
        ]
        puts, deletes = [], []
        for operation in body["success"]:
            if "request_put" in operation:
                put = operation["request_put"]
                key, value = decode(put["key"]).decode(), decode(put["value"])
                puts.append(Put(key, value, int(put.get("lease", 0))))
            else:
                delete = operation["request_delete_range"]
                start = decode(delete["key"]).decode()
                deletes.append((start, decode(delete["range_end"]).decode()))
        try:
            self.space.commit(compares, puts, deletes)
        except errors.CompareFailedError:
            found = [self.range(op["request_range"]) for op in body["failure"]]
            return {"responses": [{"response_range": answer} for answer in found]}
        return {"succeeded": True}

    def grant(self, body):
        """Grant a lease."""
        return {"ID": str(self.space.grant(int(body["TTL"]))), "TTL": body["TTL"]}

    def keep_alive(self, body):
        """Renew a lease."""
        ttl = self.space.keep_alive(int(body["ID"]))
        result = {"ID": body["ID"]}
        if ttl:
            result["TTL"] = str(ttl)
        return {"result": result}

    def revoke(self, body):
        """Revoke a lease."""
        lease = int(body["ID"])
        if lease not in self.space.leases:
            raise errors.LeaseGoneError(str(lease))
        self.space.revoke(lease)
        return {}

    # The list of VMs

    async def vm_list(self, call):
        """Return the list as of ``list_lag`` seconds ago."""
        if self.faults["down"]:
            return web.Reply({"error": "down"}, 503)
        now = self.space.clock.now()
        as_of = now - self.faults["list_lag"]
        while len(self.lists) > 1 and self.lists[1][0] <= as_of:
            self.lists.popleft()
        tag = f'"{self.lists[0][0]}"'
        if call.headers.get("if-none-match") == tag:
            return web.Reply(status=304)
        viewer = call.path.removeprefix("/vms").strip("/")
        vms = [seen_from(viewer, vm) for vm in self.lists[0][1]]
        return web.Reply(vms, headers=[("ETag", tag)])

    async def control_vms(self, call):
        """Add or change the VMs in "put", and remove the ids in "remove"."""
        body = call.json()
        for vm in body.get("put", ()):
            self.vms[vm["id"]] = {**self.vms.get(vm["id"], {}), **vm}
        for name in body.get("remove", ()):
            self.vms.pop(name, None)
        self.lists.append((self.space.clock.now(), list(self.vms.values())))
        return web.Reply({})

    async def control_faults(self, call):
        """Set faults."""
        self.faults.update(call.json())
        if not self.faults["hold"]:
            self.held = 0
            self.released.set()
            self.released = asyncio.Event()
        return web.Reply(self.faults)

    async def control_held(self, _call):
        """Return the number of held writes."""
        return web.Reply(self.held)

    async def control_mark(self, _call):
        """Save the current values for the fault ``old``."""
        self.marked = dict(self.space.entries)
        return web.Reply({})

    async def control_counts(self, _call):
        """Return the number of calls by kind."""
        return web.Reply(self.counts)


def seen_from(viewer, vm):
    """Return a VM's entry with the address that ``viewer`` is to use.

    ``views`` may map viewers to other addresses, such as those of a proxy.
    """
    address = vm.get("views", {}).get(viewer, vm["address"])
    return {**vm, "address": address}


class Watch:
    """A streamed response to a watch, with one line of JSON per batch of changes."""

    def __init__(self, platform, request):
        self.platform = platform
        self.start = decode(request["key"]).decode()
        self.end = decode(request["range_end"]).decode()
        self.revision = int(request.get("start_revision", 1)) - 1

    async def stream(self, receive, send):
        """Send changes until the client disconnects or the platform goes down."""
        disconnected = asyncio.create_task(self.wait_for_disconnect(receive))
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        try:
            await self.send_line(send, created=True)
            while not disconnected.done() and not self.platform.faults["down"]:
                await self.step(send)
        except errors.LogGapError:
            await self.send_line(send, canceled=True, compact_revision=self.oldest())
        finally:
            disconnected.cancel()

    @staticmethod
    async def wait_for_disconnect(receive):
        """Wait until the client closes the connection."""
        while (await receive())["type"] != "http.disconnect":
            pass

    def oldest(self):
        """Return the oldest revision from which a watch can start."""
        return str(self.platform.space.history[0].version)

    async def send_line(self, send, revision=0, **result):
        """Send one line of JSON."""
        header = {"revision": str(revision or self.platform.space.revision)}
        line = msgspec.json.encode({"result": {"header": header, **result}})
        await send(
            {"type": "http.response.body", "body": line + b"\n", "more_body": True}
        )

    async def step(self, send):
        """Send new changes, or wait for one."""
        space = self.platform.space
        changed = space.changed
        entries = space.changes(self.start, self.end, self.revision)
        if not entries:
            try:
                async with asyncio.timeout(0.5):
                    await changed.wait()
            except TimeoutError:
                pass
            return
        self.revision = entries[-1].version
        if self.platform.faults["watch_lag"]:
            await asyncio.sleep(self.platform.faults["watch_lag"])
        events = [self.event(entry) for entry in entries]
        await self.send_line(send, self.revision, events=events)

    def event(self, entry):
        """Return a change in the gateway's format."""
        event = {"kv": self.platform.item(entry)}
        if entry.value is None:
            event["type"] = "DELETE"
        return event


def main():
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    platform = Platform(arguments.seed)
    app = web.App(
        {
            "/v3/": platform.kv,
            "/vms": platform.vm_list,
            "/control/vms": platform.control_vms,
            "/control/faults": platform.control_faults,
            "/control/held": platform.control_held,
            "/control/mark": platform.control_mark,
            "/control/counts": platform.control_counts,
        }
    )
    asyncio.run(web.serve({arguments.port: app}))


if __name__ == "__main__":
    main()
