"""The scheduler's state of a job: its tasks, their progress and the stored record."""

from enum import StrEnum
from typing import Annotated

import msgspec


class JobState(StrEnum):
    """The state of a job; the values are stored and shown to clients."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: Final states of a job.
ENDED = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class TaskState(StrEnum):
    """The state of a task.

    ``STARTING``: a start order was sent.  ``UNCONFIRMED``: the start order was not
    answered and may still be executed, until a stop order rules that out.
    ``STOPPING``: a stop order was issued.
    """

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    UNCONFIRMED = "doubtful"
    STOPPING = "stopping"
    DONE = "done"


#: States of a task that has a run, as far as is known.
UNDER_WAY = frozenset((TaskState.STARTING, TaskState.RUNNING))

Bits = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]+\Z")]


class Progress(msgspec.Struct, omit_defaults=True):
    """The stored progress of a job.

    ``done`` has a hexadecimal number for each step, with one bit set for each completed
    task.  ``failures`` maps the name of a task to its failed runs.  ``domains`` are all
    failure domains in which tasks may have been started.  ``ended_at`` is in seconds
    since the Unix epoch.  ``crashes`` maps the name of a task to the incarnations that
    crashed under it, or are presumed to while it runs alone.  ``has_started`` is true
    if a run is known to have started.  Earlier builds do not store it; they store a job
    as running from its first start order on, whether or not it was executed.
    ``organisation`` is whose job it is, "" if nobody's.
    """

    state: JobState = JobState.QUEUED
    done: list[Bits] = []
    failures: dict[str, list[int]] = {}
    domains: list[str] = []
    ended_at: float = 0.0
    crashes: dict[str, list[str]] = {}
    has_started: bool = False
    organisation: str = ""


class Task:
    """One task of a `Step`; at most one run of it is in progress at a time.

    ``endpoint`` and ``run`` identify the current run or the one before; ``last_run`` is
    the highest number of a run so far.  The next run resumes from ``checkpoint`` (""
    if there is none).  ``percent`` is the progress of the run, and ``progressed_at``
    the time at which it last changed.  ``measurement`` is the last value measured by
    the endpoint: the tail latency of a replica in milliseconds, or the processor usage
    of any other task.  ``pace`` is the percentage of time in which a filler may run, in
    force since ``paced_at``, or ``None`` while it is unknown.  ``paused_since`` is when
    a filler was ordered to pause.  The task has waited for its next run since
    ``queued_at``, but may not be started before ``not_before``.  ``has_run`` is true
    once the endpoint has confirmed the current run, ``is_located`` once that was surely
    the incarnation that the scheduler knows.

    A start order that was not answered may be executed until ``pinned_until``.  Until
    then the task may run at ``pinned_endpoint`` only, which refuses the late order
    unless it has restarted.  ``pinned_run`` is the run of that order, or 0 if there are
    several such orders.
    """

    __slots__ = (
        "job",
        "step",
        "step_number",
        "index",
        "name",
        "state",
        "run",
        "last_run",
        "endpoint",
        "checkpoint",
        "queued_at",
        "not_before",
        "avoided_endpoints",
        "started_at",
        "has_run",
        "is_located",
        "percent",
        "progressed_at",
        "measurement",
        "pace",
        "paced_at",
        "paused_since",
        "pinned_endpoint",
        "pinned_run",
        "pinned_until",
    )

    def __init__(self, job, step_number, index):
        self.job = job
        self.step = job.spec.steps[step_number]
        self.step_number = step_number
        self.index = index
        self.name = f"{job.id}.0.{step_number}.{index}"
        self.state = TaskState.WAITING
        self.run = 0
        self.last_run = 0
        self.endpoint = None
        self.checkpoint = ""
        self.queued_at = 0.0
        self.not_before = 0.0
        self.avoided_endpoints = None
        self.started_at = 0.0
        self.has_run = False
        self.is_located = False
        self.percent = 0
        self.progressed_at = 0.0
        self.measurement = 0.0
        self.pace = 100
        self.paced_at = 0.0
        self.paused_since = None
        self.pinned_endpoint = None
        self.pinned_run = 0
        self.pinned_until = 0.0

    @property
    def due_at(self):
        """The time at which the task's next run became, or becomes, due."""
        return max(self.queued_at, self.not_before)

    def may_run_at(self, endpoint, now):
        """Return whether no late start order can run the task at another endpoint."""
        return now >= self.pinned_until or self.pinned_endpoint is endpoint

    def pin(self, now, until):
        """Record that the start order of the current run may be executed late."""
        self.pinned_run = 0 if now < self.pinned_until else self.run
        self.pinned_endpoint = self.endpoint
        self.pinned_until = until

    def settle_start(self, endpoint, run):
        """Record that a start order was executed or refused, so it cannot be late."""
        if endpoint is self.pinned_endpoint and run == self.pinned_run:
            self.pinned_until = 0.0

    def place(self, endpoint, run, state, now):
        """Assign a run of the task to ``endpoint``."""
        self.job.waiting[self.step_number].pop(self, None)
        self.job.was_placed = True
        self.endpoint = endpoint
        self.run = run
        self.last_run = max(self.last_run, run)
        self.state = state
        self.started_at = now
        self.has_run = state is TaskState.RUNNING
        self.is_located = False
        self.percent = 0
        self.progressed_at = now
        self.measurement = 0.0
        self.paused_since = None
        endpoint.add(self)

    def unplace(self, now):
        """Remove the task from its endpoint and queue it for its next run."""
        if self.endpoint is not None:
            self.endpoint.remove(self)
        self.endpoint = None
        self.state = TaskState.WAITING
        if self.step_number in self.job.open_steps:
            self.queued_at = now
            self.job.waiting[self.step_number][self] = None


class Job:
    """A job and its tasks.

    ``waiting`` has the tasks that wait for a run, and ``remaining`` the number of
    unfinished tasks, for each step.  ``domains`` are the failure domains stored as open
    to the job, ``requested_domains`` those still to be stored.  In
    ``inherited_domains`` an earlier scheduler may have started tasks that this one does
    not know of.  ``discovered_at`` is when this scheduler first read the job.  Times
    are seconds of the scheduler's clock, except ``ended_at``, which is in seconds since
    the Unix epoch.  ``replica`` is true if the job has a step of replicas, which run
    until it is cancelled.  ``crashes`` maps the names of tasks to the incarnations that
    crashed under them; ``stored_crashes`` is its last stored value.  ``was_placed`` is
    true once a task was assigned to an endpoint, ``has_started`` once a run is known to
    have started there.  ``exceeds_share`` is true for a job beyond the share of its
    organisation.
    """

    __slots__ = (
        "spec",
        "replica",
        "queue",
        "state",
        "tasks",
        "waiting",
        "remaining",
        "failures",
        "crashes",
        "stored_crashes",
        "domains",
        "requested_domains",
        "requested_at",
        "inherited_domains",
        "accepted_at",
        "discovered_at",
        "ended_at",
        "objective_at",
        "open_steps",
        "was_placed",
        "has_started",
        "exceeds_share",
    )

    def __init__(self, spec, queue, now, wall_now):
        self.spec = spec
        self.replica = any(step.replica for step in spec.steps)
        self.queue = queue
        self.state = JobState.QUEUED
        self.domains = {spec.domain}
        self.requested_domains = set()
        self.requested_at = 0.0
        self.inherited_domains = frozenset()
        self.failures = {}
        self.crashes = {}
        self.stored_crashes = {}
        self.tasks = {}
        self.waiting = [{} for _step in spec.steps]
        self.remaining = [step.count for step in spec.steps]
        self.open_steps = set()
        self.accepted_at = now - max(0.0, wall_now - spec.accepted_at)
        self.discovered_at = now
        self.ended_at = 0.0
        self.objective_at = self.accepted_at + objective_seconds(spec, queue)
        self.was_placed = False
        self.has_started = False
        self.exceeds_share = False
        self.open_ready_steps(self.accepted_at)

    @property
    def id(self):
        """The job id chosen by the client."""
        return self.spec.id

    @property
    def ended(self):
        """Whether the job is in a final state."""
        return self.state in ENDED

    def relative_age(self, now):
        """Return the time since acceptance as a share of the latency objective."""
        span = max(0.001, self.objective_at - self.accepted_at)
        return (now - self.accepted_at) / span

    def open_ready_steps(self, now):
        """Create and queue the tasks of steps whose predecessors are complete."""
        for number, step in enumerate(self.spec.steps):
            if number in self.open_steps or any(self.remaining[n] for n in step.after):
                continue
            self.open_steps.add(number)
            for index in range(step.count):
                task = self.task(number, index)
                if task.state is TaskState.WAITING:
                    task.queued_at = now
                    self.waiting[number][task] = None

    def task(self, step_number, index):
        """Return a task, even if its step is not open yet.

        Endpoints may report a run started by an earlier scheduler before the ends of
        the runs that opened its step are reported.  Raises `LookupError` if there is no
        such task.
        """
        task = self.tasks.get((step_number, index))
        if task is None:
            if step_number < 0 or not 0 <= index < self.spec.steps[step_number].count:
                raise LookupError(step_number, index)
            task = self.tasks[step_number, index] = Task(self, step_number, index)
        return task

    def assigned_tasks(self):
        """Return the tasks that are assigned to an endpoint."""
        return [task for task in self.tasks.values() if task.endpoint is not None]

    def is_stalled(self):
        """Return whether no task runs or is being started."""
        return not any(task.state in UNDER_WAY for task in self.tasks.values())

    def unpin_tasks(self, endpoint):
        """Record that no start order to ``endpoint`` can be executed late."""
        for waiting in self.waiting:
            for task in waiting:
                if task.pinned_endpoint is endpoint:
                    task.pinned_until = 0.0

    def finish_task(self, task, now):
        """Record that ``task`` is complete; open the steps that depended on it."""
        if task.state is TaskState.DONE:
            return
        task.unplace(now)
        task.state = TaskState.DONE
        self.waiting[task.step_number].pop(task, None)
        self.remaining[task.step_number] -= 1
        if not self.remaining[task.step_number]:
            self.open_ready_steps(now)
        if not any(self.remaining):
            self.state = JobState.COMPLETED

    def record_failure(self, task, run):
        """Record a failed run; return whether the task has no attempts left.

        Replicas have no limit of attempts, and their failures are not recorded.
        """
        if task.step.replica:
            return False
        runs = self.failures.setdefault(task.name, [])
        if run not in runs:
            runs.append(run)
        return len(runs) >= self.spec.attempts

    def record_crash(self, task, incarnation):
        """Record the crash of an incarnation under a task; return their number."""
        incarnations = self.crashes.setdefault(task.name, [])
        if incarnation not in incarnations:
            incarnations.append(incarnation)
        return len(incarnations)

    def awaits_crash_write(self, task):
        """Return whether ``task`` may not run until crashes under it are stored.

        A successor that did not know of them would allow the task as many again.
        """
        incarnations = self.crashes.get(task.name, ())
        stored = self.stored_crashes.get(task.name, ())
        return not set(incarnations) <= set(stored)

    def progress(self):
        """Return the `Progress` to store."""
        bits = [0] * len(self.spec.steps)
        for (number, index), task in self.tasks.items():
            if task.state is TaskState.DONE:
                bits[number] |= 1 << index
        state = self.state
        if state is JobState.QUEUED and self.has_started:
            state = JobState.RUNNING
        return Progress(
            state=state,
            done=[f"{value:x}" for value in bits],
            failures=self.failures,
            domains=sorted(self.domains | self.requested_domains),
            ended_at=self.ended_at,
            crashes={name: list(ids) for name, ids in self.crashes.items()},
            has_started=self.has_started,
            organisation=self.spec.organisation,
        )

    def restore(self, progress):
        """Restore the state that an earlier scheduler stored.

        Earlier builds stored replicas that ended as done, and their jobs as completed.
        """
        is_completed = progress.state is JobState.COMPLETED
        if progress.state in ENDED and not (is_completed and self.replica):
            self.state = progress.state
            self.ended_at = progress.ended_at
        self.was_placed = progress.state is not JobState.QUEUED
        has_results = any(int(bits, 16) for bits in progress.done)
        self.has_started = (
            progress.has_started or has_results or bool(progress.failures)
        )
        self.domains = set(progress.domains) or {self.spec.domain}
        self.failures = {name: list(runs) for name, runs in progress.failures.items()}
        self.crashes = {name: list(ids) for name, ids in progress.crashes.items()}
        self.stored_crashes = progress.crashes
        for number, text in enumerate(progress.done):
            bits = 0 if self.spec.steps[number].replica else int(text, 16)
            for index in range(self.spec.steps[number].count):
                if bits >> index & 1:
                    task = self.task(number, index)
                    task.state = TaskState.DONE
                    self.waiting[number].pop(task, None)
                    self.remaining[number] -= 1
        self.open_ready_steps(self.discovered_at)


def critical_path_seconds(spec):
    """Return the estimated length of the critical path of steps, in seconds."""
    longest = []
    for step in spec.steps:
        before = max((longest[number] for number in step.after), default=0.0)
        longest.append(before + step.estimate_ms / 1000)
    return max(longest, default=0.0)


def objective_seconds(spec, queue):
    """Return the latency objective of a job, in seconds."""
    if queue is None:
        return critical_path_seconds(spec)
    return critical_path_seconds(spec) * queue.stretch + queue.slack_ms / 1000
