"""Which waiting task starts where: the order of the jobs and the choice of endpoints.

Pure: reads jobs and endpoints, returns choices.  The caller reserves what was chosen
before it asks for the next task.
"""

#: A job that is later than this many times its objective earns nothing more.
WORTHLESS_AFTER = 3.0
#: How much worse, in parts of an endpoint, the job's own domains may be before another
#: domain is opened to the job.
DOMAIN_SLACK = 0.15
#: Fillers beside replicas wait rather than claim more than this share of an endpoint.
MAX_FILLER_SHARE = 0.6
#: Score of a filler that replicas let work at no speed; it waits where it could work at
#: less than the second, a share of full speed.
SLOWED = 2.0
LEAST_SPEED = 0.25
#: Score of a filler that takes all headroom that replicas have on average.
TAKEN = 2.0
#: Fillers of new jobs wait rather than take more than this share of an average
#: headroom; so much more is allowed for each objective's time that has passed.
MAX_TAKEN = 0.2
MAX_TAKEN_BY_AGE = 0.4
#: No filler waits while less than this share of a service's processors is reserved: the
#: platform wants every job to run while under half of its capacity is in use.
FREE_SHARE = 0.5
#: Score of a replica beside fillers for each unit of headroom that they take.
PRESSED = 1.0
#: Fillers with more than this share of the processors press replicas whatever their
#: image, and the score of each share beyond.
CROWDED_SHARE = 0.4
CROWDED = 4.0
#: Score of a replica at an endpoint with replicas of other images only: fillers find
#: room more easily where replicas are alike.
OTHER_IMAGE = 1.5
#: Score of other work that takes an endpoint's processors from fillers.
TAKES_FROM_FILLERS = 0.1
#: Score of an endpoint that is still slow after its start.
COLD = 0.5
#: Score of an endpoint in another rack than the task's data.
FAR_FROM_DATA = 1.0
#: Score of an endpoint that failed the task before, or is being tried again.
DISTRUSTED = 2.0


def rank(job, now):
    """Return the sort key of a job: replicas and urgent work first, then by deadline.

    Jobs that cannot meet their objective any more come after those that can, and jobs
    that are worth nothing come last.
    """
    priority = job.queue.priority if job.queue is not None else 0
    if job.replica:
        return (0, priority, job.accepted_at)
    relative_age = job.relative_age(now)
    lateness = 0 if relative_age < 1.0 else 1 if relative_age < WORTHLESS_AFTER else 2
    return (1 + lateness, priority, job.objective_at)


def load_score(endpoint, step):
    """Return the share of the processors that is claimed, with one task of ``step``."""
    claimed = endpoint.processors_used + endpoint.filler_demand + step.processors_milli
    return claimed / max(1, endpoint.info.processors_milli)


def replica_score(endpoint, step, pressure):
    """Return how unfit an endpoint is for a replica: full ones come first."""
    value = 1 - endpoint.processors_used / max(1, endpoint.info.processors_milli)
    images = endpoint.replica_images
    if images and step.image not in images:
        value += OTHER_IMAGE
    return value + PRESSED * pressure.on_replica(step.image, endpoint)


def may_wait(service, endpoints):
    """Return whether fillers of a service may wait for better endpoints."""
    own = [endpoint for endpoint in endpoints if endpoint.info.service == service]
    reserved = sum(endpoint.processors_used for endpoint in own)
    return reserved >= FREE_SHARE * sum(e.info.processors_milli for e in own)


def filler_score(endpoint, task, pressure, now, waits):
    """Return how unfit an endpoint is for a filler, or ``None`` if it ``waits``."""
    step = task.step
    value = load_score(endpoint, step)
    if not endpoint.replicas:
        return value
    capacity = max(1, endpoint.info.processors_milli)
    share = (endpoint.filler_demand + step.processors_milli) / capacity
    speed = pressure.speed(endpoint, step)
    taken = pressure.taken(endpoint, step)
    if waits:
        most_taken = MAX_TAKEN + MAX_TAKEN_BY_AGE * task.job.relative_age(now)
        if share > MAX_FILLER_SHARE or speed < LEAST_SPEED or taken > most_taken:
            return None
    value += SLOWED * (1 - speed) + TAKEN * taken
    return value + CROWDED * max(0.0, share - CROWDED_SHARE)


def score(endpoint, task, pressure, now, waits):
    """Return how unfit ``endpoint`` is for ``task``, or ``None`` if not at all fit."""
    step = task.step
    if step.replica:
        value = replica_score(endpoint, step, pressure)
    elif step.filler:
        value = filler_score(endpoint, task, pressure, now, waits)
        if value is None:
            return None
    else:
        value = load_score(endpoint, step)
        if not endpoint.replicas:
            value += TAKES_FROM_FILLERS
    if endpoint.info.cold_ms > 0:
        value += COLD
    if task.avoided_endpoints is not None and endpoint.id in task.avoided_endpoints:
        value += DISTRUSTED
    if step.data_rack and endpoint.info.rack != step.data_rack:
        value += FAR_FROM_DATA
    return value


def usable(endpoint, task, now):
    """Return whether ``task`` may be started at ``endpoint`` at all."""
    step = task.step
    if endpoint.info.service != task.job.spec.service or not endpoint.fits(step):
        return False
    if not task.may_run_at(endpoint, now):
        return False
    if step.required_label and step.required_label not in endpoint.info.labels:
        return False
    if endpoint.health.probation and len(endpoint.tasks) > endpoint.replicas:
        return False
    if step.max_per_endpoint:
        beside = sum(
            other.job is task.job and other.step_number == task.step_number
            for other in endpoint.tasks.values()
        )
        return beside < step.max_per_endpoint
    return True


class Choice:
    """Where a task goes: an endpoint, or a domain to open to the job first."""

    __slots__ = ("endpoint", "domain")

    def __init__(self, endpoint=None, domain=None):
        self.endpoint = endpoint
        self.domain = domain


def choose(task, endpoints, pressure, now, waits=True):
    """Return the `Choice` for ``task`` among ``endpoints``, or ``None``.

    ``waits`` tells whether a filler may wait for better endpoints, see `may_wait`.
    """
    best = best_elsewhere = None
    best_score = score_elsewhere = float("inf")
    domains = task.job.domains
    for endpoint in endpoints:
        if not usable(endpoint, task, now):
            continue
        value = score(endpoint, task, pressure, now, waits)
        if value is None:
            continue
        if endpoint.domain in domains:
            if value < best_score:
                best, best_score = endpoint, value
        elif value < score_elsewhere:
            best_elsewhere, score_elsewhere = endpoint, value
    if best is None or best_score > score_elsewhere + DOMAIN_SLACK:
        if best_elsewhere is not None:
            return Choice(best, best_elsewhere.domain)
        if best is None:
            return None
    return Choice(best)
