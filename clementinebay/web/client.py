"""An HTTP/1.1 client with a pool of connections for each address.

It distinguishes calls that were certainly not sent (`CallNotSentError`) from calls that
may have been executed (`CallUnansweredError`).
"""

import asyncio
import socket

import httptools

from clementinebay import errors

#: Longest body of an answer, in bytes; longer ones would use up the memory.
MAX_BODY_BYTES = 33_554_432
#: A connection is closed if sent data stays unacknowledged for longer, in milliseconds.
USER_TIMEOUT_MS = 3_000
#: Idle time before, and interval between, TCP keepalive probes, in seconds.
KEEPALIVE_SECONDS = 2
#: Number of unanswered keepalive probes after which a connection is closed.
KEEPALIVE_PROBES = 2
#: Maximum number of idle connections kept open to one address.
MAX_IDLE_CONNECTIONS = 16
#: Share of the descriptors granted that connections to one address may take.
DESCRIPTOR_SHARE = 0.25
#: Limit of connections to one address where the settings grant nothing.
DEFAULT_MAX_CONNECTIONS = 1_000
#: A connection that has been idle for longer is not reused, in seconds.
IDLE_SECONDS = 20.0
#: Number of times that the event loop polls its sockets between the deadline of a call
#: and its failure.  A late loop has not read yet what has arrived, and a connection is
#: opened in four steps, one after each poll.
GRACE_POLLS = 6


class Answer:
    """A complete response; ``headers`` maps lower-case names to strings."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class PatientTimer:
    """Calls ``callback`` once ``deadline`` has passed and the loop has polled again.

    Without the polls, a daemon whose loop is late would fail calls that were answered,
    and make them again, which delays the loop further.
    """

    __slots__ = ("loop", "callback", "handle")

    def __init__(self, loop, deadline, callback):
        self.loop = loop
        self.callback = callback
        self.handle = loop.call_at(deadline, self.poll, GRACE_POLLS)

    def poll(self, polls_left):
        """Wait for the remaining polls, then call back."""
        if polls_left:
            self.handle = self.loop.call_soon(self.poll, polls_left - 1)
        else:
            self.callback()

    def postpone(self, deadline):
        """Call back after ``deadline`` instead."""
        self.handle.cancel()
        self.handle = self.loop.call_at(deadline, self.poll, GRACE_POLLS)

    def cancel(self):
        """Do not call back."""
        self.handle.cancel()


class ClientConnection(asyncio.Protocol):
    """A connection with at most one call in progress.

    ``timer`` ends that call.  While its answer is arriving, the timer is postponed to
    ``stall_seconds`` after the last bytes, but not beyond ``last_deadline``.
    """

    __slots__ = (
        "transport",
        "parser",
        "waiter",
        "headers",
        "body",
        "size",
        "keep_alive",
        "idle_since",
        "timer",
        "stall_seconds",
        "last_deadline",
    )

    def __init__(self):
        self.transport = None
        self.waiter = None
        self.timer = None
        self.stall_seconds = 0.0
        self.last_deadline = 0.0
        self.keep_alive = False
        self.idle_since = 0.0

    def connection_made(self, transport):
        """Set socket options that detect an unresponsive peer."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)

    def connection_lost(self, exc):
        """Fail the call in progress."""
        self.fail(exc or ConnectionResetError())

    def data_received(self, data):
        """Feed the parser."""
        if self.waiter is None:
            self.transport.abort()
            return
        if self.stall_seconds:
            now = asyncio.get_running_loop().time()
            self.timer.postpone(min(now + self.stall_seconds, self.last_deadline))
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.fail(error)
            self.transport.abort()

    def on_header(self, name, value):
        """Collect one header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data):
        """Collect a part of the body; raise `AnswerTooLargeError` if it is too long."""
        self.size += len(data)
        if self.size > MAX_BODY_BYTES:
            raise errors.AnswerTooLargeError(MAX_BODY_BYTES)
        self.body.append(data)

    def on_message_complete(self):
        """Complete the call in progress."""
        if self.waiter is not None and not self.waiter.done():
            status = self.parser.get_status_code()
            # Available from the parser only until this callback returns.
            self.keep_alive = self.parser.should_keep_alive()
            answer = Answer(status, self.headers, b"".join(self.body))
            self.waiter.set_result(answer)

    def fail(self, error):
        """Fail the call in progress with ``error``."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)

    def time_out(self):
        """Fail the call in progress because its time is over."""
        self.fail(TimeoutError())

    async def exchange(self, data, deadline, stall_seconds=0.0, last_deadline=0.0):
        """Send the encoded call ``data`` and return its `Answer`.

        Raises `TimeoutError` if there is none at ``deadline``, a time of the event
        loop.  With ``stall_seconds`` that time is postponed while bytes arrive, up to
        ``last_deadline``.
        """
        loop = asyncio.get_running_loop()
        self.parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.body = []
        self.size = 0
        self.waiter = loop.create_future()
        self.stall_seconds = stall_seconds
        self.last_deadline = last_deadline
        self.timer = PatientTimer(loop, deadline, self.time_out)
        try:
            self.transport.write(data)
            return await self.waiter
        finally:
            self.timer.cancel()
            self.waiter = None

    @property
    def is_reusable(self):
        """Whether the connection can be used for another call."""
        return self.keep_alive and not self.transport.is_closing()


class Client:
    """Makes calls to ``host:port`` addresses.

    An asynchronous context manager, which closes the connections on exit.  ``opened``
    is the number of connections opened so far.  A call waits for its turn while
    ``max_connections`` calls to its address are in progress.
    """

    def __init__(self):
        self.idle = {}
        self.opened = 0
        self.max_connections = DEFAULT_MAX_CONNECTIONS
        self.turns = {}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc):
        for address in list(self.idle):
            self.close_idle(address)

    def close_idle(self, address):
        """Close the idle connections to ``address``."""
        for connection in self.idle.pop(address, ()):
            connection.transport.abort()

    def grant(self, descriptors):
        """Set the limit from what the settings grant the process.

        Calls in progress do not count against a limit that has changed.
        """
        limit = max(1, int(descriptors * DESCRIPTOR_SHARE))
        if limit != self.max_connections:
            self.max_connections = limit
            self.turns.clear()

    async def take_turn(self, address, deadline):
        """Return a semaphore held for a call; raise `CallNotSentError` if too late."""
        turn = self.turns.get(address)
        if turn is None:
            turn = self.turns[address] = asyncio.Semaphore(self.max_connections)
        try:
            async with asyncio.timeout_at(deadline if turn.locked() else None):
                await turn.acquire()
        except TimeoutError as error:
            raise errors.CallNotSentError(address, error) from error
        return turn

    async def call(
        self, address, method, path, timeout, body=None, headers=(), max_seconds=0.0
    ):
        """Make a call and return its `Answer` within ``timeout`` seconds.

        That time begins anew if it is over when the connection is open, because then
        the event loop is late rather than the peer.  With ``max_seconds`` it also
        begins anew with each arrival of bytes, but ends after ``max_seconds`` in any
        case.  ``body`` is JSON as bytes, or ``None``; ``headers`` lists (name, value)
        strings.  Raises `CallNotSentError` if no byte was sent, and
        `CallUnansweredError` for any later failure.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        turn = await self.take_turn(address, deadline)
        try:
            connection = await self.connect(address, deadline)
            if loop.time() >= deadline:
                deadline = loop.time() + timeout
            data = encode_call(address, method, path, body, headers)
            try:
                answer = await connection.exchange(
                    data,
                    deadline,
                    timeout if max_seconds else 0.0,
                    loop.time() + max_seconds,
                )
            except BaseException as error:
                connection.transport.abort()
                if isinstance(error, TimeoutError):
                    self.close_idle(address)
                if isinstance(error, (OSError, httptools.HttpParserError)):
                    raise errors.CallUnansweredError(address, path, error) from error
                raise
            self.release(address, connection)
            return answer
        finally:
            turn.release()

    async def connect(self, address, deadline):
        """Return an idle connection to ``address`` or open a new one."""
        loop = asyncio.get_running_loop()
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            is_fresh = loop.time() - connection.idle_since < IDLE_SECONDS
            if is_fresh and not connection.transport.is_closing():
                return connection
            connection.transport.abort()
        host, _colon, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(None) as scope:
                timer = PatientTimer(
                    loop, deadline, lambda: scope.reschedule(loop.time())
                )
                try:
                    _transport, connection = await loop.create_connection(
                        ClientConnection, host, int(port)
                    )
                finally:
                    timer.cancel()
        except (OSError, ValueError, OverflowError) as error:
            # The last two are raised for hosts and ports that cannot exist.
            raise errors.CallNotSentError(address, error) from error
        return connection

    def release(self, address, connection):
        """Keep a connection for later calls if possible, otherwise close it."""
        idle = self.idle.setdefault(address, [])
        if connection.is_reusable and len(idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since = asyncio.get_running_loop().time()
            idle.append(connection)
        else:
            connection.transport.close()


def encode_call(address, method, path, body, headers):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _value in headers):
        lines.append(f"host: {address}")
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body is not None:
        lines.append("content-type: application/json")
    if body is not None or method != "GET":
        lines.append(f"content-length: {len(body or b'')}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")
