"""Jobs with starts in progress, as stored for later schedulers.

An endpoint that restarts under its id may execute a start that was sent to the
incarnation before, and then holds the longest lease that it accepts.  If it cannot be
reached, a successor has to wait for that lease, but for no more jobs than those that
may have a start in progress there.  Therefore a job is started only once it is named
in the store.
"""

import msgspec

#: Greatest number of jobs that are named because they are to be started, which keeps
#: the record below 0.1 MB.
MAX_WANTED_JOBS = 2048
#: Time for which a job is named after a task of it has found an endpoint, in seconds,
#: if other tasks of it wait.
NAMED_SECONDS = 0.5


class StartingRecord(msgspec.Struct):
    """The jobs that may have starts in progress of the schedulers up to ``term``.

    ``jobs`` maps their ids to those of the endpoints at which the starts may be, or to
    an empty list if they may be at any.  It is ``None`` if any job may be among them.
    """

    term: int
    jobs: dict[str, list[str]] | None


class StartingJobs:
    """The jobs of one term that may have starts in progress.

    ``prepared`` has the jobs as in the last `StartingRecord`, ``stored`` those of the
    last one that is surely stored, and ``is_stored`` tells whether it is the same.
    Before the first write, ``stored`` is empty.  ``allowed`` has the jobs that the
    store names whatever comes of the write in progress.  ``started`` maps the tasks
    with starts that may be in progress to their endpoints.  ``wanted`` has what is to
    be named for tasks that have found an endpoint, and until when: the id of a job with
    that of the endpoint, or with "" for any.  ``held`` has the tasks that wait for a
    record, with the endpoint whose room they hold during a plan.
    """

    __slots__ = (
        "engine",
        "prepared",
        "stored",
        "is_stored",
        "allowed",
        "started",
        "wanted",
        "held",
    )

    def __init__(self, engine):
        self.engine = engine
        self.prepared = {}
        self.stored = {}
        self.is_stored = False
        self.allowed = {}
        self.started = {}
        self.wanted = {}
        self.held = {}

    def is_named(self, job_id, endpoint_id):
        """Return whether the store names a job for an endpoint, or for any ("")."""
        return covers(self.allowed, job_id, endpoint_id)

    def request_start(self, task, endpoint, now):
        """Return whether ``task`` may be started at ``endpoint``.

        If not, the next record names its job, and the task holds the room meanwhile.
        Replicas are named for this endpoint only: at a successor they would have to
        wait for others for no need.
        """
        job = task.job
        key = (job.id, endpoint.id if job.replica else "")
        if self.is_named(job.id, endpoint.id):
            self.started[task] = endpoint
            others_wait = sum(map(len, job.waiting)) > 1
            if others_wait and not job.replica:
                self.wanted[key] = now + NAMED_SECONDS
            else:
                self.wanted.pop(key, None)
            return True
        self.wanted[key] = now + NAMED_SECONDS
        endpoint.add(task)
        self.held[task] = endpoint
        return False

    def release_held(self):
        """Release the room that is held at the end of a plan."""
        for task, endpoint in self.held.items():
            endpoint.remove(task)
        self.held.clear()

    def is_due(self, now):
        """Return whether a record should be stored without waiting for other writes.

        That is so if a task waits for it, or if replicas need not be named any more.
        """
        if any(
            now < until and not self.is_named(*key)
            for key, until in self.wanted.items()
        ):
            return True
        return any(
            task.job.replica and not self.is_in_progress(task, endpoint, now)
            for task, endpoint in self.started.items()
        )

    def prepare(self, now, leases=None):
        """Return the `StartingRecord` to store, or ``None`` if it is stored already.

        ``leases`` is the `PreparedRecord` of the same write, or ``None`` if it states
        no leases.  What was named stays so then, as the leases found at an endpoint may
        have to be stored in its place.
        """
        self.wanted = {key: end for key, end in self.wanted.items() if now < end}
        if leases is None:
            jobs = union(self.prepared, self.jobs_to_name((), {}))
        else:
            self.drop_started(now)
            jobs = self.jobs_to_name(leases.final, leases.left_out)
        if self.is_stored and jobs == self.prepared:
            return None
        self.allowed = intersection(self.allowed, jobs)
        self.prepared, self.is_stored = jobs, False
        return StartingRecord(self.engine.term, jobs)

    def drop_started(self, now):
        """Drop the tasks whose starts are over."""
        self.started = {
            task: endpoint
            for task, endpoint in self.started.items()
            if self.is_in_progress(task, endpoint, now)
        }

    def jobs_to_name(self, final, left_out):
        """Return the jobs to name, as in `StartingRecord`.

        The leases at ``final`` endpoints are stored with the jobs that may be started
        there late, unlike those at the ones that are ``left_out``, which maps them to
        these jobs.
        """
        jobs = {}
        for endpoint_id, job_ids in left_out.items():
            for job_id in job_ids:
                jobs.setdefault(job_id, set()).add(endpoint_id)
        for task, endpoint in self.started.items():
            if endpoint.id not in final:
                jobs.setdefault(task.job.id, set()).add(endpoint.id)
        for endpoint_id, job_ids in self.engine.stops.jobs_by_endpoint().items():
            for job_id in job_ids if endpoint_id not in final else ():
                if self.prepared is not None and job_id in self.prepared:
                    jobs.setdefault(job_id, set()).add(endpoint_id)
        for job_id, endpoint_id in list(self.wanted)[:MAX_WANTED_JOBS]:
            jobs.setdefault(job_id, set()).add(endpoint_id)
        named = {
            job_id: [] if "" in endpoints else sorted(endpoints)
            for job_id, endpoints in jobs.items()
        }
        return union(named, self.engine.inherited_endpoints.starting_jobs())

    def mark_stored(self):
        """Record that the last record prepared is stored.

        Returns whether that names jobs which were not named before.
        """
        is_opened = any(
            covers(self.prepared, *key) and not self.is_named(*key)
            for key in self.wanted
        )
        self.allowed = self.stored = self.prepared
        self.is_stored = True
        return is_opened

    def discard_prepared(self):
        """Record that the last record prepared was not and will not be stored."""
        self.allowed = self.prepared = self.stored

    def is_in_progress(self, task, endpoint, now):
        """Return whether ``endpoint`` may still execute a start of ``task``."""
        if now < task.pinned_until and task.pinned_endpoint is endpoint:
            return True
        late = self.engine.late_order_deadlines
        is_there = task.endpoint is endpoint
        return is_there and (not task.is_located or task.name in late)


def covers(jobs, job_id, endpoint_id):
    """Return whether the jobs of a record name one for an endpoint, or any ("")."""
    if jobs is None:
        return True
    endpoints = jobs.get(job_id)
    return endpoints is not None and (not endpoints or endpoint_id in endpoints)


def intersection(first, second):
    """Return the jobs that two records name both."""
    if first is None or second is None:
        return second if first is None else first
    jobs = {}
    for job_id in first.keys() & second.keys():
        one, other = first[job_id], second[job_id]
        both = sorted({*one} & {*other}) if one and other else one or other
        if both or not (one or other):
            jobs[job_id] = both
    return jobs


def union(first, second):
    """Return the jobs of two records together."""
    if first is None or second is None:
        return None
    jobs = first | second
    for job_id in first.keys() & second.keys():
        both = first[job_id], second[job_id]
        jobs[job_id] = sorted({*both[0], *both[1]}) if all(both) else []
    return jobs
