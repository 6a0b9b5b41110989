"""Endpoint drivers over HTTP.

Requests carry an id and a deadline; responses repeat the id and carry a digest.
"""

import hashlib
from abc import abstractmethod

import msgspec

from clementinebay import decoding, errors
from clementinebay.endpoint.base import EndpointDriver, Report, TaskReport

#: Timeout of an order, in seconds, not counting a response delay that it allows.
ORDER_SECONDS = 2.0
#: Timeout for connecting to an endpoint, in seconds.
CONNECT_SECONDS = 1.0
#: Idle connections are closed after this time, in seconds, before endpoints close them.
IDLE_SECONDS = 4.0
#: Largest response body to a request, in bytes.
MAX_ANSWER_BYTES = 4_000_000
#: Maximum number of connections for orders from one daemon to one endpoint.
ORDER_CONNECTIONS = 2

#: Decoders of the responses to orders, by type.
DECODERS = {
    kind: decoding.Decoder(kind, MAX_ANSWER_BYTES) for kind in (TaskReport, Report)
}


def digest(body):
    """Return the digest of ``body`` that a response carries in its headers."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def check_request_id(headers, request_id):
    """Raise `AnswerMismatchError` if the response is to another request."""
    if headers.get("X-Request-Id") != request_id:
        raise errors.AnswerMismatchError("the response is to another request")


def check_content_length(headers):
    """Raise `AnswerMismatchError` if the length is missing or too large."""
    length = headers.get("Content-Length", "")
    if not length.isdecimal():
        raise errors.AnswerMismatchError("the response has no Content-Length")
    if int(length) > MAX_ANSWER_BYTES:
        raise errors.AnswerMismatchError(f"the response has {length} bytes")


def check_body(headers, body):
    """Raise `AnswerMismatchError` if ``body`` does not match ``headers``."""
    if len(body) != int(headers["Content-Length"]):
        raise errors.AnswerMismatchError("the response is truncated")
    if headers.get("X-Digest") != digest(body):
        raise errors.AnswerMismatchError(
            "the response's digest does not match its body"
        )


def assert_intact(headers, body, request_id):
    """Raise `InvariantBrokenError` if a driver returned an invalid response."""
    try:
        check_request_id(headers, request_id)
        check_content_length(headers)
        check_body(headers, body)
    except errors.AnswerMismatchError as error:
        raise errors.InvariantBrokenError(f"{request_id}: {error}") from error


class HttpDriver(EndpointDriver):
    """Base class of drivers over HTTP; a subclass implements ``send``."""

    def __init__(self, clock):
        self.clock = clock

    @abstractmethod
    async def send(self, address, path, content, headers, seconds, request_id):
        """POST and return (status, headers, body).

        With a ``request_id``, the response is checked against it, and the connection is
        closed on a mismatch.  Raises the matching subclass of `EndpointError`.
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
            raise errors.EndpointUnreachableError(f"{address}: deadline has passed")
        path = f"/v1/requests/{service}"
        status, answer_headers, answer = await self.send(
            address, path, body, headers, seconds, request_id
        )
        assert_intact(answer_headers, answer, request_id)
        return status, answer

    async def post_order(self, address, path, message, kind, wait_seconds=0.0):
        """POST an order and return the response, decoded as ``kind``.

        The endpoint may delay its response by up to ``wait_seconds``.
        """
        content = msgspec.json.encode(message)
        status, _headers, body = await self.send(
            address, path, content, {}, ORDER_SECONDS + wait_seconds, ""
        )
        if status == 409:
            raise errors.EndpointRefusedError(f"{address}: {body[:200]!r}")
        if status != 200:
            raise errors.EndpointAnswerLostError(f"{address}: {status}")
        try:
            return DECODERS[kind].decode(body)
        except errors.UnreadableError as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error}") from error

    async def start(self, address, order):
        """See `EndpointDriver`."""
        return await self.post_order(address, "/v1/tasks/start", order, TaskReport)

    async def stop(self, address, order):
        """See `EndpointDriver`."""
        return await self.post_order(address, "/v1/tasks/stop", order, TaskReport)

    async def throttle(self, address, order, share):
        """See `EndpointDriver`."""
        message = {"order": order, "share": share}
        return await self.post_order(address, "/v1/tasks/throttle", message, TaskReport)

    async def renew(self, address, renewal):
        """See `EndpointDriver`."""
        return await self.post_order(
            address, "/v1/renew", renewal, Report, renewal.wait_seconds
        )
