"""Endpoints driven over HTTP; requests carry an id, a deadline and a digest."""

import hashlib

import httpx
import msgspec

from clementinebay import errors
from clementinebay.endpoint.base import EndpointDriver, Report, TaskReport

#: Longest call that orders or reports on tasks, in seconds.
ORDER_SECONDS = 2.0
#: Largest answer to a request, in bytes.
MAX_ANSWER_BYTES = 4_000_000

NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


def digest(body):
    """Return the digest that an answer carries of its ``body``."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


class HttpDriver(EndpointDriver):
    """Drives endpoints by httpx; ``connections`` bounds those to one endpoint."""

    def __init__(self, clock, connections=64):
        self.clock = clock
        self.connections = connections
        self.clients = {}

    def client(self, address):
        """Return the HTTP client that belongs to one endpoint."""
        found = self.clients.get(address)
        if found is None:
            limits = httpx.Limits(
                max_connections=self.connections,
                max_keepalive_connections=self.connections,
            )
            found = httpx.AsyncClient(base_url=f"http://{address}", limits=limits)
            self.clients[address] = found
        return found

    async def post(self, address, path, content, headers, seconds):
        """POST and return the response; failures become `EndpointError`."""
        try:
            return await self.client(address).post(
                path, content=content, headers=headers, timeout=max(seconds, 0.001)
            )
        except NOT_SENT as error:
            raise errors.EndpointUnreachableError(f"{address}: {error!r}") from error
        except httpx.HTTPError as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error!r}") from error

    async def request(self, address, service, request_id, body, deadline, traceparent):
        """See `EndpointDriver`."""
        headers = {
            "X-Request-Id": request_id,
            "X-Deadline": f"{deadline:.3f}",
            "traceparent": traceparent,
        }
        seconds = deadline - self.clock.now()
        path = f"/v1/requests/{service}"
        response = await self.post(address, path, body, headers, seconds)
        if response.headers.get("X-Outcome") == "not-run":
            raise errors.EndpointRefusedError(f"{address}: {response.text}")
        answer = response.content
        if response.headers.get("X-Request-Id") != request_id or response.headers.get(
            "X-Digest"
        ) != digest(answer):
            raise errors.AnswerMismatchError(f"{address}: the answer is another's")
        return response.status_code, answer

    async def order(self, address, path, message, kind, wait_seconds=0.0):
        """POST an order and return the decoded answer, kept for ``wait_seconds``."""
        content = msgspec.json.encode(message)
        response = await self.post(
            address, path, content, {}, ORDER_SECONDS + wait_seconds
        )
        if response.status_code == 409:
            raise errors.EndpointRefusedError(f"{address}: {response.text}")
        if response.status_code != 200:
            raise errors.EndpointAnswerLostError(f"{address}: {response.status_code}")
        try:
            return msgspec.json.decode(response.content, type=kind)
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

    async def close(self):
        """See `EndpointDriver`."""
        for client in self.clients.values():
            await client.aclose()
