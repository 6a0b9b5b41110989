"""Incarnations of endpoints: restarts, and what the next incarnation may hold.

An endpoint that restarts under its id has forgotten its runs, fences and leases, but it
executes orders that were sent to the incarnation before.
"""

from clementinebay.workflow import suspects
from clementinebay.workflow.fleet import longest_lease
from clementinebay.workflow.orders import MAX_ORDER_DELAY_SECONDS


def restart(engine, endpoint, info, now):
    """Handle the restart of an endpoint, which ended all runs there."""
    engine.log.warning(
        "endpoint.restarted",
        endpoint=info.id,
        runs=len(endpoint.tasks),
        born_ms=info.born_ms,
    )
    given_up = suspects.count_crash(engine, endpoint, now, may_run_at_successor)
    for task in list(endpoint.tasks.values()):
        if may_run_at_successor(task):
            engine.mark_unconfirmed(task, now)
            # A late request for a report would extend the lease of its run.
            engine.late_order_deadlines[task.name] = now + MAX_ORDER_DELAY_SECONDS
        else:
            engine.lose_run(task, "restarted", now)
    endpoint.restart(info, now)
    engine.inherited_endpoints.record_incarnation(endpoint)
    suspects.give_up(engine, given_up)


def may_run_at_successor(task):
    """Return whether the next incarnation of its endpoint may have started ``task``.

    The answer to a start may overtake an earlier report.
    """
    return not task.is_located


def jobs_with_unconfirmed_start(engine, endpoint):
    """Return the ids of the jobs with a start that no report of ``endpoint`` shows.

    The next incarnation may have taken the order.
    """
    return {
        task.job.id
        for name, task in endpoint.tasks.items()
        if may_run_at_successor(task) or name in engine.late_order_deadlines
    }


def record_leases(engine, endpoint, report, now):
    """Record the leases that an incarnation may have at its first report."""
    if engine.inherited_endpoints.may_have_longest(endpoint.id):
        endpoint.earlier_granted_ms = float("inf")
    seconds, until = find_lease(engine, endpoint, report, now)
    endpoint.granted_ms = report.clock_ms + seconds * 1000
    if not seconds:
        return
    record_end_of_leases(engine, endpoint, min(until, now + longest_lease(seconds)))
    engine.log.info(
        "endpoint.leases_found",
        endpoint=endpoint.id,
        seconds=round(seconds, 2),
        clock_ms=report.clock_ms,
        restarts=endpoint.restarts,
        is_open=endpoint.open_jobs is None,
        runs=len(report.running),
    )


def find_lease(engine, endpoint, report, now):
    """Return for how long, in seconds, and until when a lease there may last.

    A deadline that was sent to an earlier incarnation holds on the clock of the next
    one, for the longest lease that the endpoint accepts at most.
    """
    if endpoint.restarts:
        left_ms = max(0.0, endpoint.earlier_granted_ms - report.clock_ms)
        return min(engine.max_lease_seconds, left_ms / 1000), float("inf")
    if engine.inherited_endpoints.has_restarted(endpoint.id):
        return engine.max_lease_seconds, float("inf")
    return find_inherited_lease(engine, endpoint, report, now)


def find_inherited_lease(engine, endpoint, report, now):
    """Return the same for a lease that an earlier scheduler may have granted.

    It granted some only at endpoints that it had stored.
    """
    left = 0.0
    if engine.inherited_endpoints.is_known(endpoint.id):
        end = engine.inherited_endpoints.end_of_leases(endpoint.id)
        left = max(0.0, end - now)
    if report.running and not left:
        return engine.max_lease_seconds, float("inf")
    return min(engine.max_lease_seconds, left), now + left


def record_end_of_leases(engine, endpoint, until):
    """Record by when leases at an endpoint have ended.

    If the stored limit does not cover them, no job is started there before a record
    names it.
    """
    endpoint.found_until = max(endpoint.found_until, until)
    if endpoint.found_until > engine.leases.until:
        endpoint.open_jobs = frozenset()


def assume_longest_lease(engine, endpoint, now):
    """Reckon with the longest lease that an endpoint accepts, for any run there.

    An order that was sent to an earlier incarnation has reached the next one, which has
    not reported yet.  Others may do so late, and grant the longest lease then.
    """
    endpoint.grant(now, MAX_ORDER_DELAY_SECONDS + engine.max_lease_seconds)
    endpoint.found_jobs = None
    latest = now + MAX_ORDER_DELAY_SECONDS
    until = latest + longest_lease(engine.max_lease_seconds)
    record_end_of_leases(engine, endpoint, until)


def record_jobs(endpoint, report):
    """Record the jobs in a report while the endpoint's leases outlast the limit.

    The ends of their runs may not be stored yet.
    """
    if endpoint.open_jobs is not None and endpoint.found_jobs is not None:
        rows = (*report.running, *report.ended)
        endpoint.found_jobs.update(row.task.partition(".")[0] for row in rows)


def expire_unreported(engine, endpoint, now):
    """Release tasks whose run is over at an incarnation that never reported.

    An order that was sent before the restart may be executed at its deadline and grant
    the longest lease.
    """
    lease_seconds = longest_lease(engine.max_lease_seconds)
    for task in list(endpoint.tasks.values()):
        deadline = engine.late_order_deadlines.get(task.name)
        if deadline is not None and now >= deadline + lease_seconds:
            engine.lose_run(task, "lapsed", now)
