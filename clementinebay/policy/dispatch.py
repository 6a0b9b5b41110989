"""Chooses the endpoint on which a task is started.

The functions read jobs and endpoints and change neither.  The caller reserves the
chosen endpoint before it asks for the next task.
"""

import heapq

#: Another domain is opened to a job if its best score is lower than that of the job's
#: own domains by more than this.
DOMAIN_SLACK = 0.15
#: Fillers wait rather than claim more than this share of an endpoint with replicas.
MAX_FILLER_SHARE = 0.6
#: Penalty of an endpoint whose replicas leave a filler no time to run.
SLOWDOWN_WEIGHT = 2.0
#: Fillers wait rather than run for less than this share of time.
MIN_FILLER_SPEED = 0.25
#: Penalty of an endpoint where a filler takes all headroom that replicas have by
#: default.
HEADROOM_WEIGHT = 2.0
#: Fillers of new jobs wait rather than take more than this share of the default
#: headroom.  The limit grows with the age of the job relative to its objective.
MAX_HEADROOM_SHARE = 0.2
HEADROOM_SHARE_PER_AGE = 0.4
#: No filler waits while less than this share of a service's processors is reserved: the
#: platform requires every job to run while under half of its capacity is in use.
MIN_RESERVED_SHARE = 0.5
#: Penalty of a replica's endpoint per unit of headroom that the fillers there take.
HEADROOM_LOSS_WEIGHT = 1.0
#: Fillers that use more than this share of the processors slow replicas whatever their
#: image, and the penalty per share beyond it.
CROWDING_THRESHOLD = 0.4
CROWDING_WEIGHT = 4.0
#: Penalty of a replica's endpoint if all replicas there have other images: fillers are
#: easier to place beside replicas of one image.
OTHER_IMAGE_PENALTY = 1.5
#: Penalty of an endpoint without replicas for other tasks, which leaves it to fillers.
FILLER_ENDPOINT_PENALTY = 0.1
#: Penalty of an endpoint that is still slow after its start.
COLD_START_PENALTY = 0.5
#: Penalty of an endpoint in another rack than the task's data.
REMOTE_DATA_PENALTY = 1.0
#: Penalty of a replica's endpoint whose leases outlast the stored limit: if it is lost,
#: the replica runs again later than elsewhere.
LONG_LEASE_PENALTY = 4.0
#: Penalty of an endpoint where the task failed or made no progress before.
DISTRUST_PENALTY = 2.0


def load_score(endpoint, step):
    """Return the share of the processors claimed once a task of ``step`` is added."""
    claimed = endpoint.processors_used + endpoint.filler_demand + step.processors_milli
    return claimed / max(1, endpoint.info.processors_milli)


def replica_score(endpoint, step, pressure):
    """Return the score of an endpoint for a replica: the fullest is the best."""
    value = 1 - endpoint.processors_used / max(1, endpoint.info.processors_milli)
    images = endpoint.replica_images
    if images and step.image not in images:
        value += OTHER_IMAGE_PENALTY
    return value + HEADROOM_LOSS_WEIGHT * pressure.headroom_loss(step.image, endpoint)


def may_wait(service, endpoints):
    """Return whether fillers of a service may wait for better endpoints."""
    members = [endpoint for endpoint in endpoints if endpoint.info.service == service]
    reserved = sum(endpoint.processors_used for endpoint in members)
    return reserved >= MIN_RESERVED_SHARE * sum(
        endpoint.info.processors_milli for endpoint in members
    )


def filler_score(endpoint, task, pressure, now, can_wait):
    """Return the score of an endpoint for a filler, lower is better.

    Return ``None`` if the filler ``can_wait`` and should not use this endpoint yet.
    """
    step = task.step
    value = load_score(endpoint, step)
    if not endpoint.replicas:
        return value
    capacity = max(1, endpoint.info.processors_milli)
    share = (endpoint.filler_demand + step.processors_milli) / capacity
    # Most endpoints of a full service are excluded, so the cheapest test comes first.
    if can_wait and share > MAX_FILLER_SHARE:
        return None
    headroom_share = pressure.headroom_share(endpoint, step)
    if can_wait and headroom_share > (
        MAX_HEADROOM_SHARE + HEADROOM_SHARE_PER_AGE * task.job.relative_age(now)
    ):
        return None
    max_speed = pressure.max_speed(endpoint, step)
    if can_wait and max_speed < MIN_FILLER_SPEED:
        return None
    value += SLOWDOWN_WEIGHT * (1 - max_speed) + HEADROOM_WEIGHT * headroom_share
    return value + CROWDING_WEIGHT * max(0.0, share - CROWDING_THRESHOLD)


def score(endpoint, task, pressure, now, can_wait):
    """Return the score of ``endpoint`` for ``task``, lower is better.

    Return ``None`` if the task should rather wait.
    """
    step = task.step
    if step.replica:
        value = replica_score(endpoint, step, pressure)
        if endpoint.open_jobs is not None:
            value += LONG_LEASE_PENALTY
    elif step.filler:
        value = filler_score(endpoint, task, pressure, now, can_wait)
        if value is None:
            return None
    else:
        value = load_score(endpoint, step)
        if not endpoint.replicas:
            value += FILLER_ENDPOINT_PENALTY
    if endpoint.info.cold_ms > 0:
        value += COLD_START_PENALTY
    if task.avoided_endpoints is not None and endpoint.id in task.avoided_endpoints:
        value += DISTRUST_PENALTY
    if step.data_rack and endpoint.info.rack != step.data_rack:
        value += REMOTE_DATA_PENALTY
    return value


def usable(endpoint, task, now, probing=True):
    """Return whether ``task`` may be started on ``endpoint``, whatever the score.

    ``probing`` says whether an endpoint on probation gets one task at a time.
    """
    step = task.step
    if endpoint.info.service != task.job.spec.service or not endpoint.fits(step):
        return False
    if not task.may_run_at(endpoint, now) or not endpoint.admits(task.job):
        return False
    if step.required_label and step.required_label not in endpoint.info.labels:
        return False
    probed = probing and endpoint.health.probation
    if probed and len(endpoint.tasks) > endpoint.replicas:
        return False
    if step.max_per_endpoint:
        beside = sum(
            other.job is task.job and other.step_number == task.step_number
            for other in endpoint.tasks.values()
        )
        return beside < step.max_per_endpoint
    return True


class Choice:
    """The endpoint for a task, and a better domain that should be opened to the job.

    Either may be ``None``.
    """

    __slots__ = ("endpoint", "domain")

    def __init__(self, endpoint=None, domain=None):
        self.endpoint = endpoint
        self.domain = domain


def choose(task, endpoints, pressure, now, can_wait=True, probing=True):
    """Return the `Choice` for ``task`` among ``endpoints``, or ``None``.

    ``can_wait`` says whether a filler may wait for better endpoints, see `may_wait`,
    and ``probing`` whether an endpoint on probation gets one task at a time.
    """
    best = best_elsewhere = None
    best_score = score_elsewhere = float("inf")
    domains = task.job.domains
    for endpoint in endpoints:
        if not usable(endpoint, task, now, probing):
            continue
        value = score(endpoint, task, pressure, now, can_wait)
        if value is None:
            continue
        if endpoint.domain in domains:
            if value < best_score:
                best, best_score = endpoint, value
        elif value < score_elsewhere:
            best_elsewhere, score_elsewhere = endpoint, value
    return make_choice(best, best_score, best_elsewhere, score_elsewhere)


def make_choice(best, best_score, best_elsewhere, score_elsewhere):
    """Return the `Choice` between the best endpoints in open and in other domains.

    Either endpoint may be ``None``; its score is infinite then.
    """
    if best is None or best_score > score_elsewhere + DOMAIN_SLACK:
        if best_elsewhere is not None:
            return Choice(best, best_elsewhere.domain)
        if best is None:
            return None
    return Choice(best)


class Ranking:
    """The endpoints for the tasks of one step, best first; chooses as `choose` does.

    It is valid for one plan and for tasks without restrictions of their own: ``task``
    stands for all of them.  The caller reports each endpoint whose state it changes to
    `rescore`.
    """

    __slots__ = (
        "task",
        "pressure",
        "now",
        "can_wait",
        "probing",
        "endpoints",
        "scores",
        "open",
        "elsewhere",
    )

    def __init__(self, task, endpoints, pressure, now, can_wait, probing=True):
        self.task = task
        self.pressure = pressure
        self.now = now
        self.can_wait = can_wait
        self.probing = probing
        self.endpoints = endpoints
        self.scores = [self.score(endpoint) for endpoint in endpoints]
        domains = task.job.domains
        self.open, self.elsewhere = [], []
        for index, value in enumerate(self.scores):
            if value is not None:
                is_open = endpoints[index].domain in domains
                (self.open if is_open else self.elsewhere).append((value, index))
        heapq.heapify(self.open)
        heapq.heapify(self.elsewhere)

    def score(self, endpoint):
        """Return the score of an endpoint, or ``None`` if it should not be used."""
        if not usable(endpoint, self.task, self.now, self.probing):
            return None
        return score(endpoint, self.task, self.pressure, self.now, self.can_wait)

    def rescore(self, endpoint):
        """Update the score of an endpoint after a change of its state."""
        index = self.endpoints.index(endpoint)
        value = self.score(endpoint)
        if value != self.scores[index]:
            self.scores[index] = value
            if value is not None:
                is_open = endpoint.domain in self.task.job.domains
                entry = (value, index)
                heapq.heappush(self.open if is_open else self.elsewhere, entry)

    def best(self, heap):
        """Return the best endpoint of a heap and its score."""
        while heap:
            value, index = heap[0]
            if self.scores[index] == value:
                return self.endpoints[index], value
            heapq.heappop(heap)
        return None, float("inf")

    def choose(self):
        """Return the `Choice` for the next task, or ``None``."""
        return make_choice(*self.best(self.open), *self.best(self.elsewhere))
