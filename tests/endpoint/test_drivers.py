import asyncio
import contextlib

import pytest

from clementinebay import errors
from clementinebay.clock import SystemClock
from clementinebay.endpoint import DRIVERS, http, open_driver

BODY = b"tank 7"


def answer(request_id, body=BODY, digest=None, length=None, extra=""):
    """Return an encoded response, well-formed unless arguments override a part."""
    length = len(body) if length is None else length
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Digest: {digest or http.digest(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


class Worker:
    """A server that calls ``behave(request_id, writer)`` for each request."""

    def __init__(self, behave):
        self.behave = behave
        self.connections = 0
        self.requests = 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(BODY))
                self.requests += 1
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.decode().splitlines()
                    if ": " in line
                )
                await self.behave(fields["x-request-id"], writer)
        writer.close()


@contextlib.asynccontextmanager
async def worker(behave):
    running_worker = Worker(behave)
    server = await asyncio.start_server(running_worker.serve, "127.0.0.1", 0)
    running_worker.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield running_worker
    server.close()


@pytest.fixture(params=DRIVERS)
async def driver(request):
    driver = open_driver(request.param, SystemClock())
    yield driver
    await driver.close()


async def ask(driver, address, request_id="r1", seconds=5.0):
    deadline = driver.clock.now() + seconds
    return await driver.request(address, "call-in", request_id, BODY, deadline, "")


def responding_with(make):
    async def behave(request_id, writer):
        writer.write(make(request_id))

    return behave


async def test_complete_responses_reuse_the_connection(driver):
    async with worker(responding_with(answer)) as running_worker:
        for number in range(3):
            assert await ask(driver, running_worker.address, f"r{number}") == (
                200,
                BODY,
            )
        assert running_worker.connections == 1


@pytest.mark.parametrize(
    "make",
    [
        lambda _id: answer("another"),
        lambda id: answer(id, digest="0" * 16),
        lambda id: answer(id).replace(b"Content-Length: 6\r\n", b""),
        lambda id: answer(id, length=http.MAX_ANSWER_BYTES + 1),
        lambda _id: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        lambda _id: answer("another", extra="X-Outcome: not-run\r\n"),
    ],
    ids=[
        "other request",
        "digest",
        "no length",
        "too long",
        "no id",
        "refusal of other request",
    ],
)
async def test_mismatched_response_closes_the_connection(make):
    driver = open_driver("aiohttp", SystemClock())
    async with worker(responding_with(make)) as running_worker:
        for _attempt in range(2):
            with pytest.raises(errors.EndpointAnswerLostError):
                await ask(driver, running_worker.address, seconds=0.5)
        assert running_worker.connections == 2
    await driver.close()


async def test_truncated_response_counts_as_lost(driver):
    async def behave(request_id, writer):
        writer.write(answer(request_id)[:-3])
        writer.close()

    async with worker(behave) as running_worker:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, running_worker.address)


async def test_request_is_not_repeated_after_a_reset(driver):
    async def behave(_request_id, writer):
        writer.transport.abort()

    async with worker(behave) as running_worker:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, running_worker.address)
        assert running_worker.requests == 1


async def test_request_is_not_repeated_after_a_reset_of_a_reused_connection(driver):
    answered = []

    async def behave(request_id, writer):
        if answered:
            writer.transport.abort()
        else:
            answered.append(request_id)
            writer.write(answer(request_id))

    async with worker(behave) as running_worker:
        await ask(driver, running_worker.address)
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, running_worker.address)
        assert running_worker.requests == 2


async def test_late_response_is_not_returned_for_the_next_request(driver):
    late = []

    async def behave(request_id, writer):
        if not late:
            late.append(request_id)
            await asyncio.sleep(0.3)
        writer.write(answer(request_id))

    async with worker(behave) as running_worker:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, running_worker.address, "r1", seconds=0.1)
        await asyncio.sleep(0.3)
        assert await ask(driver, running_worker.address, "r2") == (200, BODY)
        assert running_worker.connections == 2


async def test_address_without_listener_is_unreachable(driver):
    async with worker(responding_with(answer)) as running_worker:
        address = running_worker.address
    with pytest.raises(errors.EndpointUnreachableError):
        await ask(driver, address)


async def test_request_after_its_deadline_is_not_sent(driver):
    async with worker(responding_with(answer)) as running_worker:
        with pytest.raises(errors.EndpointUnreachableError):
            await ask(driver, running_worker.address, seconds=0.0)
        assert not running_worker.requests


async def test_refusal_raises_endpoint_refused_error(driver):
    def refusal(id):
        return answer(id, extra="X-Outcome: not-run\r\n")

    async with worker(responding_with(refusal)) as running_worker:
        with pytest.raises(errors.EndpointRefusedError):
            await ask(driver, running_worker.address)


class UncheckedDriver(http.HttpDriver):
    """A driver that returns a fixed response without checking it."""

    def __init__(self, headers, body):
        super().__init__(SystemClock())
        self.result = (200, headers, body)

    async def send(self, address, path, content, headers, seconds, request_id):
        return self.result


HEADERS = {
    "X-Request-Id": "r1",
    "Content-Length": str(len(BODY)),
    "X-Digest": http.digest(BODY),
}


async def test_valid_response_is_returned():
    assert await ask(UncheckedDriver(HEADERS, BODY), "e0") == (200, BODY)


@pytest.mark.parametrize(
    ("changed", "body"),
    [
        ({"X-Request-Id": "another"}, BODY),
        ({"X-Digest": "0" * 16}, BODY),
        ({}, BODY[:-1]),
        ({"Content-Length": "many"}, BODY),
    ],
    ids=["other request", "digest", "truncated", "no length"],
)
async def test_invalid_response_from_a_driver_breaks_the_invariant(changed, body):
    with pytest.raises(errors.InvariantBrokenError):
        await ask(UncheckedDriver({**HEADERS, **changed}, body), "e0")
