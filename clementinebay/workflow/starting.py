"""Jobs with starts in progress, as stored for later schedulers.

An endpoint that restarts under its id may execute a start that was sent to the
incarnation before, and then holds the longest lease that it accepts.  If it cannot be
reached, a successor has to wait for that lease, but for no more jobs than those that
may have a start in progress.  Therefore a job is started only once it is named in the
store.
"""

import msgspec

#: Greatest number of jobs that are named, which keeps the record below 40 kB.
MAX_STARTING_JOBS = 2048
#: Time for which a job is named after a task of it has found an endpoint, in seconds,
#: if other tasks of it wait.
NAMED_SECONDS = 0.5


class StartingRecord(msgspec.Struct):
    """The jobs that may have starts in progress of the schedulers up to ``term``.

    ``jobs`` has their ids, or is ``None`` if any job may be among them.
    """

    term: int
    jobs: list[str] | None


class AnyJob:
    """The ids of all jobs."""

    __slots__ = ()

    def __contains__(self, job_id):
        return True


ANY_JOB = AnyJob()


class StartingJobs:
    """The jobs of one term that may have starts in progress.

    ``allowed`` has the ids that the store names whatever comes of the write in
    progress, ``prepared`` those that are being written, and ``stored`` those that are
    surely stored, or ``None`` if that is unknown.  ``started`` has the jobs with starts
    that may be in progress, and ``wanted`` maps the jobs with a task that has found an
    endpoint to the time until which they are named.  ``held`` has the tasks that wait
    for a record, with the endpoint whose room they hold during a plan.
    """

    __slots__ = (
        "engine",
        "allowed",
        "prepared",
        "stored",
        "started",
        "wanted",
        "held",
    )

    def __init__(self, engine):
        self.engine = engine
        self.allowed = frozenset()
        self.prepared = frozenset()
        self.stored = None
        self.started = set()
        self.wanted = {}
        self.held = {}

    def is_named(self, job):
        """Return whether ``job`` is named in the store."""
        return job.id in self.allowed

    def request_start(self, task, endpoint, now):
        """Return whether ``task`` may be started at ``endpoint``.

        If not, the next record names its job, and the task holds the room meanwhile.
        """
        job = task.job
        self.wanted[job.id] = now + NAMED_SECONDS
        if self.is_named(job):
            self.started.add(job.id)
            if job.replica:
                # It would have to wait at a successor for no need.
                del self.wanted[job.id]
            return True
        endpoint.add(task)
        self.held[task] = endpoint
        return False

    def release_held(self):
        """Release the room that is held at the end of a plan."""
        for task, endpoint in self.held.items():
            endpoint.remove(task)
        self.held.clear()

    def is_due(self, now):
        """Return whether the start of a task waits for a record."""
        return any(
            now < until and job_id not in self.allowed
            for job_id, until in self.wanted.items()
        )

    def prepare(self, now):
        """Return the `StartingRecord` to store, or ``None`` if it is stored already."""
        self.wanted = {name: end for name, end in self.wanted.items() if now < end}
        stopping = set().union(*self.engine.stops.jobs_by_endpoint().values())
        self.started = {
            job_id
            for job_id in self.started
            if job_id in stopping or self.has_start_in_progress(job_id, now)
        }
        jobs = self.jobs_to_name()
        if jobs == self.stored:
            return None
        self.allowed = intersection(self.allowed, jobs)
        self.prepared, self.stored = jobs, None
        names = None if jobs is ANY_JOB else sorted(jobs)
        return StartingRecord(self.engine.term, names)

    def jobs_to_name(self):
        """Return the ids of the jobs to name, or `ANY_JOB`."""
        inherited = self.engine.inherited_endpoints.starting_jobs()
        if inherited is None:
            return ANY_JOB
        jobs = self.started | inherited
        room = max(0, MAX_STARTING_JOBS - len(jobs))
        jobs.update([name for name in self.wanted if name not in jobs][:room])
        return frozenset(jobs)

    def mark_stored(self):
        """Record that the last record prepared is stored.

        Returns whether that names jobs which were not named before.
        """
        is_opened = any(
            name in self.prepared and name not in self.allowed for name in self.wanted
        )
        self.allowed = self.stored = self.prepared
        return is_opened

    def has_start_in_progress(self, job_id, now):
        """Return whether an endpoint may still execute a start of a job."""
        job = self.engine.active.get(job_id)
        late = self.engine.late_order_deadlines
        return job is not None and any(
            now < task.pinned_until
            or task.name in late
            or (task.endpoint is not None and not task.is_located)
            for task in job.tasks.values()
        )


def intersection(first, second):
    """Return the ids in both of two sets, of which each may be `ANY_JOB`."""
    if first is ANY_JOB:
        return second
    return first if second is ANY_JOB else first & second
