"""Moves replicas away from endpoints that leave, while these still run them.

Replicas of an endpoint that goes would be away until its leases have expired.  A
replica is stopped before only if there is room for it elsewhere now, and its next run
is started by a plan once the end of the stopped one is reported.
"""

import contextlib

from clementinebay import metrics
from clementinebay.policy import dispatch
from clementinebay.workflow import planning, suspects
from clementinebay.workflow.job import TaskState

#: Reason given with the stops of moved replicas.
REASON = "leaving"
#: Greatest number of replicas that one plan stops.
MAX_STOPS = 100
#: States of replicas at an endpoint that leaves whose next run needs another one.
STOPPING = frozenset((TaskState.STOPPING, TaskState.UNCONFIRMED))
#: States of tasks that are not away.
PRESENT = frozenset((TaskState.RUNNING, TaskState.DONE))


@contextlib.contextmanager
def hold_room(engine, now, limit=None):
    """Stop the replicas that are to move now; hold the room of all that move.

    A plan made within the context leaves that room to them.  At most ``limit`` replicas
    are stopped.
    """
    limit = MAX_STOPS if limit is None else min(limit, MAX_STOPS)
    sources = leaving_endpoints(engine) if limit > 0 else ()
    movable = movable_replicas(engine, sources)
    # Without movable replicas or jobs to start, nothing could take the room.
    if not movable and not (sources and planning.startable_jobs(engine, now)):
        yield
        return
    moves = Moves(engine, now)
    try:
        awaited = waiting_replicas(engine)
        moves.hold_for(awaited)
        moves.hold_for(stopping_replicas(sources))
        for task in movable:
            if moves.stopped < limit:
                moves.move(task)
        # The plan places them itself, or leaves their room to other tasks.
        moves.release(awaited)
        yield
    finally:
        moves.release(list(moves.places))


def leaving_endpoints(engine):
    """Return the endpoints with replicas that have announced that they leave."""
    return [
        endpoint
        for endpoint in engine.endpoints.values()
        if endpoint.info.leaving
        and endpoint.replicas
        and endpoint.listed
        and not endpoint.has_ended
        # An incarnation known by its report alone has announced nothing.
        and endpoint.info.has_known_capacity
    ]


def waiting_replicas(engine):
    """Return the replicas that wait for a run."""
    return [
        task
        for job in engine.active.values()
        if job.replica
        for waiting in job.waiting
        for task in waiting
        if task.step.replica and task not in engine.suspects.tasks
    ]


def stopping_replicas(sources):
    """Return the replicas whose runs at endpoints that leave are being stopped."""
    return [
        task
        for endpoint in sources
        for task in endpoint.replica_tasks()
        if task.state in STOPPING and not task.job.ended
    ]


def movable_replicas(engine, sources):
    """Return the replicas that may be moved away from ``sources``.

    The next run of others could not be started, or their stop would not arrive.
    """
    inherited = engine.inherited_endpoints
    return [
        task
        for endpoint in sources
        if endpoint.unreachable_since is None
        for task in endpoint.replica_tasks()
        if task.state is TaskState.RUNNING
        and task.job.id in engine.active
        and task not in engine.suspects.tasks
        and task.job.discovered_at <= engine.exclusive_until
        and inherited.all_reported(task.job)
    ]


class Moves:
    """The moves decided in one plan, and the room held for them.

    ``places`` maps the replicas for which room is held to its endpoint.  ``away`` has
    the number of tasks that do not run, by job and step, and ``placed`` of those among
    them that will run as soon as their last run has ended.  ``stopped`` is the number
    of replicas stopped in this plan.
    """

    __slots__ = ("engine", "now", "search", "places", "away", "placed", "stopped")

    def __init__(self, engine, now):
        self.engine = engine
        self.now = now
        endpoints = planning.available_endpoints(engine, now)
        isolation = suspects.Isolation(engine.suspects, endpoints, now)
        probing = planning.probes_endpoints(endpoints)
        self.search = planning.Search(isolation.others, probing)
        self.places = {}
        self.away = {}
        self.placed = {}
        self.stopped = 0

    def hold(self, task, endpoint):
        """Hold the room of ``task`` at ``endpoint``."""
        endpoint.add(task)
        self.places[task] = endpoint

    def release(self, tasks):
        """Release the room that is held for any of ``tasks``."""
        for task in tasks:
            endpoint = self.places.pop(task, None)
            if endpoint is not None:
                endpoint.remove(task)

    def hold_for(self, tasks):
        """Hold room for each of ``tasks`` that fits anywhere, also in other domains."""
        groups = {}
        for task in tasks:
            pin = task.pinned_endpoint if self.now < task.pinned_until else None
            groups.setdefault((task.job, task.step_number, pin), []).append(task)
        for group in groups.values():
            if not self.search.has_failed(group[0].job, group[0].step, self.now):
                self.hold_for_group(group)

    def hold_for_group(self, tasks):
        """Hold room for ``tasks`` of one step that may run at the same endpoints."""
        ranking = dispatch.Ranking(*self.arguments(tasks[0]))
        for task in tasks:
            endpoint, _score = ranking.best(ranking.open)
            if endpoint is None:
                endpoint, _score = ranking.best(ranking.elsewhere)
            if endpoint is None:
                self.search.record_failure(task, self.now)
                return
            self.hold(task, endpoint)
            ranking.rescore(endpoint)

    def arguments(self, task):
        """Return the arguments of `dispatch.choose` and `dispatch.Ranking`."""
        return self.search.arguments(task, self.engine.pressure, self.now)

    def move(self, task):
        """Stop the run of ``task`` if its next run can be started elsewhere now."""
        if self.spare_absences(task) <= 0:
            return
        endpoint = self.find_endpoint(task)
        if endpoint is None:
            return
        self.hold(task, endpoint)
        self.away[task.job, task.step_number] += 1
        self.placed[task.job, task.step_number] += 1
        self.stopped += 1
        metrics.REPLICAS_MOVED.inc()
        self.engine.log.info(
            "task.moved",
            task=task.name,
            run=task.run,
            endpoint=task.endpoint.id,
            to=endpoint.id,
            reason=REASON,
        )
        self.engine.request_stop(task, REASON)

    def spare_absences(self, task):
        """Return how many more tasks of the step of ``task`` may be away.

        One may always move, also beside tasks that find no place: the endpoint's end
        would take all of them away.
        """
        key = (task.job, task.step_number)
        if key not in self.away:
            away = [
                other
                for other in task.job.tasks.values()
                if other.step_number == task.step_number and other.state not in PRESENT
            ]
            self.away[key] = len(away)
            self.placed[key] = sum(self.will_run(other) for other in away)
        return max(1 - self.placed[key], task.step.max_unavailable - self.away[key])

    def will_run(self, task):
        """Return whether a task that is away has a place and a run that is ending."""
        if task.state is TaskState.WAITING:
            return task in self.places
        # A start without an answer, or a stop at a silent endpoint, may take long.
        is_slow = task.state is TaskState.UNCONFIRMED
        return not is_slow and task.endpoint.unreachable_since is None

    def find_endpoint(self, task):
        """Return an endpoint in an open domain for ``task``, or ``None``."""
        if self.search.has_failed(task.job, task.step, self.now):
            return None
        choice = dispatch.choose(*self.arguments(task))
        if choice is None:
            self.search.record_failure(task, self.now)
            return None
        return planning.open_endpoint(self.engine, task.job, choice, self.now)
