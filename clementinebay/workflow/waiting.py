"""Explains why due tasks wait."""

from enum import StrEnum

from clementinebay.policy import dispatch
from clementinebay.workflow import planning
from clementinebay.workflow.suspects import Isolation


class Reason(StrEnum):
    """The reason for which a due task is not started; the values are logged.

    ``NONE``: the next plan starts the task, so the scheduler itself is late.
    """

    NOT_EXCLUSIVE = "not-exclusive"
    INHERITED = "inherited-endpoints"
    ORGANISATION_LIMIT = "organisation-limit"
    NO_ENDPOINT = "no-endpoint"
    PINNED = "pinned"
    JOB_NOT_STORED = "job-not-stored"
    NO_LABEL = "no-label"
    NO_ROOM = "no-room"
    SPREAD = "probation-or-spread"
    FILLER_WAITS = "filler-waits"
    DOMAIN = "domain-not-open"
    CRASH_NOT_STORED = "crash-not-stored"
    ISOLATION = "isolation"
    NONE = "none"


def due_tasks(engine, now):
    """Return the tasks that wait although their next run is due."""
    return [
        task
        for job in engine.active.values()
        for waiting in job.waiting
        for task in waiting
        if task.not_before <= now
    ]


def reason(engine, task, now):
    """Return the `Reason` for which a due task waits."""
    job = task.job
    if job.discovered_at > engine.exclusive_until:
        return Reason.NOT_EXCLUSIVE
    if not engine.inherited_endpoints.all_reported(job):
        return Reason.INHERITED
    if not engine.quotas.allows(job.spec.organisation, task.step):
        return Reason.ORGANISATION_LIMIT
    endpoints = planning.available_endpoints(engine, now)
    isolation = Isolation(engine.suspects, endpoints, now)
    if task in engine.suspects.tasks:
        return suspect_reason(engine, task, isolation, now)
    endpoints = isolation.others
    may_wait = dispatch.may_wait(job.spec.service, endpoints)
    probing = planning.probes_endpoints(endpoints)
    choice = dispatch.choose(task, endpoints, engine.pressure, now, may_wait, probing)
    if choice is None:
        return unusable_reason(task, endpoints, now, probing)
    if choice.endpoint is None or planning.waits_for_domain(job, choice, now):
        return Reason.DOMAIN
    return Reason.NONE


def suspect_reason(engine, task, isolation, now):
    """Return the `Reason` for which a due suspect waits."""
    if task.job.awaits_crash_write(task):
        return Reason.CRASH_NOT_STORED
    endpoint = isolation.places.get(task)
    if endpoint is None:
        return Reason.ISOLATION
    choice = planning.choose_isolated(engine, task, endpoint, now)
    if choice is None:
        return Reason.NO_ROOM
    return Reason.DOMAIN if choice.endpoint is None else Reason.NONE


def unusable_reason(task, endpoints, now, probing):
    """Return the `Reason` for which no endpoint can be used for ``task``."""
    step = task.step
    conditions = (
        (Reason.NO_ENDPOINT, lambda e: e.info.service == task.job.spec.service),
        (Reason.PINNED, lambda e: task.may_run_at(e, now)),
        (Reason.JOB_NOT_STORED, lambda e: e.admits(task.job)),
        (
            Reason.NO_LABEL,
            lambda e: not step.required_label or step.required_label in e.info.labels,
        ),
        (Reason.NO_ROOM, lambda e: e.fits(step)),
        (Reason.SPREAD, lambda e: dispatch.usable(e, task, now, probing)),
    )
    for name, holds in conditions:
        endpoints = [endpoint for endpoint in endpoints if holds(endpoint)]
        if not endpoints:
            return name
    return Reason.FILLER_WAITS
