"""Endpoints driven by httpx."""

import httpx

from clementinebay import errors
from clementinebay.endpoint import http

NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpxDriver(http.HttpDriver):
    """Keeps a client for the requests and one for the orders of each endpoint."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clients = {}

    def client(self, address, is_request):
        """Return the client of one endpoint for requests or for orders."""
        key = (address, is_request)
        if key not in self.clients:
            most = None if is_request else http.ORDER_CONNECTIONS
            limits = httpx.Limits(
                max_connections=most, keepalive_expiry=http.IDLE_SECONDS
            )
            self.clients[key] = httpx.AsyncClient(
                base_url=f"http://{address}", limits=limits, trust_env=False
            )
        return self.clients[key]

    async def send(self, address, path, content, headers, seconds, request_id):
        """See `HttpDriver`."""
        client = self.client(address, bool(request_id))
        timeout = httpx.Timeout(seconds, connect=min(http.CONNECT_SECONDS, seconds / 2))
        try:
            async with client.stream(
                "POST", path, content=content, headers=headers, timeout=timeout
            ) as response:
                return await self.receive(response, address, request_id)
        except NOT_SENT as error:
            raise errors.EndpointUnreachableError(f"{address}: {error!r}") from error
        except httpx.HTTPError as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error!r}") from error

    async def receive(self, response, address, request_id):
        """Return (status, headers, body) of an answer that fits its request."""
        headers = response.headers
        if not request_id:
            return response.status_code, headers, await response.aread()
        # Leaving the stream before its end closes the connection.
        http.check_owner(headers, request_id)
        if headers.get("X-Outcome") == "not-run":
            text = await response.aread()
            raise errors.EndpointRefusedError(f"{address}: {text[:200]!r}")
        http.check_head(headers)
        body = await response.aread()
        http.check_body(headers, body)
        return response.status_code, headers, body

    async def close(self):
        """See `EndpointDriver`."""
        for client in self.clients.values():
            await client.aclose()
