"""A fault-injecting TCP proxy: a real process with many routes on loopback.

Routes are given as ``--route NAME=LISTEN:TARGET`` (ports).  ``POST /control/faults``
takes ``{"routes": PATTERN, FAULT: value, ...}`` and sets faults of every route whose
name fits the shell pattern; *up* is from the client to the target.

========  ==================================================================
cut       directions whose bytes are held back: "", "up", "down" or "both"
delay     [seconds up, seconds down] that each chunk is late
loss      share of chunks that stall for `STALL_SECONDS`, as a lost packet does
refuse    whether new connections are reset at once
reset     "before" any byte goes up, or "after", when the first answer comes back
truncate  bytes that go down before the connection is closed, -1 for all
swap      whether the first answers of two connections are exchanged
park      whether new connections wait, before the target is reached, for "unpark"
========  ==================================================================

``{"sever": true}`` resets the connections that are open now, ``{"unpark": true}`` lets
those that wait go on.
"""

import argparse
import asyncio
import contextlib
import fnmatch
import random
import socket
import struct

from standins import web

#: Delay of a chunk that is lost and sent again, in seconds.
STALL_SECONDS = 0.2
#: Longest wait of an answer for the one that it is exchanged with, in seconds.
SWAP_SECONDS = 2.0
#: Time from the last bytes to the end of a connection, in seconds.
CLOSE_SECONDS = 0.05
CHUNK_BYTES = 65_536
#: SO_LINGER of zero seconds: closing sends a reset.
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
    """One listening port, its target and the faults that are set."""

    def __init__(self, name, listen, target, seed):
        self.name = name
        self.listen = listen
        self.target = target
        self.rng = random.Random(seed)
        self.faults = dict(NO_FAULTS)
        self.changed = asyncio.Event()
        self.unparked = asyncio.Event()
        self.pairs = set()
        self.lone_answer = None

    def set(self, faults):
        """Change faults, and wake what is held back."""
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
        """Carry one connection."""
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
        pair = Pair(self, (reader, writer), target)
        self.pairs.add(pair)
        try:
            await pair.run()
        finally:
            self.pairs.discard(pair)

    async def uncut(self, direction):
        """Return when bytes may pass in ``direction``."""
        while self.faults["cut"] in (direction, "both"):
            await self.changed.wait()

    async def exchange(self, data):
        """Return the first answer of another connection in place of ``data``."""
        if self.lone_answer is not None:
            other, self.lone_answer = self.lone_answer, None
            if not other[1].done():
                other[1].set_result(data)
                return other[0]
        future = asyncio.get_running_loop().create_future()
        self.lone_answer = (data, future)
        try:
            return await asyncio.wait_for(future, SWAP_SECONDS)
        except TimeoutError:
            return data


class Pair:
    """The two connections of a client and its target."""

    def __init__(self, route, client, target):
        self.route = route
        self.client = client
        self.target = target
        self.answered = False
        self.passed_down = 0

    async def run(self):
        """Carry bytes both ways until both ends have closed."""
        up = self.carry("up", self.client[0], self.target[1])
        down = self.carry("down", self.target[0], self.client[1])
        with contextlib.suppress(OSError):
            await asyncio.gather(up, down)
        for writer in (self.client[1], self.target[1]):
            writer.close()

    async def carry(self, direction, reader, writer):
        """Carry bytes one way."""
        while data := await reader.read(CHUNK_BYTES):
            await self.wait(direction)
            data = await self.spoil(direction, data)
            if data is None:
                self.reset()
                return
            writer.write(data)
            await writer.drain()
            if self.is_over(direction, len(data)):
                break
        await self.route.uncut(direction)
        # Late bytes are still read by a server that has not seen the end with them.
        await asyncio.sleep(CLOSE_SECONDS)
        writer.close()

    async def wait(self, direction):
        """Hold a chunk back as long as the faults ask."""
        faults = self.route.faults
        late = faults["delay"][direction == "down"]
        if self.route.rng.random() < faults["loss"]:
            late += STALL_SECONDS
        if late:
            await asyncio.sleep(late)
        await self.route.uncut(direction)

    async def spoil(self, direction, data):
        """Return what is passed on in place of ``data``; ``None`` asks for a reset."""
        faults = self.route.faults
        if faults["reset"] == ("before" if direction == "up" else "after"):
            return None
        if direction == "up":
            return data
        if faults["swap"] and not self.answered:
            data = await self.route.exchange(data)
        self.answered = True
        if faults["truncate"] >= 0:
            data = data[: max(0, faults["truncate"] - self.passed_down)]
        return data

    def is_over(self, direction, size):
        """Return whether the answer was cut off here."""
        if direction == "up":
            return False
        self.passed_down += size
        limit = self.route.faults["truncate"]
        return 0 <= limit <= self.passed_down

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
        """Set faults of the routes that a pattern names; return their names."""
        body = call.json()
        pattern = body.pop("routes")
        found = [r for r in self.routes if fnmatch.fnmatchcase(r.name, pattern)]
        for route in found:
            route.set(dict(body))
        return web.Reply([route.name for route in found])


async def serve(arguments):
    """Carry connections until told to stop."""
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
    """Serve until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, required=True, help="port")
    parser.add_argument("--route", action="append", default=[])
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
