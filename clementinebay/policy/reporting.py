"""Which of an endpoint's reports are news to the daemon that schedules.

The scheduler knows what its log says, and what it was told before.  Everything else in
a report is passed on.
"""

from clementinebay.endpoint.base import TaskReport
from clementinebay.policy import attempts


class DeliveredReports:
    """What the scheduler ``scheduler`` took of one endpoint's running attempts.

    ``usage`` maps (job, index, attempt) to what was measured.
    """

    __slots__ = ("scheduler", "usage")

    def __init__(self):
        self.scheduler = ""
        self.usage = {}

    def forget(self):
        """Tell everything again, as after a message that was not taken."""
        self.usage = {}

    def start_delivery(self, scheduler, full):
        """Prepare to tell ``scheduler``; a new one, or a full report, is told all."""
        if full or scheduler != self.scheduler:
            self.forget()
        self.scheduler = scheduler

    def undelivered(self, state, endpoint, reports):
        """Return what is new in ``reports``, in order, and no more of it than is used.

        The scheduler knows kinds from the jobs and does not use measured memory.
        """
        return [used(r) for r in reports if self.is_news(state, endpoint, r)]

    def is_news(self, state, endpoint, report):
        """Return whether the scheduler does not know what ``report`` says."""
        key = (report.job, report.index, report.attempt)
        held = attempts.held_task(state, endpoint, key) is not None
        if report.state == "running":
            # The answer to its own order has told the scheduler that the attempt runs.
            return not held or measured(report) != self.usage.get(key, NOTHING)
        known = state.endpoints.get(endpoint)
        unconfirmed = known is not None and key in known.unconfirmed
        return held or unconfirmed or not attempts.is_over(state, key)

    def mark_delivered(self, reports):
        """Note that the scheduler took ``reports``."""
        for report in reports:
            key = (report.job, report.index, report.attempt)
            if report.state == "running":
                self.usage[key] = measured(report)
            else:
                self.usage.pop(key, None)


def used(report):
    """Return the part of a `TaskReport` that a scheduler uses."""
    told = TaskReport(report.job, report.index, report.attempt, report.state)
    if report.state == "running":
        told.processors_milli, told.throttled, told.checkpoint = measured(report)
    else:
        told.reason = report.reason
        told.checkpoint = report.checkpoint if report.state == "stopped" else ""
    return told


def measured(report):
    """Return what a `TaskReport` says of the use of a running attempt."""
    return (report.processors_milli, report.throttled, report.checkpoint)


#: What an attempt's report says before anything was measured.
NOTHING = (0, False, "")
