"""Tasks that are suspected of crashing their endpoints, and where they may run."""

from clementinebay import metrics
from clementinebay.policy import crashes, dispatch
from clementinebay.workflow.job import JobState, TaskState


class Suspects:
    """The suspects among the tasks of one term.

    ``tasks`` has the tasks that are to run alone.  ``presumed`` maps those that run to
    their incarnation, whose crash is counted in advance: a successor cannot know of a
    run that this scheduler has lost.  ``unsettled`` maps those that may run at the next
    incarnation of a crashed endpoint to the crashed one, whose crash is counted, and
    whether they are given up for it.  ``crashed_at`` has the times of recent crashes by
    incarnation.
    """

    __slots__ = ("tasks", "presumed", "unsettled", "crashed_at")

    def __init__(self):
        self.tasks = {}
        self.presumed = {}
        self.unsettled = {}
        self.crashed_at = {}

    def restore(self, job):
        """Suspect the tasks that an earlier scheduler stored as suspects."""
        for task in list(job.tasks.values()):
            if crashes.is_suspect(len(job.crashes.get(task.name, ()))):
                self.tasks[task] = None

    def clear(self, task):
        """Forget the crashes under a task that has proved sound."""
        task.job.crashes.pop(task.name, None)
        self.forget(task)

    def forget_job(self, job):
        """Forget the tasks of an ended job."""
        for task in job.tasks.values():
            self.forget(task)

    def forget(self, task):
        """Forget a task."""
        self.tasks.pop(task, None)
        self.presumed.pop(task, None)
        self.unsettled.pop(task, None)

    def record_crash(self, endpoint, endpoints, now):
        """Count the crash of ``endpoint`` against its runs; return their tasks.

        ``endpoints`` are all known endpoints.  The result is a list of (task, whether
        it is given up).
        """
        at = now if endpoint.unreachable_since is None else endpoint.unreachable_since
        is_mass = self.is_mass_crash(endpoint, at, endpoints, now)
        alone = len(endpoint.tasks) == 1
        recent = [
            task
            for task in endpoint.tasks.values()
            if not task.job.ended
            and not crashes.is_sound(at - task.started_at)
            and endpoint.has_proved_sound(task.started_at)
            and (task.has_run or (alone and task in self.tasks))
        ]
        if endpoint.info.leaving or not recent:
            return []
        last = max(recent, key=lambda task: task.started_at)
        if is_mass:
            recent = [task for task in recent if alone and task in self.tasks]
        counted = []
        for task in recent:
            count = task.job.record_crash(task, endpoint.incarnation)
            self.presumed.pop(task, None)
            if task is last or crashes.is_suspect(count):
                self.tasks[task] = None
            chance = self.chance_of_crash(task, len(endpoints), now)
            counted.append((task, crashes.is_given_up(count, alone, chance)))
        return counted

    def chance_of_crash(self, task, endpoints, now):
        """Return the probability that a crash with another cause hits a run."""
        own = task.job.crashes[task.name]
        times = [at for name, at in self.crashed_at.items() if name not in own]
        return crashes.chance_of_crash(times, endpoints, now)

    def is_mass_crash(self, endpoint, at, endpoints, now):
        """Return whether a crash is one of many; remember it."""
        self.crashed_at = {
            incarnation: time
            for incarnation, time in self.crashed_at.items()
            if time > now - crashes.MEMORY_SECONDS
        }
        # One that never reported may have been lost long before this term.
        if endpoint.has_reported:
            self.crashed_at[endpoint.incarnation] = at
        times = dict(self.crashed_at)
        for other in endpoints:
            if other.has_reported and other.unreachable_since is not None:
                times.setdefault(other.incarnation, other.unreachable_since)
        return crashes.is_mass_crash(at, times.values(), len(endpoints))


def count_crash(engine, endpoint, now, is_unsettled=lambda task: False):
    """Count a crash against the runs at ``endpoint``; return the tasks to give up.

    The caller passes them to `give_up` once it has released the runs.  A task that
    ``is_unsettled`` may run at the next incarnation, and is given up only once a report
    shows that it does not.
    """
    counted = engine.suspects.record_crash(endpoint, engine.endpoints.values(), now)
    for task, _given_up in counted:
        engine.mark_changed(task.job, urgent=True)
        incarnations = task.job.crashes[task.name]
        if crashes.is_suspect(len(incarnations)):
            engine.log.warning(
                "task.suspected", task=task.name, crashed=list(incarnations)
            )
    given_up = []
    for task, is_given_up in counted:
        if is_unsettled(task):
            engine.suspects.unsettled[task] = endpoint.incarnation, is_given_up
        elif is_given_up:
            given_up.append(task)
    return given_up


def confirm_crash(engine, task):
    """Return the tasks to give up as no later incarnation has the run of ``task``."""
    _incarnation, is_given_up = engine.suspects.unsettled.pop(task, (None, False))
    return [task] if is_given_up else []


def withdraw_unsettled(engine, task):
    """Discount a crash before the start of a run, or of one that was never started.

    Returns whether there was one.
    """
    incarnation, _is_given_up = engine.suspects.unsettled.pop(task, (None, False))
    if incarnation is None:
        return False
    crashed = task.job.crashes[task.name]
    crashed.remove(incarnation)
    if not crashed:
        engine.suspects.clear(task)
    engine.mark_changed(task.job)
    return True


def locate_run(engine, task):
    """Discount the crash of an incarnation if the one after it has a run of ``task``.

    If the task is still suspected, the crash of that one is presumed.
    """
    presumed = engine.suspects.presumed.get(task, task.endpoint.incarnation)
    if presumed != task.endpoint.incarnation:
        withdraw_presumed(engine, task)
    elif not withdraw_unsettled(engine, task):
        return
    if task in engine.suspects.tasks:
        presume_crash(engine, task)


def presume_crash(engine, task):
    """Count the crash of the endpoint of a suspect that is being started."""
    incarnation = task.endpoint.incarnation
    engine.suspects.presumed[task] = incarnation
    task.job.record_crash(task, incarnation)
    engine.mark_changed(task.job, urgent=True)


def withdraw_presumed(engine, task):
    """Discount the presumed crash under a task whose run is over without one."""
    incarnation = engine.suspects.presumed.pop(task, None)
    if incarnation is not None:
        task.job.crashes[task.name].remove(incarnation)
        engine.mark_changed(task.job)


def give_up(engine, tasks):
    """End the jobs of tasks under which too many endpoints have crashed."""
    for task in tasks:
        if task.job.ended:
            continue
        metrics.TASKS_GIVEN_UP.inc()
        engine.log.warning(
            "task.given_up",
            task=task.name,
            crashed=list(task.job.crashes[task.name]),
        )
        engine.end_job(task.job, JobState.FAILED, "endpoints-crashed")


def clear_sound(engine, endpoint, rows, sent_at):
    """Clear the tasks whose runs, reported in ``rows``, have lasted long enough."""
    for row in rows:
        task = endpoint.tasks.get(row.task)
        if task is None or task.run != row.run:
            continue
        if crashes.is_sound(sent_at - task.started_at):
            clear(engine, task)


def clear(engine, task):
    """Forget the crashes under a task, which has proved sound."""
    if task.name in task.job.crashes:
        engine.suspects.clear(task)
        engine.mark_changed(task.job)


class Isolation:
    """Endpoints for the suspects of one plan, and for all other tasks.

    ``places`` maps the suspects that may be started to their endpoints, ``others`` are
    the endpoints open to other tasks, ``kept`` the ones that are not.  ``room`` is the
    number of endpoints that may still be kept for suspects, by service.
    """

    __slots__ = ("places", "others", "kept", "room")

    def __init__(self, suspects, endpoints, now):
        self.places = {}
        self.others = list(endpoints)
        self.kept = set()
        if not suspects.tasks:
            return
        services = [endpoint.info.service for endpoint in endpoints]
        self.room = {
            service: crashes.max_isolated(services.count(service))
            for service in set(services)
        }
        for task in suspects.tasks:
            if task.endpoint in self.others:
                self.keep(task.endpoint)
        for task in suspects.tasks:
            if is_startable(task, now):
                self.find_place(task, now)

    def keep(self, endpoint):
        """Keep ``endpoint`` for suspects if another one may be."""
        if self.room[endpoint.info.service] > 0:
            self.room[endpoint.info.service] -= 1
            self.others.remove(endpoint)
            self.kept.add(endpoint)

    def find_place(self, task, now):
        """Find an endpoint for a suspect, or keep one that other runs are to leave."""
        hosts = [e for e in self.others if is_host(e, task, now)]
        usable = [e for e in hosts if dispatch.usable(e, task, now, probing=False)]
        empty = [e for e in usable if not e.tasks]
        is_overdue = now >= task.due_at + crashes.MAX_ISOLATION_WAIT_SECONDS
        places = empty or (usable if is_overdue else [])
        if not hosts:
            return
        endpoint = min(places or hosts, key=lambda e: crowding(e, task))
        if places:
            self.places[task] = endpoint
        self.keep(endpoint)


def is_startable(task, now):
    """Return whether a suspect is due and may be started once it has a place."""
    return (
        task.state is TaskState.WAITING
        and task.step_number in task.job.open_steps
        and task.not_before <= now
        and not task.job.awaits_crash_write(task)
    )


def is_host(endpoint, task, now):
    """Return whether ``endpoint`` can run ``task`` once all but replicas have ended.

    A crash of one that has not proved sound would say nothing of the task.
    """
    label = task.step.required_label
    return (
        endpoint.info.service == task.job.spec.service
        and task.may_run_at(endpoint, now)
        and (not label or label in endpoint.info.labels)
        and endpoint.has_proved_sound(now)
        and endpoint.fits_beside_replicas(task.step)
    )


def crowding(endpoint, task):
    """Return the sort key of an endpoint for a suspect: the fewest runs come first."""
    is_closed = endpoint.domain not in task.job.domains
    return (endpoint.replicas, len(endpoint.tasks), is_closed)
