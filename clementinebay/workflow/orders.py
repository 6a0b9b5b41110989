"""What endpoints are told and what they report."""


class End:
    """How a run ended, as its endpoint reports it."""

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
    """A run at work, as its endpoint reports it.

    ``percent`` is the run's progress, ``measurement`` the tail in ms or the processors
    used.
    """

    __slots__ = ("task", "run", "checkpoint", "percent", "measurement")

    def __init__(self, task, run, checkpoint, percent, measurement):
        self.task = task
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent
        self.measurement = measurement


class Report:
    """An endpoint's list of its runs and ends; ``clock_ms`` is its steady clock."""

    __slots__ = ("born_ms", "clock_ms", "running", "ended")

    def __init__(self, born_ms, clock_ms, running, ended):
        self.born_ms = born_ms
        self.clock_ms = clock_ms
        self.running = running
        self.ended = ended


class StartOrder:
    """Start ``run`` of ``task`` at ``endpoint``."""

    __slots__ = ("endpoint", "task", "run", "checkpoint")

    def __init__(self, endpoint, task):
        self.endpoint = endpoint
        self.task = task
        self.run = task.run
        self.checkpoint = task.checkpoint


class StopOrder:
    """Stop a run at ``endpoint`` and refuse it from now on; ``task`` is a name."""

    __slots__ = ("endpoint", "task", "run", "reason")

    def __init__(self, endpoint, task, run, reason):
        self.endpoint = endpoint
        self.task = task
        self.run = run
        self.reason = reason


class PaceOrder:
    """Let a filler's run work at ``percent`` of the time."""

    __slots__ = ("endpoint", "task", "run", "percent")

    def __init__(self, endpoint, task, percent):
        self.endpoint = endpoint
        self.task = task
        self.run = task.run
        self.percent = percent
