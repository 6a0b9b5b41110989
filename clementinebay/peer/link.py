"""Connections between daemons: a server, and a client for one peer."""

import asyncio
import itertools

from clementinebay import errors, metrics, thriftcodec
from clementinebay.log import Log
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

#: Timeout for connecting to a peer, in seconds.
CONNECT_SECONDS = 1.0
#: Bytes buffered in one connection above which further messages are refused.
HIGH_WATER_BYTES = 4_000_000

BYTES_IN = metrics.PEER_BYTES.labels("in")
BYTES_OUT = metrics.PEER_BYTES.labels("out")

log = Log("peer")


def count_sent_bytes(kind, data):
    """Count the bytes of a frame under the kind of its message or request."""
    name = wire.Kind._VALUES_TO_NAMES.get(kind, "OTHER")
    metrics.PEER_SENT_BYTES.labels(name).inc(len(data))


class Connection(asyncio.Protocol):
    """Frames over one TCP connection.

    Frames sent in the same iteration of the event loop are written together.
    ``on_envelope`` is called with each envelope and the connection, ``on_lost`` with
    the connection when it has been closed.
    """

    def __init__(self, limit, on_envelope, on_lost=None):
        self.on_envelope = on_envelope
        self.on_lost = on_lost
        self.splitter = frame.Splitter(limit)
        self.queued_frames = []
        self.is_write_paused = False
        self.transport = None

    @property
    def is_open(self):
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport):
        """Store the transport and set its write buffer limit."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def data_received(self, data):
        """Pass on each envelope; close the connection on an invalid frame."""
        BYTES_IN.inc(len(data))
        try:
            for envelope in self.splitter.feed(data):
                self.on_envelope(envelope, self)
        except errors.FrameError as error:
            self.fail(error)

    def eof_received(self):
        """Check that the last frame is complete."""
        try:
            self.splitter.end()
        except errors.FrameError as error:
            self.fail(error)

    def fail(self, error):
        """Close the connection because of ``error``."""
        log.warning("Closed a peer connection: %s: %s.", error.code, error)
        self.transport.abort()

    def connection_lost(self, _error):
        """Notify the owner."""
        if self.on_lost is not None:
            self.on_lost(self)

    def pause_writing(self):
        """Refuse messages while the write buffer is full."""
        self.is_write_paused = True

    def resume_writing(self):
        """Accept messages again."""
        self.is_write_paused = False

    def send(self, data):
        """Queue a frame to be written in the next iteration of the event loop."""
        BYTES_OUT.inc(len(data))
        if not self.queued_frames:
            asyncio.get_running_loop().call_soon(self.flush)
        self.queued_frames.append(data)

    def flush(self):
        """Write the queued frames."""
        data = b"".join(self.queued_frames)
        self.queued_frames.clear()
        if self.is_open:
            self.transport.write(data)

    def close(self):
        """Write the queued frames and close the connection."""
        if self.transport is not None:
            self.flush()
            self.transport.close()


class PeerServer:
    """Handles messages of peers; an asynchronous context manager.

    ``handlers`` maps each `wire.Kind` to a pair of the message's class and a coroutine
    function, which is called with the message and its envelope and returns the reply.
    """

    def __init__(self, address, port, limit, handlers):
        self.address = address
        self.port = port
        self.limit = limit
        self.handlers = handlers
        self.server = None
        self.connections = set()
        self.tasks = set()

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.connect, self.address, self.port)
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in list(self.connections):
            connection.close()

    def connect(self):
        """Return the protocol object of a new connection."""
        connection = Connection(self.limit, self.receive, self.connections.discard)
        self.connections.add(connection)
        return connection

    def receive(self, envelope, connection):
        """Start a task that handles a message."""
        task = asyncio.create_task(self.answer(envelope, connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, envelope, connection):
        """Handle one message and send its reply or error."""
        try:
            kind, handler = self.handlers[envelope.kind]
            message = thriftcodec.decode(kind, envelope.payload)
            result = await handler(message, envelope)
            reply = wire.Envelope(
                envelope.id, wire.Kind.REPLY, 0.0, "", thriftcodec.encode(result)
            )
        except errors.ClementineError as error:
            reply = self.failure(envelope, error)
        except KeyError:
            reply = self.failure(envelope, errors.PeerError("no handler for this kind"))
        except Exception as error:
            # The sender must get a reply even if, say, the message lacks a field.
            log.error("Cannot handle a message of kind %d: %r.", envelope.kind, error)
            reply = self.failure(envelope, errors.PeerError("handler failed"))
        try:
            data = frame.encode(reply, self.limit)
        except errors.FrameTooLargeError:
            # The message was handled, so the error must leave the outcome unknown.
            lost = errors.PeerAnswerLostError("the reply is too large for a frame")
            data = frame.encode(self.failure(envelope, lost), self.limit)
        if connection.is_open:
            connection.send(data)
            count_sent_bytes(envelope.kind, data)

    @staticmethod
    def failure(envelope, error):
        """Return the envelope that reports ``error``."""
        payload = thriftcodec.encode(wire.Failure(error.code, str(error)))
        return wire.Envelope(envelope.id, wire.Kind.ERROR, 0.0, "", payload)


class PeerClient:
    """Sends messages to one peer over one connection, opened on demand."""

    def __init__(self, address, limit, clock):
        self.address = address
        self.limit = limit
        self.clock = clock
        self.ids = itertools.count(1)
        self.waiting = {}
        self.connection = None
        self.lock = asyncio.Lock()

    async def call(self, kind, message, reply_kind, deadline, traceparent=""):
        """Send ``message`` and return the peer's reply of class ``reply_kind``.

        Raises `FrameTooLargeError` or `PeerUnreachableError` if nothing was sent,
        `PeerAnswerLostError` if the connection broke or no reply arrived by
        ``deadline``, and otherwise the error that the peer reported.
        """
        payload = thriftcodec.encode(message)
        message_id = next(self.ids)
        envelope = wire.Envelope(message_id, kind, deadline, traceparent, payload)
        data = frame.encode(envelope, self.limit)
        connection = self.connection
        if connection is None or not connection.is_open:
            connection = await self.connect()
        remaining = deadline - self.clock.now()
        if connection.is_write_paused or not connection.is_open or remaining <= 0.0:
            raise errors.PeerUnreachableError(f"{self.address}: cannot send in time")
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.waiting[message_id] = (future, connection)
        timer = loop.call_later(remaining, self.expire, future)
        try:
            connection.send(data)
            count_sent_bytes(kind, data)
            answer = await future
        finally:
            timer.cancel()
            del self.waiting[message_id]
        if answer.kind == wire.Kind.ERROR:
            failure = thriftcodec.decode(wire.Failure, answer.payload)
            raise errors.from_code(failure.code, failure.message)
        return thriftcodec.decode(reply_kind, answer.payload)

    async def connect(self):
        """Return the connection, opening one if needed."""
        async with self.lock:
            if self.connection is not None and self.connection.is_open:
                return self.connection
            host, _colon, port = self.address.rpartition(":")
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    _transport, self.connection = await loop.create_connection(
                        lambda: Connection(self.limit, self.receive, self.fail_calls),
                        host,
                        int(port),
                    )
            except (OSError, TimeoutError, ValueError) as error:
                raise errors.PeerUnreachableError(
                    f"{self.address}: {error!r}"
                ) from error
            return self.connection

    def receive(self, envelope, _connection):
        """Pass a reply to its caller."""
        future, _sent_over = self.waiting.get(envelope.id, (None, None))
        if future is not None and not future.done():
            future.set_result(envelope)

    def fail_calls(self, connection):
        """Fail the calls sent over ``connection``, whose replies are lost."""
        for future, sent_over in self.waiting.values():
            if sent_over is connection and not future.done():
                future.set_exception(errors.PeerAnswerLostError("connection lost"))

    @staticmethod
    def expire(future):
        """Fail a call whose deadline has passed."""
        if not future.done():
            future.set_exception(errors.PeerAnswerLostError("no reply by the deadline"))

    async def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
