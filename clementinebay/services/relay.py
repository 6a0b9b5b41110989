"""Passes on requests that a daemon cannot serve without the store."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.web.server import Response

#: Marks a request that was passed on; it is not passed on again.
RELAYED_HEADER = "clementine-relayed"
#: Time for the answer of the other daemon, in seconds: it may try the store twice.
RELAY_SECONDS = 1.0
#: Headers of clients that the other daemon needs.
PASSED_ON = ("host", "deadline-ms")
#: A daemon that gave no answer is not asked for so long, in seconds.
SILENCE_SECONDS = 2.0

UNAVAILABLE = 503
TIMEOUT = 504
#: Answers of the other daemon that tell of the store, not of the request.
UNSERVED = (UNAVAILABLE, TIMEOUT)


class Relay:
    """Asks the scheduler's daemon, which had the store last.

    Every request that clients make may be made twice: jobs are told apart by their ids.
    """

    def __init__(self, client, node, log):
        self.client = client
        self.node = node
        self.log = log
        self.silent_until = 0.0

    async def answer(self, request, response, holder):
        """Return the `Response` to give instead of ``response``, which served nothing.

        A refusal stays one only if neither daemon can have stored the job.
        """
        if RELAYED_HEADER in request.headers or not self.can_relay(holder):
            return response
        headers = [(name, request.headers.get(name, "")) for name in PASSED_ON]
        headers = [pair for pair in headers if pair[1]] + [(RELAYED_HEADER, self.node)]
        body = request.body or None
        try:
            answer = await self.client.call(
                holder.front, request.method, request.path, RELAY_SECONDS, body, headers
            )
        except errors.CallError as error:
            self.silent_until = self.now() + SILENCE_SECONDS
            self.note(request, holder, error.code)
            sent = not isinstance(error, errors.CallNotSentError)
            return Response(TIMEOUT) if sent else response
        self.note(request, holder, str(answer.status))
        if answer.status == UNAVAILABLE:
            return response
        if answer.status == TIMEOUT:
            return Response(TIMEOUT)
        return Response(answer.status, answer.body)

    @staticmethod
    def now():
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def can_relay(self, holder):
        """Return whether there is another daemon that may answer."""
        if holder is None or not holder.front or holder.node == self.node:
            return False
        return self.now() >= self.silent_until

    def note(self, request, holder, outcome):
        """Count and log what became of a request."""
        metrics.RELAYED_REQUESTS.labels(outcome).inc()
        self.log.info(
            "request.relayed",
            method=request.method,
            path=request.path,
            to=holder.node,
            outcome=outcome,
        )
