"""Orders to stop that have not had their effect yet."""

from clementinebay.workflow.orders import StopOrder

#: An order to stop that had no effect yet is repeated after so long, in seconds.
REPEAT_SECONDS = 1.0


class PendingStop:
    """An order to stop; ``answered_at`` is when the endpoint took it, or 0."""

    __slots__ = ("endpoint", "task", "run", "reason", "next_at", "answered_at")

    def __init__(self, endpoint, task, run, reason):
        self.endpoint = endpoint
        self.task = task
        self.run = run
        self.reason = reason
        self.next_at = 0.0
        self.answered_at = 0.0


class Stops:
    """The pending stops by endpoint, task's name and run."""

    def __init__(self):
        self.pending = {}

    def add(self, endpoint, name, run, reason):
        """Have a run stopped, if that is not ordered yet."""
        key = (endpoint.id, name, run)
        if key not in self.pending:
            self.pending[key] = PendingStop(endpoint, name, run, reason)

    def find(self, endpoint, name, run):
        """Return the `PendingStop` of a run, or ``None``."""
        return self.pending.get((endpoint.id, name, run))

    def drop(self, endpoint, name, run):
        """Forget the stop of a run, which has ended or is barred."""
        self.pending.pop((endpoint.id, name, run), None)

    def due(self, now, endpoints):
        """Return the `StopOrder`s to send now; ``endpoints`` are those known by id."""
        orders = []
        for key, stop in list(self.pending.items()):
            if stop.endpoint.id not in endpoints:
                del self.pending[key]
            elif now >= stop.next_at:
                stop.next_at = now + REPEAT_SECONDS
                orders.append(
                    StopOrder(stop.endpoint, stop.task, stop.run, stop.reason)
                )
        return orders
