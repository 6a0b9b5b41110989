"""Endpoint driver using httpx."""

import httpx

from clementinebay import errors
from clementinebay.endpoint import http

#: Errors that httpx raises before it has written a byte.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpxDriver(http.HttpDriver):
    """Uses two clients for each endpoint: one for requests and one for orders."""

    def __init__(self, clock):
        super().__init__(clock)
        self.clients = {}

    def client(self, address, is_request):
        """Return the client for requests or for orders to one endpoint."""
        key = (address, is_request)
        if key not in self.clients:
            connection_limit = None if is_request else http.ORDER_CONNECTIONS
            limits = httpx.Limits(
                max_connections=connection_limit, keepalive_expiry=http.IDLE_SECONDS
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
        except NOT_SENT_ERRORS as error:
            raise errors.EndpointUnreachableError(f"{address}: {error!r}") from error
        except httpx.HTTPError as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error!r}") from error

    async def receive(self, response, address, request_id):
        """Return (status, headers, body) after checking that they fit the request."""
        headers = response.headers
        if not request_id:
            return response.status_code, headers, await response.aread()
        # If a check raises, leaving the stream before its end closes the connection.
        http.check_request_id(headers, request_id)
        if headers.get("X-Outcome") == "not-run":
            text = await response.aread()
            raise errors.EndpointRefusedError(f"{address}: {text[:200]!r}")
        http.check_content_length(headers)
        body = await response.aread()
        http.check_body(headers, body)
        return response.status_code, headers, body

    async def close(self):
        """See `EndpointDriver`."""
        for client in self.clients.values():
            await client.aclose()
