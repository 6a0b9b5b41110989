"""Jobs that may be started at endpoints whose leases outlast the stored limit.

After a restart, an endpoint may hold the longest lease that it accepts, by the clock of
the incarnation before.  A successor has to wait for it, but for no more jobs than the
record names: a job is started there only once it is named.
"""

from clementinebay.workflow import planning

#: Greatest number of jobs that a record names at all such endpoints together, which
#: keeps it below 0.5 MB, and the least that may be started at each.
MAX_JOBS_IN_RECORD = 8192
MIN_JOBS_PER_ENDPOINT = 32


def waiting_jobs(engine, now):
    """Return the startable jobs with tasks that are due, the first in rank first."""
    return [
        job
        for job in planning.startable_jobs(engine, now)
        if any(task.due_at <= now for waiting in job.waiting for task in waiting)
    ]


def jobs_to_open(endpoints, waiting):
    """Return the ids of the jobs that ``endpoints`` are to be open to, by endpoint id.

    Those that an endpoint is open to stay, as a successor has to wait for them.  If
    more jobs wait than one may be opened to, each is opened to others of them.
    """
    most = max(MIN_JOBS_PER_ENDPOINT, MAX_JOBS_IN_RECORD // max(1, len(endpoints)))
    opened = {}
    for number, endpoint in enumerate(endpoints):
        service = endpoint.info.service
        ids = [job.id for job in waiting if job.spec.service == service]
        first = number * most % max(1, len(ids))
        jobs = set(endpoint.open_jobs or ())
        held = {task.job.id for task in endpoint.tasks.values()}
        room = most - len(jobs & (held | set(ids)))
        others = [job_id for job_id in ids[first:] + ids[:first] if job_id not in jobs]
        opened[endpoint.id] = jobs | set(others[: max(0, room)])
    return opened
