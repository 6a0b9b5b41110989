"""A fault-injecting TCP proxy: one process with many routes on loopback.

Routes are given as ``--route NAME=LISTEN:TARGET`` (ports).  ``POST /control/faults``
with ``{"routes": PATTERN, FAULT: value, ...}`` sets faults of all routes whose names
match the shell pattern; *up* is the direction from the client to the target.

========  ==================================================================
cut       directions in which bytes are held back: "", "up", "down" or "both"
delay     [seconds up, seconds down] by which each chunk is delayed
loss      share of chunks delayed by `STALL_SECONDS`, as after a lost packet
refuse    whether new connections are reset immediately
reset     "before" any byte goes up, or "after" the first response arrives
truncate  bytes that go down before the connection is closed, -1 for no limit
swap      whether the first responses of two connections are swapped
park      whether new connections wait for "unpark" before the target is connected
========  ==================================================================

``{"sever": true}`` resets all open connections, ``{"unpark": true}`` releases the
parked ones.
"""

import argparse
import asyncio
import contextlib
import fnmatch
import random
import socket
import struct

from standins import web

#: Delay of a chunk with simulated packet loss, in seconds.
STALL_SECONDS = 0.2
#: Maximum wait of a response for another one to swap with, in seconds.
SWAP_SECONDS = 2.0
#: Delay between the last bytes and the close of a connection, in seconds.
CLOSE_SECONDS = 0.05
CHUNK_BYTES = 65_536
#: SO_LINGER with a timeout of zero, so that closing sends a reset.
NO_LINGER = struct.pack("ii", 1, 0)

NO_FAULTS = {
    "cut": "",
    "delay": [0.0, 0.0],
    "loss": 0.0,
    "refuse": False,
    "reset": "",
    "truncate": -1,
    "swap": False,
    "park": False,
}


class Route:
    """A listening port, its target and its current faults."""

    def __init__(self, name, listen, target, seed):
        self.name = name
        self.listen = listen
        self.target = target
        self.rng = random.Random(seed)
        self.faults = dict(NO_FAULTS)
        self.changed = asyncio.Event()
        self.unparked = asyncio.Event()
        self.pairs = set()
        self.waiting_answer = None

    def set(self, faults):
        """Change faults, and wake connections that are held back."""
        if faults.pop("sever", False):
            for pair in list(self.pairs):
                pair.reset()
        if faults.pop("unpark", False):
            self.unparked.set()
            self.unparked = asyncio.Event()
        self.faults.update(faults)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Forward one connection."""
        if self.faults["refuse"]:
            abort(writer)
            return
        if self.faults["park"]:
            await self.unparked.wait()
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            abort(writer)
            return
        pair = ConnectionPair(self, (reader, writer), target)
        self.pairs.add(pair)
        try:
            await pair.run()
        finally:
            self.pairs.discard(pair)

    async def wait_until_uncut(self, direction):
        """Wait until ``direction`` is not cut."""
        while self.faults["cut"] in (direction, "both"):
            await self.changed.wait()

    async def swap(self, data):
        """Swap ``data`` with the first response of another connection.

        Returns ``data`` itself if there is none within `SWAP_SECONDS`.
        """
        if self.waiting_answer is not None:
            other, self.waiting_answer = self.waiting_answer, None
            if not other[1].done():
                other[1].set_result(data)
                return other[0]
        future = asyncio.get_running_loop().create_future()
        self.waiting_answer = (data, future)
        try:
            return await asyncio.wait_for(future, SWAP_SECONDS)
        except TimeoutError:
            return data


class ConnectionPair:
    """A connection from a client and the corresponding one to the target."""

    def __init__(self, route, client, target):
        self.route = route
        self.client = client
        self.target = target
        self.answered = False
        self.bytes_down = 0

    async def run(self):
        """Forward bytes in both directions until both ends have closed."""
        up = self.forward("up", self.client[0], self.target[1])
        down = self.forward("down", self.target[0], self.client[1])
        with contextlib.suppress(OSError):
            await asyncio.gather(up, down)
        for writer in (self.client[1], self.target[1]):
            writer.close()

    async def forward(self, direction, reader, writer):
        """Forward bytes in one direction."""
        while data := await reader.read(CHUNK_BYTES):
            await self.delay(direction)
            data = await self.corrupt(direction, data)
            if data is None:
                self.reset()
                return
            writer.write(data)
            await writer.drain()
            if self.reached_limit(direction, len(data)):
                break
        await self.route.wait_until_uncut(direction)
        # A server that gets late bytes together with the end of the connection may
        # discard them, so the close is delayed.
        await asyncio.sleep(CLOSE_SECONDS)
        writer.close()

    async def delay(self, direction):
        """Delay a chunk according to the faults."""
        faults = self.route.faults
        seconds = faults["delay"][direction == "down"]
        if self.route.rng.random() < faults["loss"]:
            seconds += STALL_SECONDS
        if seconds:
            await asyncio.sleep(seconds)
        await self.route.wait_until_uncut(direction)

    async def corrupt(self, direction, data):
        """Return the bytes to forward instead of ``data``, or ``None`` for a reset."""
        faults = self.route.faults
        if faults["reset"] == ("before" if direction == "up" else "after"):
            return None
        if direction == "up":
            return data
        if faults["swap"] and not self.answered:
            data = await self.route.swap(data)
        self.answered = True
        if faults["truncate"] >= 0:
            data = data[: max(0, faults["truncate"] - self.bytes_down)]
        return data

    def reached_limit(self, direction, size):
        """Count ``size`` forwarded bytes; return whether ``truncate`` is reached."""
        if direction == "up":
            return False
        self.bytes_down += size
        limit = self.route.faults["truncate"]
        return 0 <= limit <= self.bytes_down

    def reset(self):
        """Reset both connections."""
        abort(self.client[1])
        abort(self.target[1])


def abort(writer):
    """Close a connection by a reset."""
    peer = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class Proxy:
    """All routes of the process."""

    def __init__(self, routes):
        self.routes = routes

    async def control_faults(self, call):
        """Set faults of the routes that match a pattern; return their names."""
        body = call.json()
        pattern = body.pop("routes")
        found = [r for r in self.routes if fnmatch.fnmatchcase(r.name, pattern)]
        for route in found:
            route.set(dict(body))
        return web.Reply([route.name for route in found])


async def serve(arguments):
    """Forward connections until SIGTERM or SIGINT."""
    routes = []
    for number, text in enumerate(arguments.route):
        name, _equals, ports = text.rpartition("=")
        listen, target = map(int, ports.split(":"))
        routes.append(Route(name, listen, target, arguments.seed + number))
    async with contextlib.AsyncExitStack() as stack:
        for route in routes:
            server = await asyncio.start_server(route.serve, "127.0.0.1", route.listen)
            stack.callback(server.close)
        app = web.App({"/control/faults": Proxy(routes).control_faults})
        await web.serve({arguments.control: app})


def main():
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, required=True, help="port")
    parser.add_argument("--route", action="append", default=[])
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
