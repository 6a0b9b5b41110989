"""Tests of the HTTP server and client against each other."""

import asyncio
import socket
import threading
import time

import pytest

from clementinebay import errors
from clementinebay.web.client import Client
from clementinebay.web.server import Response, Server
from standins.ports import free_range
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


def serve_one_call(listener):
    """Answer one call of a client that connects to ``listener``."""
    connection, _peer = listener.accept()
    with connection:
        connection.recv(4096)
        time.sleep(0.1)
        connection.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        connection.recv(4096)


async def test_answer_that_arrived_in_time_is_lost_to_a_late_event_loop(client):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve_one_call, args=(listener,), daemon=True)
        thread.start()
        host, port = listener.getsockname()
        # Keeps the loop busy from after the request until after the deadline.
        asyncio.get_running_loop().call_later(0.02, time.sleep, 0.4)
        answer = await client.call(f"{host}:{port}", "GET", "/", 0.2)
        client.close_idle(f"{host}:{port}")
        await asyncio.to_thread(thread.join)
    assert answer.body == b"ok"


def delay_event_loop():
    """Keep the event loop busy."""
    time.sleep(0.2)


async def test_call_is_not_sent_once_its_deadline_is_over(server, client, monkeypatch):
    """A start order that was sent without need pins its task for 13 s."""
    connect = client.connect

    async def connect_with_a_late_loop(address, deadline):
        connection = await connect(address, deadline)
        delay_event_loop()
        return connection

    monkeypatch.setattr(client, "connect", connect_with_a_late_loop)
    with pytest.raises(errors.CallNotSentError):
        await client.call(address(server), "POST", "/", 0.1, b"x")
