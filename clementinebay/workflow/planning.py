"""Selects the tasks to start and the endpoints to start them at."""

import itertools

from clementinebay import metrics
from clementinebay.policy import dispatch, endpointhealth, ordering, pacing
from clementinebay.workflow import suspects
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.orders import StartOrder

#: The first run of a term is numbered one above this times the term's number.
RUNS_PER_TERM = 1000
#: Time for which a task waits until a better failure domain is open to its job, in
#: seconds.  If the store is unavailable for longer, the task uses the domains already
#: open.
DOMAIN_OPENING_SECONDS = 0.3
#: Number of tasks without an endpoint that a plan records.
MAX_UNPLACED = 5
#: Longest time for which a replica waits because the endpoints with room are barred or
#: on probation, in seconds.  The platform requires it to run again within 9 s.
MAX_REPLICA_WAIT_SECONDS = 2.0


def ready_endpoints(engine):
    """Return the endpoints that could receive tasks now, even those that are barred."""
    return [
        endpoint
        for endpoint in engine.endpoints.values()
        if endpoint.listed
        and endpoint.has_valid_entry
        and endpoint.has_reported
        and not endpoint.has_ended
        and endpoint.recorded
        and endpoint.id not in engine.leases.final
        and not endpoint.info.leaving
        and endpoint.unreachable_since is None
        and endpoint.domain not in engine.disabled_domains
    ]


def available_endpoints(engine, now):
    """Return the endpoints that may receive tasks."""
    candidates = ready_endpoints(engine)
    healths = [endpoint.health for endpoint in candidates]
    if endpointhealth.too_many_barred(healths, now):
        return candidates
    sound = [e for e in candidates if not e.health.barred(now)]
    services = {endpoint.info.service for endpoint in sound}
    return sound + [
        endpoint
        for endpoint in candidates
        if endpoint.info.service not in services
        and not endpoint.health.newly_barred(now)
    ]


def probes_endpoints(endpoints):
    """Return whether an endpoint on probation gets one task at a time."""
    return not endpointhealth.too_many_on_probation([e.health for e in endpoints])


def plan(engine, now, limit):
    """Return at most ``limit`` start orders to send now."""
    try:
        orders = itertools.islice(generate_orders(engine, now), limit)
        return [order for order in orders if order is not None]
    finally:
        engine.starting.release_held()


def generate_orders(engine, now):
    """Place waiting tasks; yield the start order of each.

    Yields ``None`` in place of an order that waits until its job is named in the store.
    """
    jobs = startable_jobs(engine, now)
    engine.unplaced = []
    engine.quotas.begin_plan(engine)
    endpoints = available_endpoints(engine, now) if jobs else ()
    isolation = suspects.Isolation(engine.suspects, endpoints, now)
    yield from place_suspects(engine, jobs, isolation, now)
    if isolation.others:
        search = Search(isolation.others, probes_endpoints(endpoints))
        yield from generate_pinned_orders(engine, jobs, search, now)
        begun = []
        for job in jobs:
            orders = place_job(engine, job, search, now)
            if len(jobs) > 1 and ordering.starts_one(job, now, engine.start_seconds):
                orders = itertools.islice(orders, 1)
                begun.append(job)
            yield from orders
        for job in begun:
            yield from place_job(engine, job, search, now)
    yield from generate_overdue_orders(engine, jobs, isolation, now)


def generate_pinned_orders(engine, jobs, search, now):
    """Place replicas that may run at one endpoint only, before others use its room."""
    tasks = [
        task
        for job in jobs
        if job.replica
        for waiting in job.waiting
        for task in waiting
        if task.step.replica
        and task.not_before <= now < task.pinned_until
        and task not in engine.suspects.tasks
    ]
    for task in tasks:
        choice = dispatch.choose(*search.arguments(task, engine.pressure, now))
        order = place(engine, task, choice, now)
        if order is not None:
            yield order


def generate_overdue_orders(engine, jobs, isolation, now):
    """Place replicas that have waited for too long, whatever the endpoints' health."""
    latest = now - MAX_REPLICA_WAIT_SECONDS
    steps = [
        (job, number)
        for job in jobs
        if job.replica
        for number, waiting in enumerate(job.waiting)
        if job.spec.steps[number].replica and any(t.due_at <= latest for t in waiting)
    ]
    endpoints = [
        endpoint
        for endpoint in (ready_endpoints(engine) if steps else ())
        if endpoint not in isolation.kept
    ]
    if any(e.health.probation or e.health.barred(now) for e in endpoints):
        search = Search(endpoints, probing=False)
        for job, number in steps:
            yield from place_step(engine, job, number, search, now, latest)


def place_suspects(engine, jobs, isolation, now):
    """Place the suspects of ``jobs``; yield the start order of each."""
    for task, endpoint in isolation.places.items():
        if task.job in jobs:
            choice = choose_isolated(engine, task, endpoint, now)
            order = place(engine, task, choice, now)
            if order is not None:
                suspects.presume_crash(engine, task)
                yield order


def choose_isolated(engine, task, endpoint, now):
    """Return the `Choice` of ``endpoint`` for a suspect."""
    return dispatch.choose(
        task, [endpoint], engine.pressure, now, can_wait=False, probing=False
    )


class Search:
    """The search of one plan for endpoints.

    ``may_wait`` says, by service, whether fillers may wait for better endpoints,
    ``probing`` whether an endpoint on probation gets one task at a time.  While tasks
    are placed there is only less room, so tasks like one that found no endpoint are not
    searched for again: ``failed`` has the greatest relative age of their jobs by shape.
    ``admitting`` has the ids of the endpoints that are open to some jobs only, by job.
    """

    __slots__ = ("endpoints", "may_wait", "probing", "failed", "admitting")

    def __init__(self, endpoints, probing):
        self.endpoints = endpoints
        self.may_wait = {
            service: dispatch.may_wait(service, endpoints)
            for service in {endpoint.info.service for endpoint in endpoints}
        }
        self.probing = probing
        self.failed = {}
        self.admitting = {}
        for endpoint in endpoints:
            for job_id in endpoint.open_jobs or ():
                self.admitting.setdefault(job_id, []).append(endpoint.id)

    def arguments(self, task, pressure, now):
        """Return the arguments of `dispatch.choose` and `dispatch.Ranking`."""
        may_wait = self.may_wait.get(task.job.spec.service, True)
        return task, self.endpoints, pressure, now, may_wait, self.probing

    def key(self, job, step):
        """Return what decides whether any endpoint can be used for ``step``."""
        return shape(job, step), tuple(self.admitting.get(job.id, ()))

    def has_failed(self, job, step, now):
        """Return whether a task like those of ``step`` found no endpoint."""
        age = self.failed.get(self.key(job, step))
        # Fillers are placed more freely the older their job is.
        return age is not None and job.relative_age(now) <= age

    def record_failure(self, task, now):
        """Record that ``task`` found no endpoint."""
        job, step = task.job, task.step
        # Other tasks of its step, or the pin of the task, may be the reason.
        if not step.max_per_endpoint and now >= task.pinned_until:
            key, age = self.key(job, step), job.relative_age(now)
            self.failed[key] = max(age, self.failed.get(key, age))


def shape(job, step):
    """Return what an endpoint must have for a task of ``step``."""
    return (
        job.spec.service,
        step.processors_milli,
        step.memory_mb,
        step.accelerators,
        step.required_label,
        step.filler,
        step.image,
    )


def startable_jobs(engine, now):
    """Return the jobs with waiting tasks that may be started, the first in rank first.

    Other active jobs are far more, so they are left out before the others are sorted.
    """
    jobs = [
        job
        for job in engine.active.values()
        if any(job.waiting)
        and job.discovered_at <= engine.exclusive_until
        and engine.inherited_endpoints.all_reported(job)
    ]
    jobs.sort(key=lambda job: ordering.rank(job, now, engine.start_seconds))
    return jobs


def place_job(engine, job, search, now):
    """Place the waiting tasks of a job; yield the start order of each."""
    for number, waiting in enumerate(job.waiting):
        if waiting:
            yield from place_step(engine, job, number, search, now)


def place_step(engine, job, number, search, now, due_by=None):
    """Place the tasks of one step that were due at ``due_by``, by default ``now``.

    Yield the start order of each.

    The tasks of a step have equal requirements, so they share one `Ranking`, and the
    first one that cannot be placed ends the search, unless its own restrictions may be
    the reason.
    """
    step = job.spec.steps[number]
    if search.has_failed(job, step, now):
        return
    ranking = None
    latest = now if due_by is None else due_by
    for task in list(job.waiting[number]):
        if task.due_at > latest or task in engine.suspects.tasks:
            continue
        if task in engine.starting.held:
            continue
        if not engine.quotas.allows(job.spec.organisation, step):
            break
        restricted = task.avoided_endpoints is not None or now < task.pinned_until
        arguments = search.arguments(task, engine.pressure, now)
        if restricted:
            choice = dispatch.choose(*arguments)
        else:
            ranking = ranking or dispatch.Ranking(*arguments)
            choice = ranking.choose()
        order = place(engine, task, choice, now)
        if order is not None:
            yield order
            if ranking is not None:
                ranking.rescore(order.endpoint)
            continue
        if task in engine.starting.held:
            if ranking is not None:
                ranking.rescore(choice.endpoint)
            yield None
            continue
        if choice is None:
            search.record_failure(task, now)
            if not restricted and len(engine.unplaced) < MAX_UNPLACED:
                engine.unplaced.append(task)
        if not restricted or search.has_failed(job, step, now):
            break


def waits_for_domain(job, choice, now):
    """Return whether ``job`` waits until a better domain is open to it."""
    return choice.domain is not None and now < job.requested_at + DOMAIN_OPENING_SECONDS


def open_endpoint(engine, job, choice, now):
    """Return the endpoint of a `Choice`, or ``None`` while a domain is to be opened.

    The domain is requested.
    """
    if choice.domain is not None and choice.domain not in job.requested_domains:
        job.requested_domains.add(choice.domain)
        job.requested_at = now
        engine.mark_changed(job, urgent=True)
    return None if waits_for_domain(job, choice, now) else choice.endpoint


def place(engine, task, choice, now):
    """Place ``task`` by a `Choice`; return its start order, or ``None`` if it waits."""
    job = task.job
    if choice is None or not engine.quotas.allows(job.spec.organisation, task.step):
        return None
    endpoint = open_endpoint(engine, job, choice, now)
    if endpoint is None or not engine.starting.request_start(task, endpoint, now):
        return None
    metrics.DUE_SECONDS.observe(max(0.0, now - task.due_at))
    run = max(task.last_run, engine.term * RUNS_PER_TERM) + 1
    if not job.was_placed:
        metrics.FIRST_START_SECONDS.observe(max(0.0, now - job.accepted_at))
    task.place(endpoint, run, TaskState.STARTING, now)
    task.pace = pacing.FULL_PACE
    if task.step.filler or task.step.replica:
        endpoint.spare_headroom = engine.pressure.spare_headroom(endpoint)
    return StartOrder(endpoint, task)
