"""A job at work: its tasks, what is done, and the record that is stored of it."""

from enum import StrEnum

import msgspec


class JobState(StrEnum):
    """Where a job stands; the values are stored and shown."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


#: States that a job does not leave.
ENDED = frozenset((JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED))


class TaskState(StrEnum):
    """Where a task stands.

    ``STARTING``: an order is on its way.  ``DOUBTFUL``: an order was not answered and
    may still be carried out, until it is barred.  ``STOPPING``: its end was ordered.
    """

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    STOPPING = "stopping"
    DONE = "done"


class Progress(msgspec.Struct, omit_defaults=True):
    """What is stored of a job's course.

    ``done`` has for each step the done tasks as bits of a hexadecimal number.
    ``failures`` maps a task to its runs that failed.  ``domains`` are all failure
    domains in which tasks may have been started.  ``ended_at`` is in seconds since the
    Unix epoch.
    """

    state: JobState = JobState.QUEUED
    done: list[str] = []
    failures: dict[str, list[int]] = {}
    domains: list[str] = []
    ended_at: float = 0.0


class Task:
    """One task; at most one run of it is at work at a time.

    ``endpoint`` and ``run`` tell where it was last ordered, ``checkpoint`` what its
    next run resumes from ("" for none).  ``percent`` is how far the run is, and
    ``progressed_at`` when that last grew.  ``measurement`` is the endpoint's last
    reading: the tail in milliseconds of a replica, the processors of any other task.
    ``paused_since`` is when a filler was told to pause.  ``pace`` is the share of time
    in percent at which a filler is let work, since ``paced_at``; ``None`` while that is
    not known.

    An order that was not answered may be carried out until ``bound_until``.  Till then
    the task runs at no endpoint but ``bound_to``, which refuses it unless it restarts.
    """

    __slots__ = (
        "job",
        "step_number",
        "index",
        "name",
        "state",
        "run",
        "endpoint",
        "checkpoint",
        "not_before",
        "avoided_endpoints",
        "started_at",
        "percent",
        "progressed_at",
        "measurement",
        "pace",
        "paced_at",
        "paused_since",
        "bound_to",
        "bound_until",
    )

    def __init__(self, job, step_number, index):
        self.job = job
        self.step_number = step_number
        self.index = index
        self.name = f"{job.id}.0.{step_number}.{index}"
        self.state = TaskState.WAITING
        self.run = 0
        self.endpoint = None
        self.checkpoint = ""
        self.not_before = 0.0
        self.avoided_endpoints = None
        self.started_at = 0.0
        self.percent = 0
        self.progressed_at = 0.0
        self.measurement = 0.0
        self.pace = 100
        self.paced_at = 0.0
        self.paused_since = None
        self.bound_to = None
        self.bound_until = 0.0

    @property
    def step(self):
        """The `Step` of the task."""
        return self.job.spec.steps[self.step_number]

    def may_run_at(self, endpoint, now):
        """Return whether no late order can start the task elsewhere meanwhile."""
        return now >= self.bound_until or self.bound_to is endpoint

    def place(self, endpoint, run, state, now):
        """Put a run of the task at ``endpoint``."""
        self.job.waiting[self.step_number].pop(self, None)
        self.endpoint = endpoint
        self.run = run
        self.state = state
        self.started_at = now
        self.percent = 0
        self.progressed_at = now
        self.measurement = 0.0
        self.paused_since = None
        endpoint.add(self)

    def unplace(self):
        """Take the task from its endpoint; it waits for its next run."""
        if self.endpoint is not None:
            self.endpoint.remove(self)
        self.endpoint = None
        self.state = TaskState.WAITING
        if self.step_number in self.job.open_steps:
            self.job.waiting[self.step_number][self] = None


class Job:
    """A job and its tasks.

    ``waiting`` has for each step the tasks that wait for a run.  An earlier scheduler
    may have started tasks that this one has not heard of in ``inherited_domains``.
    Times are seconds of the scheduler's clock.
    """

    __slots__ = (
        "spec",
        "queue",
        "state",
        "tasks",
        "waiting",
        "left",
        "failures",
        "domains",
        "wanted_domains",
        "wanted_at",
        "inherited_domains",
        "accepted_at",
        "learned_at",
        "ended_at",
        "objective_at",
        "open_steps",
        "begun",
    )

    def __init__(self, spec, queue, now, wall_now):
        self.spec = spec
        self.queue = queue
        self.state = JobState.QUEUED
        self.domains = {spec.domain}
        self.wanted_domains = set()
        self.wanted_at = 0.0
        self.inherited_domains = frozenset()
        self.failures = {}
        self.tasks = {}
        self.waiting = [{} for _step in spec.steps]
        self.left = [step.count for step in spec.steps]
        self.open_steps = set()
        self.accepted_at = now - max(0.0, wall_now - spec.accepted_at)
        self.learned_at = now
        self.ended_at = 0.0
        self.objective_at = self.accepted_at + objective_seconds(spec, queue)
        self.begun = False
        self.open_ready_steps()

    @property
    def id(self):
        """The client's id of the job."""
        return self.spec.id

    @property
    def ended(self):
        """Whether the job is in a state that it does not leave."""
        return self.state in ENDED

    def relative_age(self, now):
        """Return the time since the job was accepted, as a share of its objective."""
        span = max(0.001, self.objective_at - self.accepted_at)
        return (now - self.accepted_at) / span

    @property
    def replica(self):
        """Whether a step of the job runs until the job is cancelled."""
        return any(step.replica for step in self.spec.steps)

    def open_ready_steps(self):
        """Make the tasks of steps whose predecessors are done."""
        for number, step in enumerate(self.spec.steps):
            if number in self.open_steps or any(self.left[n] for n in step.after):
                continue
            self.open_steps.add(number)
            for index in range(step.count):
                task = self.task(number, index)
                if task.state is TaskState.WAITING:
                    self.waiting[number][task] = None

    def task(self, step_number, index):
        """Return a task, also of a step that is not open yet.

        Endpoints may report runs that an earlier scheduler started before they report
        the ends that opened the step.  Raises `LookupError` if there is no such task.
        """
        task = self.tasks.get((step_number, index))
        if task is None:
            if not 0 <= index < self.spec.steps[step_number].count:
                raise LookupError(index)
            task = self.tasks[step_number, index] = Task(self, step_number, index)
        return task

    def placed(self):
        """Return the tasks that have a run at an endpoint."""
        return [task for task in self.tasks.values() if task.endpoint is not None]

    def finish_task(self, task):
        """Record that ``task`` is done; open the steps that waited for it."""
        if task.state is TaskState.DONE:
            return
        task.unplace()
        task.state = TaskState.DONE
        self.waiting[task.step_number].pop(task, None)
        self.left[task.step_number] -= 1
        if not self.left[task.step_number]:
            self.open_ready_steps()
        if not any(self.left):
            self.state = JobState.COMPLETED

    def fail_run(self, task, run):
        """Record a failed run; return whether the task has used up its attempts."""
        runs = self.failures.setdefault(task.name, [])
        if run not in runs:
            runs.append(run)
        return not task.step.replica and len(runs) >= self.spec.attempts

    def progress(self):
        """Return the `Progress` to store."""
        bits = [0] * len(self.spec.steps)
        for (number, index), task in self.tasks.items():
            if task.state is TaskState.DONE:
                bits[number] |= 1 << index
        state = self.state
        if state is JobState.QUEUED and self.begun:
            state = JobState.RUNNING
        failures = {} if self.replica else self.failures
        return Progress(
            state=state,
            done=[f"{value:x}" for value in bits],
            failures=failures,
            domains=sorted(self.domains | self.wanted_domains),
            ended_at=self.ended_at,
        )

    def restore(self, progress):
        """Take up what an earlier scheduler stored."""
        self.state = progress.state
        self.begun = progress.state is not JobState.QUEUED
        self.domains = set(progress.domains) or {self.spec.domain}
        self.failures = {name: list(runs) for name, runs in progress.failures.items()}
        self.ended_at = progress.ended_at
        for number, text in enumerate(progress.done):
            bits = int(text, 16)
            for index in range(self.spec.steps[number].count):
                if bits >> index & 1:
                    task = self.task(number, index)
                    task.state = TaskState.DONE
                    self.waiting[number].pop(task, None)
                    self.left[number] -= 1
        self.open_ready_steps()


def chain_seconds(spec):
    """Return the estimate of the longest chain of work, in seconds."""
    longest = []
    for step in spec.steps:
        before = max((longest[number] for number in step.after), default=0.0)
        longest.append(before + step.estimate_ms / 1000)
    return max(longest, default=0.0)


def objective_seconds(spec, queue):
    """Return the latency objective of a job, in seconds."""
    if queue is None:
        return chain_seconds(spec)
    return chain_seconds(spec) * queue.stretch + queue.slack_ms / 1000
