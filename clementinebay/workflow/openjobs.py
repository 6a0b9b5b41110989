"""Jobs that may be started at endpoints whose leases outlast the stored limit.

After a restart, an endpoint may hold the longest lease that it accepts, by the clock of
the incarnation before.  A successor has to wait for it, but for no more jobs than the
record names: a job is started there only once it is named.
"""

from clementinebay.workflow import planning

#: Greatest number of jobs that may be started at an endpoint whose leases outlast the
#: limit for all endpoints.
MAX_OPEN_JOBS = 32


def waiting_jobs(engine, now):
    """Return the startable jobs with tasks that are due, the first in rank first."""
    return [
        job
        for job in planning.startable_jobs(engine, now)
        if any(task.due_at <= now for waiting in job.waiting for task in waiting)
    ]


def jobs_to_open(endpoint, waiting):
    """Return the ids of the jobs to be started at an endpoint with long leases.

    Those that it is open to stay; a successor has to wait for each of them.
    """
    jobs = set(endpoint.open_jobs or ())
    for job in waiting:
        if len(jobs) >= MAX_OPEN_JOBS:
            break
        if job.spec.service == endpoint.info.service:
            jobs.add(job.id)
    return jobs
