"""Tests of the HTTP client's connections."""

import asyncio

import pytest

from clementinebay import errors
from clementinebay.web.client import DESCRIPTOR_SHARE, Client
from clementinebay.web.server import Response, Server
from standins.ports import free_range
from tests.workflow.factory import quiet_log

MAX_CONNECTIONS = 4
CALLS = 40


class Peer:
    """A server that answers each call after ``released``; counts its connections."""

    def __init__(self):
        self.released = asyncio.Event()
        self.greatest = 0
        self.server = Server(self.answer, "127.0.0.1", free_range(1), quiet_log())

    @property
    def address(self):
        return f"127.0.0.1:{self.server.port}"

    async def answer(self, request):
        """Answer with the request's body."""
        self.greatest = max(self.greatest, len(self.server.connections))
        await self.released.wait()
        return Response(200, request.body)


@pytest.fixture
async def peer():
    peer = Peer()
    async with peer.server:
        yield peer


@pytest.fixture
async def client():
    async with Client() as client:
        client.max_connections = MAX_CONNECTIONS
        yield client


async def test_each_of_many_calls_at_a_time_takes_a_descriptor(peer, client):
    """A crowd of clients made a daemon open as many connections to the store."""
    peer.released.set()
    calls = [
        client.call(peer.address, "POST", "/", 5.0, str(number).encode())
        for number in range(CALLS)
    ]
    answers = await asyncio.gather(*calls)
    assert [int(answer.body) for answer in answers] == list(range(CALLS))
    assert peer.greatest <= MAX_CONNECTIONS
    assert client.opened <= MAX_CONNECTIONS


async def test_call_that_never_had_a_connection_counts_as_sent(peer, client):
    calls = [
        asyncio.create_task(client.call(peer.address, "POST", "/", 5.0, b"x"))
        for _call in range(MAX_CONNECTIONS)
    ]
    while len(peer.server.connections) < MAX_CONNECTIONS:
        await asyncio.sleep(0.01)
    with pytest.raises(errors.CallNotSentError):
        await client.call(peer.address, "POST", "/", 0.1, b"x")
    peer.released.set()
    await asyncio.gather(*calls)
    await client.call(peer.address, "POST", "/", 5.0, b"x")


async def test_calls_to_one_address_delay_those_to_another(peer, client):
    waiting = [
        asyncio.create_task(client.call(peer.address, "POST", "/", 5.0, b"x"))
        for _call in range(CALLS)
    ]
    other = Peer()
    other.released.set()
    async with other.server:
        await client.call(other.address, "POST", "/", 1.0, b"x")
    peer.released.set()
    await asyncio.gather(*waiting)


async def test_limit_that_is_granted_again_counts_calls_in_progress(peer, client):
    """A reload of the settings let as many calls go on beside those in progress."""
    descriptors = int(MAX_CONNECTIONS / DESCRIPTOR_SHARE)
    calls = []
    for _reload in range(2):
        client.grant(descriptors)
        calls += [
            asyncio.create_task(client.call(peer.address, "POST", "/", 5.0, b"x"))
            for _call in range(CALLS)
        ]
        await asyncio.sleep(0.05)
    peer.released.set()
    await asyncio.gather(*calls)
    assert peer.greatest <= MAX_CONNECTIONS
