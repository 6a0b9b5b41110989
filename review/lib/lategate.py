"""An HTTP proxy before a worker, by which orders arrive late."""

import asyncio

import deployment

from clementinebay import errors
from clementinebay.eventlog import ERROR, EventLog
from clementinebay.web.client import Client
from clementinebay.web.server import Response, Server

#: Time for which an answer of the worker is waited for, in seconds.
ANSWER_SECONDS = 5.0
#: Longer than any caller waits, in seconds.
NEVER_SECONDS = 300.0


def never_late(_body):
    """Return ``None``: an order is not late."""


class LateGate:
    """The network path to a worker.

    ``is_late`` is called with the body of each start order and returns by how many
    seconds the order is late, or ``None``.  A late order is never answered.  While
    ``cut``, no call passes and none is answered; a late order that has passed the cut
    before arrives all the same.
    """

    def __init__(self, host, target, record):
        self.host = host
        self.port = deployment.free_port(host)
        self.target = target
        self.record = record
        self.cut = False
        self.is_late = never_late
        self.deliveries = set()
        self.client = Client()
        log = EventLog(level=ERROR + 1)
        self.server = Server(self.answer, self.host, self.port, log)

    @property
    def address(self):
        """The address to connect to."""
        return f"{self.host}:{self.port}"

    async def open(self):
        """Listen."""
        await self.server.__aenter__()

    async def answer(self, request):
        """Forward one call."""
        if self.cut:
            await asyncio.sleep(NEVER_SECONDS)
        if request.path == "/run-start":
            seconds = self.is_late(request.body)
            if seconds is not None:
                self.delay(request, seconds)
                await asyncio.sleep(NEVER_SECONDS)
        answer = await self.forward(request)
        if self.cut or answer is None:
            await asyncio.sleep(NEVER_SECONDS)
        return answer

    def delay(self, request, seconds):
        """Deliver an order after ``seconds``."""
        body = request.body.decode()
        self.record("order-late", seconds=round(seconds, 2), body=body)
        delivery = asyncio.create_task(self.deliver(request, seconds))
        self.deliveries.add(delivery)
        delivery.add_done_callback(self.deliveries.discard)

    async def deliver(self, request, seconds):
        """Deliver an order late."""
        await asyncio.sleep(seconds)
        answer = await self.forward(request)
        status = None if answer is None else answer.status
        body = request.body.decode()
        self.record("late-order-delivered", status=status, body=body)

    async def forward(self, request):
        """Return the worker's response, or ``None`` without one."""
        headers = [
            (name, request.headers[name])
            for name in ("target-instance",)
            if name in request.headers
        ]
        try:
            answer = await self.client.call(
                self.target,
                request.method,
                request.path,
                ANSWER_SECONDS,
                request.body,
                headers,
            )
        except errors.CallError:
            return None
        return Response(answer.status, answer.body)

    def close(self):
        """Close everything."""
        for delivery in list(self.deliveries):
            delivery.cancel()
        self.server.listener.close()
        for connection in list(self.server.connections):
            connection.transport.abort()
