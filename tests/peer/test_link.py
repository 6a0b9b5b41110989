import asyncio
import contextlib

import pytest

from clementinebay import errors
from clementinebay.clock import SystemClock
from clementinebay.peer.link import PeerClient, PeerServer
from clementinebay.peer.wire import ttypes as wire
from standins.ports import free_ports

LIMIT = 10_000


class Link:
    """A server with the handler ``answer``, and a client connected to it."""

    def __init__(self, answer):
        self.port = free_ports(1)[0]
        handlers = {wire.Kind.SPANS: (wire.SpansQuery, answer)}
        self.server = PeerServer("127.0.0.1", self.port, LIMIT, handlers)
        self.clock = SystemClock()
        self.client = PeerClient(f"127.0.0.1:{self.port}", LIMIT, self.clock)

    async def __aenter__(self):
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        await self.server.__aexit__()

    async def ask(self, text="t", seconds=5.0):
        deadline = self.clock.now() + seconds
        message = wire.SpansQuery(text)
        reply = await self.client.call(
            wire.Kind.SPANS, message, wire.SpansReply, deadline
        )
        return reply.spans


async def echo(message, _envelope):
    if message.trace_id == "0":
        await asyncio.sleep(0.05)
    return wire.SpansReply([message.trace_id])


async def test_replies_out_of_order_reach_their_callers():
    async with Link(echo) as link:
        answers = await asyncio.gather(*(link.ask(str(n)) for n in range(50)))
        assert answers == [[str(n)] for n in range(50)]
        assert len(link.server.connections) == 1


async def test_address_without_listener_is_unreachable():
    link = Link(echo)
    with pytest.raises(errors.PeerUnreachableError):
        await link.ask()


async def test_too_large_message_is_not_sent():
    async with Link(echo) as link:
        with pytest.raises(errors.FrameTooLargeError):
            await link.ask("x" * LIMIT)


async def test_too_large_reply_counts_as_lost_not_refused():
    async def large(_message, _envelope):
        return wire.SpansReply(["x" * LIMIT])

    async with Link(large) as link:
        with pytest.raises(errors.PeerAnswerLostError):
            await link.ask()


async def test_error_of_the_handler_is_raised_at_the_caller():
    async def refuse(_message, _envelope):
        raise errors.OverloadedError("full")

    async with Link(refuse) as link:
        with pytest.raises(errors.OverloadedError):
            await link.ask()


async def test_late_reply_is_lost_and_not_returned_for_another_call():
    async with Link(echo) as link:
        with pytest.raises(errors.PeerAnswerLostError):
            await link.ask("0", seconds=0.02)
        await asyncio.sleep(0.06)
        assert await link.ask("1") == ["1"]


async def test_broken_connection_fails_pending_calls_and_is_reopened():
    async with Link(echo) as link:
        waiting = asyncio.create_task(link.ask("0"))
        await asyncio.sleep(0.02)
        for connection in link.server.connections:
            connection.transport.abort()
        with pytest.raises(errors.PeerAnswerLostError):
            await waiting
        assert await link.ask("1") == ["1"]


async def test_invalid_data_closes_only_its_own_connection():
    async with Link(echo) as link:
        assert await link.ask("1") == ["1"]
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"GET / HTTP/1.1\r\n\r\n")
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read() == b""
        writer.close()
        assert await link.ask("2") == ["2"]
