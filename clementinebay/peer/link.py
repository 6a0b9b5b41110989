"""Connections between daemons: a server, and a client for each peer."""

import asyncio
import itertools

from clementinebay import errors, metrics, thriftcodec
from clementinebay.log import Log
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

#: Longest time to connect to a peer, in seconds.
CONNECT_SECONDS = 1.0

log = Log("peer")


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
        self.tasks = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        """Read frames of one connection until it ends or breaks the protocol."""
        self.adopt(asyncio.current_task())
        try:
            while (received := await frame.read(reader, self.limit)) is not None:
                envelope, size = received
                metrics.PEER_BYTES.labels("in").inc(size)
                self.adopt(asyncio.create_task(self.answer(envelope, writer)))
        except errors.FrameError as error:
            log.warning("Closed a connection: %s: %s.", error.code, error)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def adopt(self, task):
        """Keep ``task`` until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def answer(self, envelope, writer):
        """Handle one message and write its reply or error."""
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
        except errors.FrameTooLargeError as error:
            data = frame.encode(self.failure(envelope, error), self.limit)
        metrics.PEER_BYTES.labels("out").inc(len(data))
        if not writer.is_closing():
            writer.write(data)

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
        self.writer = None
        self.reading = None
        self.lock = asyncio.Lock()

    async def call(self, kind, message, reply_kind, deadline, traceparent=""):
        """Send ``message`` and return the peer's reply of class ``reply_kind``.

        Raises `PeerUnreachableError` when nothing was sent, `PeerAnswerLostError` when
        no answer came by ``deadline``, and the error that the peer reported.
        """
        payload = thriftcodec.encode(message)
        number = next(self.ids)
        envelope = wire.Envelope(number, kind, deadline, traceparent, payload)
        data = frame.encode(envelope, self.limit)
        await self.connect()
        future = asyncio.get_running_loop().create_future()
        self.waiting[number] = future
        try:
            self.writer.write(data)
            metrics.PEER_BYTES.labels("out").inc(len(data))
            remaining = max(0.0, deadline - self.clock.now())
            answer = await asyncio.wait_for(future, remaining)
        except TimeoutError as error:
            raise errors.PeerAnswerLostError("no answer by the deadline") from error
        finally:
            self.waiting.pop(number, None)
        if answer.kind == wire.Kind.ERROR:
            failure = thriftcodec.decode(wire.Failure, answer.payload)
            raise errors.from_code(failure.code, failure.message)
        return thriftcodec.decode(reply_kind, answer.payload)

    async def connect(self):
        """Open the connection if there is none."""
        async with self.lock:
            if self.writer is not None and not self.writer.is_closing():
                return
            host, _colon, port = self.address.rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_SECONDS):
                    reader, self.writer = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError, ValueError) as error:
                raise errors.PeerUnreachableError(
                    f"{self.address}: {error!r}"
                ) from error
            self.reading = asyncio.create_task(self.read(reader, self.writer))

    async def read(self, reader, writer):
        """Hand replies to their callers until the connection ends."""
        try:
            while (received := await frame.read(reader, self.limit)) is not None:
                envelope, size = received
                metrics.PEER_BYTES.labels("in").inc(size)
                future = self.waiting.get(envelope.id)
                if future is not None and not future.done():
                    future.set_result(envelope)
        except errors.FrameError as error:
            log.warning("%s: %s: %s.", self.address, error.code, error)
        except OSError:
            pass
        finally:
            writer.close()
            if writer is self.writer:
                self.fail_waiting()

    def fail_waiting(self):
        """Tell every waiting caller that its answer is lost."""
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(errors.PeerAnswerLostError("the connection broke"))

    async def close(self):
        """Close the connection."""
        if self.reading is not None:
            self.reading.cancel()
            await asyncio.gather(self.reading, return_exceptions=True)
        if self.writer is not None:
            self.writer.close()
