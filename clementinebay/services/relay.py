"""Relays requests to the scheduler's daemon while this one cannot reach the store."""

import asyncio

from clementinebay import errors, metrics
from clementinebay.web.server import Response

#: Marks a relayed request, which is not relayed again.
RELAYED_HEADER = "clementine-relayed"
#: Timeout of a relayed request, in seconds: the other daemon may try the store twice.
RELAY_SECONDS = 1.0
#: Request headers that are relayed.
COPIED_HEADERS = ("host", "deadline-ms")
RETRY_AFTER = "retry-after"
#: Pause after a relayed request without an answer, in seconds.
NO_ANSWER_PAUSE_SECONDS = 2.0

TOO_MANY = 429
UNAVAILABLE = 503
TIMEOUT = 504
#: Statuses that indicate a failure of the store, not of the request.
STORE_FAILURES = (UNAVAILABLE, TIMEOUT)


def refusal(answer):
    """Return the `Response` that passes on a refusal and when to try again."""
    seconds = answer.headers.get(RETRY_AFTER, "1")
    return Response(answer.status, answer.body, ((RETRY_AFTER, seconds),))


class Relay:
    """Relays requests to the scheduler's daemon, the last known to reach the store.

    Repeating any client request is safe, since jobs are identified by their ids.
    """

    def __init__(self, client, node, log):
        self.client = client
        self.node = node
        self.log = log
        self.paused_until = 0.0

    async def answer(self, request, response, holder, proof=()):
        """Return the `Response` to send instead of ``response``, which failed.

        ``proof`` lists headers that prove whose request it is, see `RelaySecret`.

        A status of "unavailable" is returned only if neither daemon can have stored the
        job.
        """
        if RELAYED_HEADER in request.headers or not self.can_relay(holder):
            return response
        headers = [(name, request.headers.get(name, "")) for name in COPIED_HEADERS]
        headers = [pair for pair in headers if pair[1]]
        headers += [(RELAYED_HEADER, self.node), *proof]
        body = request.body or None
        try:
            answer = await self.client.call(
                holder.front, request.method, request.path, RELAY_SECONDS, body, headers
            )
        except errors.CallError as error:
            self.paused_until = self.now() + NO_ANSWER_PAUSE_SECONDS
            self.record_outcome(request, holder, error.code)
            sent = not isinstance(error, errors.CallNotSentError)
            return Response(TIMEOUT) if sent else response
        self.record_outcome(request, holder, str(answer.status))
        if answer.status == UNAVAILABLE:
            return response
        if answer.status == TIMEOUT:
            return Response(TIMEOUT)
        if answer.status == TOO_MANY:
            # This daemon may have stored the job if its own attempt timed out.
            return response if response.status == TIMEOUT else refusal(answer)
        return Response(answer.status, answer.body)

    @staticmethod
    def now():
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def can_relay(self, holder):
        """Return whether ``holder`` is another daemon and no pause is in force."""
        if holder is None or not holder.front or holder.node == self.node:
            return False
        return self.now() >= self.paused_until

    def record_outcome(self, request, holder, outcome):
        """Count and log the outcome of a relayed request."""
        metrics.RELAYED_REQUESTS.labels(outcome).inc()
        self.log.info(
            "request.relayed",
            method=request.method,
            path=request.path,
            to=holder.node,
            outcome=outcome,
        )
