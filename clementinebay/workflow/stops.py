"""Stop orders whose runs have not ended yet."""

from clementinebay.workflow.orders import StopOrder

#: Interval at which a stop order is repeated until its run has ended, in seconds.
REPEAT_SECONDS = 1.0


class PendingStop:
    """A stop order; ``answered_at`` is when the endpoint first accepted it, or 0."""

    __slots__ = ("endpoint", "task", "run", "reason", "next_send_at", "answered_at")

    def __init__(self, endpoint, task, run, reason):
        self.endpoint = endpoint
        self.task = task
        self.run = run
        self.reason = reason
        self.next_send_at = 0.0
        self.answered_at = 0.0


class PendingStops:
    """The pending stops by (endpoint id, task name, run)."""

    def __init__(self):
        self.pending = {}

    def add(self, endpoint, name, run, reason):
        """Add a stop order for a run unless there is one already."""
        key = (endpoint.id, name, run)
        if key not in self.pending:
            self.pending[key] = PendingStop(endpoint, name, run, reason)

    def find(self, endpoint, name, run):
        """Return the `PendingStop` of a run, or ``None``."""
        return self.pending.get((endpoint.id, name, run))

    def drop(self, endpoint, name, run):
        """Remove the stop order of a run that has ended or can no longer start."""
        self.pending.pop((endpoint.id, name, run), None)

    def jobs_by_endpoint(self):
        """Return the ids of the jobs whose runs are being stopped, by endpoint id."""
        jobs = {}
        for endpoint_id, name, _run in self.pending:
            jobs.setdefault(endpoint_id, set()).add(name.partition(".")[0])
        return jobs

    def due(self, now, endpoints):
        """Return the `StopOrder`s to send now.

        Stops at endpoints that have ended or are not in ``endpoints``, a mapping by id,
        are dropped.
        """
        orders = []
        for key, stop in list(self.pending.items()):
            if stop.endpoint.has_ended or stop.endpoint.id not in endpoints:
                del self.pending[key]
            elif now >= stop.next_send_at:
                stop.next_send_at = now + REPEAT_SECONDS
                orders.append(
                    StopOrder(stop.endpoint, stop.task, stop.run, stop.reason)
                )
        return orders
