import asyncio
import contextlib

import pytest

from clementinebay import errors
from clementinebay.clock import SystemClock
from clementinebay.endpoint import DRIVERS, http, open_driver

BODY = b"tank 7"


def answer(request_id, body=BODY, digest=None, length=None, extra=""):
    """Return the bytes of an answer, well-formed unless told otherwise."""
    length = len(body) if length is None else length
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Digest: {digest or http.digest(body)}\r\n{extra}\r\n"
    )
    return head.encode() + body


class Worker:
    """A server whose ``behave`` gets (request id, writer) of each request."""

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
    made = Worker(behave)
    server = await asyncio.start_server(made.serve, "127.0.0.1", 0)
    made.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    yield made
    server.close()


@pytest.fixture(params=DRIVERS)
async def driver(request):
    made = open_driver(request.param, SystemClock())
    yield made
    await made.close()


async def ask(driver, address, request_id="r1", seconds=5.0):
    deadline = driver.clock.now() + seconds
    return await driver.request(address, "call-in", request_id, BODY, deadline, "")


def writes(make):
    async def behave(request_id, writer):
        writer.write(make(request_id))

    return behave


async def test_whole_answers_share_a_connection(driver):
    async with worker(writes(answer)) as made:
        for number in range(3):
            assert await ask(driver, made.address, f"r{number}") == (200, BODY)
        assert made.connections == 1


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
    ids=["crossed", "digest", "no length", "too long", "no id", "crossed refusal"],
)
async def test_an_answer_that_does_not_fit_is_lost_with_its_connection(make):
    driver = open_driver("aiohttp", SystemClock())
    async with worker(writes(make)) as made:
        for _attempt in range(2):
            with pytest.raises(errors.EndpointAnswerLostError):
                await ask(driver, made.address, seconds=0.5)
        assert made.connections == 2
    await driver.close()


async def test_a_cut_answer_is_lost(driver):
    async def behave(request_id, writer):
        writer.write(answer(request_id)[:-3])
        writer.close()

    async with worker(behave) as made:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, made.address)


async def test_a_reset_after_the_request_is_lost_and_sent_once(driver):
    async def behave(_request_id, writer):
        writer.transport.abort()

    async with worker(behave) as made:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, made.address)
        assert made.requests == 1


async def test_a_kept_connection_that_is_reset_sends_nothing_twice(driver):
    answered = []

    async def behave(request_id, writer):
        if answered:
            writer.transport.abort()
        else:
            answered.append(request_id)
            writer.write(answer(request_id))

    async with worker(behave) as made:
        await ask(driver, made.address)
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, made.address)
        assert made.requests == 2


async def test_a_late_answer_does_not_reach_the_next_request(driver):
    late = []

    async def behave(request_id, writer):
        if not late:
            late.append(request_id)
            await asyncio.sleep(0.3)
        writer.write(answer(request_id))

    async with worker(behave) as made:
        with pytest.raises(errors.EndpointAnswerLostError):
            await ask(driver, made.address, "r1", seconds=0.1)
        await asyncio.sleep(0.3)
        assert await ask(driver, made.address, "r2") == (200, BODY)
        assert made.connections == 2


async def test_nothing_listening_is_unreachable(driver):
    async with worker(writes(answer)) as made:
        address = made.address
    with pytest.raises(errors.EndpointUnreachableError):
        await ask(driver, address)


async def test_a_passed_deadline_is_not_sent(driver):
    async with worker(writes(answer)) as made:
        with pytest.raises(errors.EndpointUnreachableError):
            await ask(driver, made.address, seconds=0.0)
        assert not made.requests


async def test_a_refusal_is_typed(driver):
    def refusal(id):
        return answer(id, extra="X-Outcome: not-run\r\n")

    async with worker(writes(refusal)) as made:
        with pytest.raises(errors.EndpointRefusedError):
            await ask(driver, made.address)


class Careless(http.HttpDriver):
    """A driver that hands on what comes."""

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


async def test_an_answer_that_fits_is_handed_on():
    assert await ask(Careless(HEADERS, BODY), "e0") == (200, BODY)


@pytest.mark.parametrize(
    ("changed", "body"),
    [
        ({"X-Request-Id": "another"}, BODY),
        ({"X-Digest": "0" * 16}, BODY),
        ({}, BODY[:-1]),
        ({"Content-Length": "many"}, BODY),
    ],
    ids=["crossed", "digest", "cut", "no length"],
)
async def test_a_driver_without_checks_breaks_the_promise(changed, body):
    with pytest.raises(errors.InvariantBrokenError):
        await ask(Careless({**HEADERS, **changed}, body), "e0")
