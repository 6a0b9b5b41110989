"""Jobs that may be started at endpoints whose leases outlast the stored limit.

After a restart, an endpoint may hold the longest lease that it accepts, by the clock of
the incarnation before.  A successor has to wait for it, but for no more jobs than the
record names: a job is started there only once it is named.
"""

from clementinebay.workflow import planning

#: Number of jobs that a record names at all such endpoints together, to keep it below
#: 0.5 MB, but at each at least so many.
MAX_JOBS_IN_RECORD = 8192
MIN_JOBS_PER_ENDPOINT = 32


def waiting_jobs(engine, now):
    """Return the ids of the jobs that wait for an endpoint, by service.

    These are the startable jobs with tasks that are due, the first in rank first, and
    those with replicas that are to move away from endpoints that leave.
    """
    jobs = dict.fromkeys(
        job
        for job in planning.startable_jobs(engine, now)
        if any(task.due_at <= now for waiting in job.waiting for task in waiting)
    )
    for endpoint in engine.endpoints.values():
        if endpoint.info.leaving:
            jobs.update(dict.fromkeys(t.job for t in endpoint.replica_tasks()))
    ids = {}
    for job in jobs:
        ids.setdefault(job.spec.service, []).append(job.id)
    return ids


def jobs_to_open(endpoints, waiting):
    """Return the ids of the jobs that ``endpoints`` are to be open to, by endpoint id.

    ``waiting`` is the result of `waiting_jobs`.  Jobs that an endpoint is open to stay,
    as a successor has to wait for them.  If more jobs wait than one endpoint may be
    opened to, each is opened to others of them.
    """
    most = max(MIN_JOBS_PER_ENDPOINT, MAX_JOBS_IN_RECORD // max(1, len(endpoints)))
    waiting_sets = {service: set(ids) for service, ids in waiting.items()}
    opened = {}
    for number, endpoint in enumerate(endpoints):
        service = endpoint.info.service
        ids = waiting.get(service, ())
        jobs = set(endpoint.open_jobs or ())
        held = {task.job.id for task in endpoint.tasks.values()}
        counted = jobs & held | jobs & waiting_sets.get(service, set())
        room = most - len(counted)
        first = number * most % max(1, len(ids))
        for index in range(len(ids)):
            if room <= 0:
                break
            job_id = ids[(first + index) % len(ids)]
            if job_id not in jobs:
                jobs.add(job_id)
                room -= 1
        opened[endpoint.id] = jobs
    return opened
