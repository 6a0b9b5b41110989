"""Connections between daemons: a server, and a client for each peer."""

import asyncio
import itertools

from clementinebay import errors, metrics, thriftcodec
from clementinebay.log import Log
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

#: Longest time to connect to a peer, in seconds.
CONNECT_SECONDS = 1.0
#: Bytes that may wait in one connection before further messages are refused.
HIGH_WATER_BYTES = 4_000_000

BYTES_IN = metrics.PEER_BYTES.labels("in")
BYTES_OUT = metrics.PEER_BYTES.labels("out")

log = Log("peer")


def count_sent(kind, data):
    """Count a frame by the kind of message that it carries or answers."""
    name = wire.Kind._VALUES_TO_NAMES.get(kind, "OTHER")
    metrics.PEER_SENT_BYTES.labels(name).inc(len(data))


class Connection(asyncio.Protocol):
    """Frames over one TCP connection; the frames of one turn share a write."""

    def __init__(self, limit, received, lost=None):
        self.received = received
        self.lost = lost
        self.splitter = frame.Splitter(limit)
        self.outgoing = []
        self.is_full = False
        self.transport = None

    @property
    def is_open(self):
        """Whether frames can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    def data_received(self, data):
        """Hand on every envelope; a frame that breaks the protocol ends it all."""
        BYTES_IN.inc(len(data))
        try:
            for envelope in self.splitter.feed(data):
                self.received(envelope, self)
        except errors.FrameError as error:
            self.fail(error)

    def eof_received(self):
        """Check that the last frame was whole."""
        try:
            self.splitter.end()
        except errors.FrameError as error:
            self.fail(error)

    def fail(self, error):
        """Close the connection for ``error``."""
        log.warning("Closed a connection: %s: %s.", error.code, error)
        self.transport.abort()

    def connection_lost(self, _error):
        """Tell the owner."""
        if self.lost is not None:
            self.lost(self)

    def pause_writing(self):
        """Note that too much waits."""
        self.is_full = True

    def resume_writing(self):
        """Note that there is room again."""
        self.is_full = False

    def send(self, data):
        """Send a frame at the end of this turn of the loop."""
        BYTES_OUT.inc(len(data))
        if not self.outgoing:
            asyncio.get_running_loop().call_soon(self.flush)
        self.outgoing.append(data)

    def flush(self):
        """Write the frames of this turn."""
        data = b"".join(self.outgoing)
        self.outgoing.clear()
        if self.is_open:
            self.transport.write(data)

    def close(self):
        """Write what is left and close."""
        if self.transport is not None:
            self.flush()
            self.transport.close()


class PeerServer:
    """Answers messages of peers; an asynchronous context manager.

    ``handlers`` maps each `wire.Kind` to (structure class, coroutine function of the
    structure and the envelope that returns the reply structure).
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
        """Return the protocol of a new connection."""
        connection = Connection(self.limit, self.receive, self.connections.discard)
        self.connections.add(connection)
        return connection

    def receive(self, envelope, connection):
        """Begin to answer a message."""
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
            reply = self.failure(envelope, errors.PeerError("kind without handler"))
        except Exception as error:
            # A message with fields missing must not leave its sender waiting.
            log.error("Cannot handle kind %d: %r.", envelope.kind, error)
            reply = self.failure(envelope, errors.PeerError("cannot be handled"))
        try:
            data = frame.encode(reply, self.limit)
        except errors.FrameTooLargeError:
            # The message was handled, so no error that says otherwise may be sent.
            lost = errors.PeerAnswerLostError("the answer is too large for the link")
            data = frame.encode(self.failure(envelope, lost), self.limit)
        if connection.is_open:
            connection.send(data)
            count_sent(envelope.kind, data)

    @staticmethod
    def failure(envelope, error):
        """Return the envelope that reports ``error``."""
        payload = thriftcodec.encode(wire.Failure(error.code, str(error)))
        return wire.Envelope(envelope.id, wire.Kind.ERROR, 0.0, "", payload)


class PeerClient:
    """Sends messages to one peer over one connection, opened when needed."""

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

        Raises `FrameTooLargeError` or `PeerUnreachableError` when nothing was sent,
        `PeerAnswerLostError` when no answer came by ``deadline``, and the error that
        the peer reported.
        """
        payload = thriftcodec.encode(message)
        number = next(self.ids)
        envelope = wire.Envelope(number, kind, deadline, traceparent, payload)
        data = frame.encode(envelope, self.limit)
        connection = self.connection
        if connection is None or not connection.is_open:
            connection = await self.connect()
        remaining = deadline - self.clock.now()
        if connection.is_full or not connection.is_open or remaining <= 0.0:
            raise errors.PeerUnreachableError(f"{self.address}: not sent in time")
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.waiting[number] = (future, connection)
        timer = loop.call_later(remaining, self.give_up, future)
        try:
            connection.send(data)
            count_sent(kind, data)
            answer = await future
        finally:
            timer.cancel()
            del self.waiting[number]
        if answer.kind == wire.Kind.ERROR:
            failure = thriftcodec.decode(wire.Failure, answer.payload)
            raise errors.from_code(failure.code, failure.message)
        return thriftcodec.decode(reply_kind, answer.payload)

    async def connect(self):
        """Return the open connection, opened if there is none."""
        async with self.lock:
            if self.connection is not None and self.connection.is_open:
                return self.connection
            host, _colon, port = self.address.rpartition(":")
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    _transport, self.connection = await loop.create_connection(
                        lambda: Connection(self.limit, self.receive, self.lose),
                        host,
                        int(port),
                    )
            except (OSError, TimeoutError, ValueError) as error:
                raise errors.PeerUnreachableError(
                    f"{self.address}: {error!r}"
                ) from error
            return self.connection

    def receive(self, envelope, _connection):
        """Hand a reply to its caller."""
        future, _sent_over = self.waiting.get(envelope.id, (None, None))
        if future is not None and not future.done():
            future.set_result(envelope)

    def lose(self, connection):
        """Tell the callers that wait at ``connection`` that their answer is lost."""
        for future, sent_over in self.waiting.values():
            if sent_over is connection and not future.done():
                future.set_exception(errors.PeerAnswerLostError("the connection broke"))

    @staticmethod
    def give_up(future):
        """End a wait at its deadline."""
        if not future.done():
            future.set_exception(errors.PeerAnswerLostError("no answer in time"))

    async def close(self):
        """Close the connection."""
        if self.connection is not None:
            self.connection.close()
