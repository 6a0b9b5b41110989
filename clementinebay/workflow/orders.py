"""Orders to endpoints, and the reports of endpoints."""

from clementinebay.workflow.job import TaskState

#: Longest time after which an order that was not answered may still be executed, in
#: seconds.
MAX_ORDER_DELAY_SECONDS = 13.0


class RunEnd:
    """The end of a run as reported by its endpoint."""

    __slots__ = ("number", "task", "run", "outcome", "checkpoint")

    DONE = "done"
    FAILED = "failed"

    def __init__(self, number, task, run, outcome, checkpoint):
        self.number = number
        self.task = task
        self.run = run
        self.outcome = outcome
        self.checkpoint = checkpoint


class RunReport:
    """A run in progress as reported by its endpoint.

    ``percent`` is the run's progress.  ``measurement`` is the tail latency of a replica
    in milliseconds, or the processor usage of any other run in thousandths.
    """

    __slots__ = ("task", "run", "checkpoint", "percent", "measurement")

    def __init__(self, task, run, checkpoint, percent, measurement):
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class Report:
    """An endpoint's runs and ends of runs; ``clock_ms`` is its monotonic clock.

    ``running`` has all runs in progress.  ``ended`` has the first of the ends that were
    not acknowledged; ``has_all_ends`` is false if there may be more of them.
    """

    __slots__ = ("born_ms", "clock_ms", "running", "ended", "has_all_ends")

    def __init__(self, born_ms, clock_ms, running, ended, has_all_ends=True):
        self.born_ms = born_ms
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended
        self.has_all_ends = has_all_ends


class StartOrder:
    """An order to start ``run`` of ``task`` at ``endpoint``."""

    __slots__ = ("endpoint", "task", "run", "checkpoint")

    def __init__(self, endpoint, task):
        self.endpoint = endpoint
        self.task = task
        self.run = task.run
        self.checkpoint = task.checkpoint

    def is_current(self):
        """Return whether the task still waits for this order to be sent."""
        task = self.task
        is_assigned = task.endpoint is self.endpoint and task.run == self.run
        return is_assigned and task.state is TaskState.STARTING


class StopOrder:
    """An order to stop a run at ``endpoint`` and to refuse it from then on.

    ``task`` is the name of the task.
    """

    __slots__ = ("endpoint", "task", "run", "reason")

    def __init__(self, endpoint, task, run, reason):
        self.endpoint = endpoint
        self.task = task
        self.run = run
        self.reason = reason


class PaceOrder:
    """An order to let the run of a filler work for ``percent`` of the time."""

    __slots__ = ("endpoint", "task", "run", "percent")

    def __init__(self, endpoint, task, percent):
        self.endpoint = endpoint
        self.task = task
        self.run = task.run
        self.percent = percent
