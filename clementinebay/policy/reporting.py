"""Selects the reports of an endpoint that are passed on to the scheduling daemon.

The scheduler knows what its log contains and what was delivered to it before.  All
other information is passed on.
"""

from clementinebay.endpoint.base import TaskReport
from clementinebay.policy import attempts


class DeliveredReports:
    """Reports on one endpoint's running attempts that were delivered to ``scheduler``.

    ``usage`` maps (job, index, attempt) to the measurements that were delivered.
    """

    __slots__ = ("scheduler", "usage")

    def __init__(self):
        self.scheduler = ""
        self.usage = {}

    def forget(self):
        """Deliver everything again, as after a message that was not accepted."""
        self.usage = {}

    def start_delivery(self, scheduler, full):
        """Start a delivery; a new ``scheduler`` and a full report get everything."""
        if full or scheduler != self.scheduler:
            self.forget()
        self.scheduler = scheduler

    def undelivered(self, state, endpoint, reports):
        """Return those of ``reports`` that are new, in order and without unused fields.

        The scheduler knows kinds from the jobs and does not use measured memory.
        """
        return [reduced(r) for r in reports if self.is_undelivered(state, endpoint, r)]

    def is_undelivered(self, state, endpoint, report):
        """Return whether ``report`` is new to the scheduler."""
        key = (report.job, report.index, report.attempt)
        held = attempts.held_task(state, endpoint, key) is not None
        if report.state == "running":
            # The scheduler knows from the response to its order that the attempt runs.
            return not held or measurements(report) != self.usage.get(
                key, NO_MEASUREMENTS
            )
        known = state.endpoints.get(endpoint)
        unconfirmed = known is not None and key in known.unconfirmed
        return held or unconfirmed or not attempts.is_over(state, key)

    def mark_delivered(self, reports):
        """Record that the scheduler accepted ``reports``."""
        for report in reports:
            key = (report.job, report.index, report.attempt)
            if report.state == "running":
                self.usage[key] = measurements(report)
            else:
                self.usage.pop(key, None)


def reduced(report):
    """Return a copy of a `TaskReport` with only the fields that the scheduler uses."""
    copy = TaskReport(report.job, report.index, report.attempt, report.state)
    if report.state == "running":
        copy.processors_milli, copy.throttled, copy.checkpoint = measurements(report)
    else:
        copy.reason = report.reason
        copy.checkpoint = report.checkpoint if report.state == "stopped" else ""
    return copy


def measurements(report):
    """Return the measurements of a running attempt in a `TaskReport`."""
    return (report.processors_milli, report.throttled, report.checkpoint)


#: The measurements in reports of an attempt before the first measurement.
NO_MEASUREMENTS = (0, False, "")
