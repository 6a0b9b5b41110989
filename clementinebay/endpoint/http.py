"""Endpoints driven over HTTP; requests carry an id, a deadline and a digest."""

import hashlib
from abc import abstractmethod

import msgspec

from clementinebay import errors
from clementinebay.endpoint.base import EndpointDriver, Report, TaskReport

#: Longest call that orders or reports on tasks, in seconds.
ORDER_SECONDS = 2.0
#: Longest time to connect to an endpoint, in seconds.
CONNECT_SECONDS = 1.0
#: Idle connections are closed after so long, in seconds, before endpoints do it.
IDLE_SECONDS = 4.0
#: Largest answer to a request, in bytes.
MAX_ANSWER_BYTES = 4_000_000
#: Connections for orders that one daemon keeps to one endpoint at most.
ORDER_CONNECTIONS = 2


def digest(body):
    """Return the digest that an answer carries of its ``body``."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def check_owner(headers, request_id):
    """Raise `AnswerMismatchError` unless an answer or refusal is the request's own."""
    if headers.get("X-Request-Id") != request_id:
        raise errors.AnswerMismatchError("the answer is another request's")


def check_head(headers):
    """Raise `AnswerMismatchError` unless an answer tells a length that is allowed."""
    length = headers.get("Content-Length", "")
    if not length.isdecimal():
        raise errors.AnswerMismatchError("the answer does not tell its length")
    if int(length) > MAX_ANSWER_BYTES:
        raise errors.AnswerMismatchError(f"the answer has {length} bytes")


def check_body(headers, body):
    """Raise `AnswerMismatchError` unless ``body`` is what ``headers`` announce."""
    if len(body) != int(headers["Content-Length"]):
        raise errors.AnswerMismatchError("the answer was cut")
    if headers.get("X-Digest") != digest(body):
        raise errors.AnswerMismatchError("the answer's digest does not fit")


def assert_whole(headers, body, request_id):
    """Raise `InvariantBrokenError` for an answer that no driver may hand on."""
    try:
        check_owner(headers, request_id)
        check_head(headers)
        check_body(headers, body)
    except errors.AnswerMismatchError as error:
        raise errors.InvariantBrokenError(f"{request_id}: {error}") from error


class HttpDriver(EndpointDriver):
    """What drivers over HTTP share; a driver adds ``send``."""

    def __init__(self, clock):
        self.clock = clock

    @abstractmethod
    async def send(self, address, path, content, headers, seconds, request_id):
        """POST and return (status, headers, body).

        With ``request_id`` the answer must fit it, and a connection whose answer does
        not is closed.  Raises `EndpointError` of the fitting type.
        """

    async def request(self, address, service, request_id, body, deadline, traceparent):
        """See `EndpointDriver`."""
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline": f"{deadline:.3f}",
        }
        if traceparent:
            headers["traceparent"] = traceparent
        seconds = deadline - self.clock.now()
        if seconds <= 0.0:
            raise errors.EndpointUnreachableError(f"{address}: the deadline has passed")
        path = f"/v1/requests/{service}"
        status, found, answer = await self.send(
            address, path, body, headers, seconds, request_id
        )
        assert_whole(found, answer, request_id)
        return status, answer

    async def order(self, address, path, message, kind, wait_seconds=0.0):
        """POST an order and return the decoded answer, kept for ``wait_seconds``."""
        content = msgspec.json.encode(message)
        status, _headers, body = await self.send(
            address, path, content, {}, ORDER_SECONDS + wait_seconds, ""
        )
        if status == 409:
            raise errors.EndpointRefusedError(f"{address}: {body[:200]!r}")
        if status != 200:
            raise errors.EndpointAnswerLostError(f"{address}: {status}")
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.DecodeError as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error}") from error

    async def start(self, address, order):
        """See `EndpointDriver`."""
        return await self.order(address, "/v1/tasks/start", order, TaskReport)

    async def stop(self, address, order):
        """See `EndpointDriver`."""
        return await self.order(address, "/v1/tasks/stop", order, TaskReport)

    async def throttle(self, address, order, share):
        """See `EndpointDriver`."""
        message = {"order": order, "share": share}
        return await self.order(address, "/v1/tasks/throttle", message, TaskReport)

    async def renew(self, address, renewal):
        """See `EndpointDriver`."""
        return await self.order(
            address, "/v1/renew", renewal, Report, renewal.wait_seconds
        )
