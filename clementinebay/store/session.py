"""HTTP to the platform by aiohttp, which costs a fifth of httpx a call."""

import aiohttp

#: Idle connections are closed after so long, in seconds, before a server does it.
IDLE_SECONDS = 4.0
#: Connections that one daemon keeps to the platform.
CONNECTIONS = 16
#: Failures that prove that no byte of the call was sent.
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
#: Every failure of a call.
FAILED = (aiohttp.ClientError, TimeoutError, OSError)


class Session:
    """A session that is opened when first needed; calls end after ``timeout`` seconds.

    A connection has half of that time to open, or to become free.
    """

    def __init__(self, timeout):
        self.timeout = aiohttp.ClientTimeout(total=timeout, connect=timeout / 2)
        self.session = None

    def open(self):
        """Return the `aiohttp.ClientSession`."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=CONNECTIONS, keepalive_timeout=IDLE_SECONDS
                ),
                timeout=self.timeout,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            )
        return self.session

    def watching(self, silence):
        """Return the timeout of a call whose answer has pauses of ``silence``."""
        return aiohttp.ClientTimeout(connect=self.timeout.connect, sock_read=silence)

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
