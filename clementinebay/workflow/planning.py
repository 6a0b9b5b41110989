"""Which orders to start an engine gives now."""

from clementinebay import metrics
from clementinebay.policy import dispatch, endpointhealth, pacing
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.orders import StartOrder

#: Runs of one term are numbered from its term's number times this.
RUNS_PER_TERM = 1000
#: A task waits so long for a better domain to be opened to its job, in seconds; while
#: the store is away it then takes what there is.
OPENING_SECONDS = 0.3


def available(engine, now):
    """Return the endpoints that may be given tasks."""
    sound = [
        endpoint
        for endpoint in engine.endpoints.values()
        if endpoint.listed
        and endpoint.settled
        and endpoint.recorded
        and not endpoint.info.leaving
        and endpoint.failing_since is None
        and endpoint.domain not in engine.out
    ]
    healths = [endpoint.health for endpoint in sound]
    if endpointhealth.too_many_barred(healths, now):
        return sound
    return [e for e in sound if not e.health.barred(now)]


def plan(engine, now):
    """Return the orders to start that can be given now."""
    orders = []
    endpoints = available(engine, now)
    if not endpoints:
        return orders
    waits = {
        service: dispatch.may_wait(service, endpoints)
        for service in {endpoint.info.service for endpoint in endpoints}
    }
    for job in sorted(engine.active.values(), key=lambda job: dispatch.rank(job, now)):
        if job.learned_at > engine.sole_until or not engine.inheritance.settled(job):
            continue
        for waiting in job.waiting:
            wait = waits.get(job.spec.service, True)
            orders += place_step(engine, waiting, endpoints, now, wait)
    return orders


def place_step(engine, waiting, endpoints, now, waits):
    """Return orders for the waiting tasks of one step, which are all alike."""
    orders = []
    for task in list(waiting):
        if task.not_before > now:
            continue
        order = place(engine, task, endpoints, now, waits)
        if order is not None:
            orders.append(order)
        elif task.avoided_endpoints is None and now >= task.bound_until:
            break
    return orders


def place(engine, task, endpoints, now, waits):
    """Return the order for ``task``, or ``None`` if it has to wait."""
    choice = dispatch.choose(task, endpoints, engine.pressure, now, waits)
    if choice is None:
        return None
    job = task.job
    if choice.domain is not None and choice.domain not in job.wanted_domains:
        job.wanted_domains.add(choice.domain)
        job.wanted_at = now
        engine.mark(job, urgent=True)
    opening = choice.domain is not None and now < job.wanted_at + OPENING_SECONDS
    if choice.endpoint is None or opening:
        return None
    run = max(task.run, engine.term * RUNS_PER_TERM) + 1
    task.place(choice.endpoint, run, TaskState.STARTING, now)
    task.pace = pacing.FULL_PACE
    if task.step.filler or task.step.replica:
        choice.endpoint.spare_headroom = engine.pressure.spare_headroom(choice.endpoint)
    if not job.begun:
        job.begun = True
        metrics.FIRST_START_SECONDS.observe(max(0.0, now - job.accepted_at))
        engine.mark(job)
    return StartOrder(choice.endpoint, task)
