"""Tests of the HTTP server's connections."""

import asyncio
import contextlib
import os
import socket

from clementinebay.web.limits import ConnectionLimits
from clementinebay.web.server import Response, Server
from standins.ports import free_range
from tests.workflow.factory import quiet_log

MAX_CONNECTIONS = 40
#: Clients that connect while the event loop is busy.
BURST = 300
#: Polls of the event loop after which the burst has been dealt with.
POLLS = 1_000
#: Time in which the listening queue takes a connection, in seconds; TCP tries again
#: after one second.
CONNECT_SECONDS = 0.5


async def answer(_request):
    """Return an empty response."""
    return Response(200)


async def test_burst_of_connections_takes_descriptors_far_beyond_the_limit():
    limits = ConnectionLimits(max_connections=MAX_CONNECTIONS)
    server = Server(answer, "127.0.0.1", free_range(1), quiet_log(), limits)
    async with server:
        with contextlib.ExitStack() as clients:
            for _client in range(BURST):
                address = ("127.0.0.1", server.port)
                connection = socket.create_connection(address, CONNECT_SECONDS)
                clients.enter_context(connection)
            before, greatest = len(os.listdir("/proc/self/fd")), 0
            for _poll in range(POLLS):
                await asyncio.sleep(0)
                opened = len(os.listdir("/proc/self/fd")) - before
                greatest = max(greatest, opened)
            assert sum(limits.closed.values()) == BURST - MAX_CONNECTIONS
            assert greatest <= MAX_CONNECTIONS * 1.25
