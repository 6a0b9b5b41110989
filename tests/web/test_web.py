"""Tests of the HTTP server and client against each other."""

import asyncio
import contextlib
import socket
import time

import pytest

from clementinebay import errors
from clementinebay.web.client import Client
from clementinebay.web.server import Response, Server
from standins.ports import free_range
from tests.web import onecall
from tests.workflow.factory import quiet_log


async def echo(request):
    """Return the request's body or query; "/slow" is delayed, "/raise" fails."""
    if request.path == "/slow":
        await asyncio.sleep(0.3)
    if request.path == "/raise":
        raise ValueError(request.path)
    return Response(200, request.body or request.query.encode(), (("x", "y"),))


@pytest.fixture
async def server():
    async with Server(echo, "127.0.0.1", free_range(1), quiet_log()) as server:
        yield server


@pytest.fixture
async def client():
    async with Client() as client:
        yield client


def address(server):
    return f"127.0.0.1:{server.port}"


async def test_sequential_calls_reuse_the_connection(server, client):
    for number in range(5):
        body = str(number).encode()
        answer = await client.call(address(server), "POST", "/", 1.0, body)
        assert (answer.status, answer.body, answer.headers["x"]) == (200, body, "y")
    assert client.opened == 1


async def test_concurrent_calls_get_their_own_responses(server, client):
    calls = [
        client.call(address(server), "POST", "/slow", 2.0, str(number).encode())
        for number in range(20)
    ]
    answers = await asyncio.gather(*calls)
    assert [int(answer.body) for answer in answers] == list(range(20))


async def test_call_without_listener_raises_call_not_sent_error(client):
    with pytest.raises(errors.CallNotSentError):
        await client.call(f"127.0.0.1:{free_range(1)}", "GET", "/", 1.0)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:x", "127.0.0.1:", "127.0.0.1:70000", "a..b:80", "a\0b:80"]
)
async def test_call_to_an_invalid_address_raises_call_not_sent_error(client, address):
    """The registry is written by others; other errors would end a scheduler's term."""
    with pytest.raises(errors.CallNotSentError):
        await client.call(address, "GET", "/", 1.0)


async def test_late_response_is_not_returned_for_another_call(server, client):
    with pytest.raises(errors.CallUnansweredError):
        await client.call(address(server), "POST", "/slow", 0.1, b"late")
    answer = await client.call(address(server), "POST", "/", 1.0, b"next")
    assert answer.body == b"next"


async def test_failing_handler_results_in_status_500(server, client):
    assert (await client.call(address(server), "GET", "/raise", 1.0)).status == 500


async def test_oversize_body_is_rejected(server, client):
    server.max_body_bytes = 100
    answer = await client.call(address(server), "POST", "/", 1.0, b"x" * 101)
    assert answer.status == 400


async def test_pipelined_requests_are_answered_in_order(server):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"GET /slow?1 HTTP/1.1\r\n\r\nGET /?2 HTTP/1.1\r\n\r\n")
    data = b""
    while data.count(b"HTTP/1.1 200") < 2 or not data.endswith(b"2"):
        data += await asyncio.wait_for(reader.read(1000), 2)
    assert data.index(b"\r\n\r\n1") < data.index(b"\r\n\r\n2")
    writer.close()


async def test_incomplete_request_times_out(server):
    server.request_seconds = 0.1
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx")
    with pytest.raises(ConnectionResetError):
        if await asyncio.wait_for(reader.read(), 2) == b"":
            raise ConnectionResetError
    writer.close()


async def test_draining_server_closes_connections_after_responding(server, client):
    server.draining = True
    answer = await client.call(address(server), "GET", "/?a", 1.0)
    assert answer.headers["connection"] == "close"


async def test_answer_that_arrived_in_time_is_lost_to_a_late_event_loop(client):
    async with onecall.serve_one_call(client, b"ok") as address:
        onecall.block_event_loop(0.4)
        answer = await client.call(address, "GET", "/", 0.2)
    assert answer.body == b"ok"


#: Delay of each iteration of a late event loop, and timeout of calls made on it, in
#: seconds.  Opening a connection takes several iterations.
LATE_SECONDS = 0.08
CALL_SECONDS = 0.1


@contextlib.contextmanager
def late_event_loop():
    """Let each iteration of the running event loop take `LATE_SECONDS`."""
    loop, is_late = asyncio.get_running_loop(), True

    def delay():
        time.sleep(LATE_SECONDS)
        if is_late:
            loop.call_soon(delay)

    loop.call_soon(delay)
    try:
        yield
    finally:
        is_late = False


async def test_late_event_loop_fails_calls_that_were_answered_in_time(server, client):
    """A start order that was sent without need pins its task for 13 s."""
    with late_event_loop():
        for _attempt in range(3):
            client.close_idle(address(server))
            answer = await client.call(address(server), "POST", "/", CALL_SECONDS, b"x")
            assert answer.body == b"x"


async def test_late_event_loop_opens_a_connection_for_each_call(server, client):
    with late_event_loop():
        for _attempt in range(4):
            await client.call(address(server), "POST", "/", CALL_SECONDS, b"x")
    assert client.opened == 1


async def test_call_on_a_late_event_loop_still_ends_without_an_answer(client):
    with socket.create_server(("127.0.0.1", 0)) as listener, late_event_loop():
        silent = "{}:{}".format(*listener.getsockname())
        with pytest.raises(errors.CallUnansweredError):
            await client.call(silent, "GET", "/", CALL_SECONDS)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\n",
        b"HTTP/9.9 999 \xff\r\n\xff: \xff\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"\xff" * 1000,
        b"\r\n" * 1000,
        b"HTTP/1.1 100 Continue\r\n\r\n" * 3,
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" * 3,
        b"HTTP/1.1 200 OK\r\n" + b"x: y\r\n" * 100_000,
        b"HTTP/1.1 200 OK\r\ncontent-length: 50000000\r\n\r\n" + b"x" * 50_000_000,
    ],
    ids=[
        "upgrade",
        "negative length",
        "huge length",
        "odd version",
        "odd chunk",
        "no text",
        "empty lines",
        "interim answers",
        "three answers",
        "many headers",
        "long body",
    ],
)
async def test_odd_answer_is_an_answer_or_counts_as_unanswered(client, data):
    """What listens at the address of an endpoint may be anything."""

    ended = asyncio.Event()

    async def behave(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            writer.write(data)
            await writer.drain()
            await reader.read()
        writer.transport.abort()
        ended.set()

    server = await asyncio.start_server(behave, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        size = 0
        with contextlib.suppress(errors.CallUnansweredError):
            answer = await client.call(f"127.0.0.1:{port}", "GET", "/", 0.6)
            size = len(answer.body)
        assert size == 0
        client.close_idle(f"127.0.0.1:{port}")
        await ended.wait()
