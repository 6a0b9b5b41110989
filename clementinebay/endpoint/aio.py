"""Endpoints driven by aiohttp, which costs a fifth of httpx a request."""

import aiohttp
from yarl import URL

from clementinebay import errors
from clementinebay.endpoint import http

#: What aiohttp raises before it has written a byte.
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
LOST = (aiohttp.ClientError, TimeoutError, OSError)


class Response(aiohttp.ClientResponse):
    """A response that still knows its transport after the body has ended."""

    async def start(self, connection):
        """Keep the transport and read the head."""
        self.transport = connection.transport
        return await super().start(connection)

    def drop(self):
        """Close the connection, also if it has gone back to the pool."""
        self.close()
        if self.transport is not None:
            self.transport.abort()


class AiohttpDriver(http.HttpDriver):
    """Keeps one pool of connections for requests and one for orders.

    The caller bounds the requests in flight to an endpoint, so that the first pool has
    no bound of its own.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.requests = None
        self.orders = None

    def open(self, **limits):
        """Return a session; ``limits`` bound its connections."""
        connector = aiohttp.TCPConnector(
            keepalive_timeout=http.IDLE_SECONDS, use_dns_cache=False, **limits
        )
        return aiohttp.ClientSession(
            connector=connector,
            response_class=Response,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    def session(self, is_request):
        """Return the session for requests or for orders, opened when first needed."""
        if self.requests is None:
            self.requests = self.open(limit=0)
            self.orders = self.open(limit=0, limit_per_host=http.ORDER_CONNECTIONS)
        return self.requests if is_request else self.orders

    async def send(self, address, path, content, headers, seconds, request_id):
        """See `HttpDriver`."""
        url = URL.build(scheme="http", authority=address, path=path)
        connect = min(http.CONNECT_SECONDS, seconds / 2)
        timeout = aiohttp.ClientTimeout(total=seconds, connect=connect)
        session = self.session(bool(request_id))
        try:
            async with session.post(
                url,
                data=content,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await self.receive(response, address, request_id)
        except NOT_SENT as error:
            raise errors.EndpointUnreachableError(f"{address}: {error!r}") from error
        except LOST as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error!r}") from error

    async def receive(self, response, address, request_id):
        """Return (status, headers, body) of an answer that fits its request."""
        headers = response.headers
        if not request_id:
            return response.status, headers, await response.read()
        try:
            http.check_owner(headers, request_id)
            if headers.get("X-Outcome") == "not-run":
                text = await response.read()
                raise errors.EndpointRefusedError(f"{address}: {text[:200]!r}")
            http.check_head(headers)
            body = await response.read()
            http.check_body(headers, body)
        except errors.AnswerMismatchError:
            response.drop()
            raise
        return response.status, headers, body

    async def close(self):
        """See `EndpointDriver`."""
        if self.requests is not None:
            await self.requests.close()
            await self.orders.close()
