"""Endpoint driver using aiohttp.

A request takes about a fifth of the processor time that it takes with httpx.
"""

import aiohttp
from yarl import URL

from clementinebay import errors
from clementinebay.endpoint import http

#: Errors that aiohttp raises before it has written a byte.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
#: Errors after which the call may have reached the endpoint.
ANSWER_LOST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class Response(aiohttp.ClientResponse):
    """A response that keeps its transport after the end of the body."""

    async def start(self, connection):
        """Store the transport and read the response's headers."""
        self.transport = connection.transport
        return await super().start(connection)

    def abort_connection(self):
        """Close the connection, even if it was already returned to the pool."""
        self.close()
        if self.transport is not None:
            self.transport.abort()


class AiohttpDriver(http.HttpDriver):
    """Uses one connection pool for requests and one for orders.

    Requests in flight to an endpoint are limited by the caller, so their pool has no
    limit.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.request_session = None
        self.order_session = None

    def open_session(self, **limits):
        """Return a new session; ``limits`` are the connector's connection limits."""
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
        """Return the session for requests or for orders, opened on first use."""
        if self.request_session is None:
            self.request_session = self.open_session(limit=0)
            self.order_session = self.open_session(
                limit=0, limit_per_host=http.ORDER_CONNECTIONS
            )
        return self.request_session if is_request else self.order_session

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
        except NOT_SENT_ERRORS as error:
            raise errors.EndpointUnreachableError(f"{address}: {error!r}") from error
        except ANSWER_LOST_ERRORS as error:
            raise errors.EndpointAnswerLostError(f"{address}: {error!r}") from error

    async def receive(self, response, address, request_id):
        """Return (status, headers, body) after checking that they fit the request."""
        headers = response.headers
        if not request_id:
            return response.status, headers, await response.read()
        try:
            http.check_request_id(headers, request_id)
            if headers.get("X-Outcome") == "not-run":
                text = await response.read()
                raise errors.EndpointRefusedError(f"{address}: {text[:200]!r}")
            http.check_content_length(headers)
            body = await response.read()
            http.check_body(headers, body)
        except errors.AnswerMismatchError:
            response.abort_connection()
            raise
        return response.status, headers, body

    async def close(self):
        """See `EndpointDriver`."""
        if self.request_session is not None:
            await self.request_session.close()
            await self.order_session.close()
