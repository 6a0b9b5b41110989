"""Daemons that run the real `Scheduler` on an in-memory store, in virtual time.

Disturbances may overlap: links cut, calls of the store lost, schedulers killed,
endpoints unlisted, resized, restarted or replaced by other incarnations at their
addresses.  The monitor checks runs at the endpoints themselves: no task runs twice,
none is started without room, and none waits without cause once the disturbances are
over.  Late orders to a restarted endpoint are left to `tests.workflow.model`.
"""

import asyncio
import collections
import contextlib
import contextvars
import json
import random
from types import SimpleNamespace

import msgspec

from clementinebay import errors
from clementinebay.store.base import Put
from clementinebay.store.keyspace import KeySpace
from clementinebay.workflow import jobstore
from clementinebay.workflow.job import JobState
from clementinebay.workflow.model import QueueTable
from tests.workflow import factory
from tests.workflow.beddaemon import (
    CALL_SECONDS,
    POLL_SECONDS,
    PREFIX,
    BedBoundary,
    Daemon,
    DelayedCalls,
)
from tests.workflow.model import CAPACITY, MAX_DELAY_SECONDS, ModelEndpoint
from tests.workflow.virtualtime import LoopClock

#: Time in which the scheduler learns of a change in the registry: an interval between
#: polls, a round trip, and a start order that was sent before, in seconds.
REGISTRY_SECONDS = POLL_SECONDS + 4 * CALL_SECONDS
#: Longest time for which a job may wait without cause, and the time without a
#: disturbance before it, in seconds.
MAX_STARVED_SECONDS = 3.0
CALM_SECONDS = 4.0
#: Time for which a replica may be away after its last run, in seconds.
REPLICA_AWAY_SECONDS = 6.0
#: Time after which the entry of a silent endpoint is removed, in seconds.
ENTRY_SECONDS = 4.5
#: Time from the start of a deadly task to the crash of its endpoint, and from there
#: until another incarnation answers, in seconds.
DEADLY_SECONDS = 0.02
REPLACEMENT_SECONDS = 3.2


class TestBed:
    """Endpoints, a store and daemons; use it with ``async with``.

    ``cuts`` maps the ids of endpoints whose links are cut to "refused", "silent" or
    "reset", and ``delayed`` those of others to their `DelayedCalls`.  ``occupants`` has
    the newest incarnation at each address.  ``done`` has the names of the tasks that
    ended done, ``acknowledged_tasks`` of those whose end was acknowledged, ``starts``
    counts the starts of each task.  ``last_run_at`` has the last time of each replica,
    and ``failures`` what ended a term unexpectedly.  ``absences`` has, for each replica
    that ran again, the seconds for which it was away and for which it might have stayed
    away longer.  ``shrunk_at`` has the time of the last shrinking of an endpoint and
    its capacity before, by id.
    ``deadly`` maps the names of tasks that crash their endpoints to the names of the
    runs lost beside each run.  ``leaving`` has the ids of the endpoints that have
    announced that they leave.  A term begins ``election_seconds`` after the end of the
    one before.
    """

    __test__ = False
    #: Longest duration of a run that is no replica's, in seconds.
    max_run_seconds = 3.0

    def __init__(
        self,
        seed=0,
        endpoints=4,
        daemons=1,
        max_lease=factory.MAX_LEASE,
        election_seconds=0.0,
    ):
        random.seed(seed)
        self.random = random.Random(seed)
        self.clock = LoopClock()
        self.now = self.clock.now
        self.space = KeySpace(self.clock)
        self.cuts = {}
        self.delayed = {}
        self.done = set()
        self.acknowledged_tasks = set()
        self.starts = collections.Counter()
        self.failures = []
        self.specs = {}
        self.starved_since = {}
        self.last_run_at = {}
        self.shrunk_at = {}
        self.absences = []
        self.deadly = {}
        self.leaving = set()
        self.election_seconds = election_seconds
        self.replacements = set()
        self.active_disturbances = 0
        self.calm_since = 0.0
        self.endpoints = [
            ModelEndpoint(f"e{number}", "ab"[number % 2], self, max_lease)
            for number in range(endpoints)
        ]
        self.by_id = {model.id: model for model in self.endpoints}
        self.occupants = {}
        for number, model in enumerate(self.endpoints):
            self.occupy(model, f"10.0.0.1:{number}")
            self.list(model)
        self.queues = SimpleNamespace(
            out=frozenset(),
            listener=None,
            table=QueueTable(1, [factory.QUEUE], 1000, 1000),
        )
        self.deployment = SimpleNamespace(
            processors=1.0,
            boundary=BedBoundary(self),
            max_lease_seconds=max_lease,
            lease_seconds=5.0,
            status_seconds=1e12,
        )
        self.daemon_count = daemons
        self.max_lease = max_lease

    async def __aenter__(self):
        self.daemons = [Daemon(self, f"d{n}") for n in range(self.daemon_count)]
        self.monitor = asyncio.create_task(self.run_monitor())
        return self

    async def __aexit__(self, *exc_info):
        tasks = [
            self.monitor,
            *self.replacements,
            *(daemon.process for daemon in self.daemons),
        ]
        for daemon in self.daemons:
            asyncio.get_running_loop().thaw(daemon)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    async def run(self, seconds):
        """Let the bed work for ``seconds``; raise what the monitor found."""
        await asyncio.wait([self.monitor], timeout=seconds)
        if self.monitor.done():
            self.monitor.result()
        assert not self.failures, self.failures

    @property
    def scheduler(self):
        """The scheduler of the newest term, or ``None``."""
        schedulers = [d.scheduler for d in self.daemons if d.scheduler is not None]
        return max(schedulers, key=lambda s: s.writer.number, default=None)

    def scheduling_daemons(self):
        """Return the daemons in a term that are not frozen, the newest term first."""
        frozen = asyncio.get_running_loop().frozen
        daemons = [
            daemon
            for daemon in self.daemons
            if daemon.scheduler is not None and daemon not in frozen
        ]
        return sorted(daemons, key=lambda d: -d.scheduler.writer.number)

    # Registry, jobs and orders

    def occupy(self, model, address):
        """Make ``model`` the incarnation that answers at ``address``."""
        model.address = address
        model.down_as = "refused"
        self.occupants[address] = model

    def list(self, model):
        """Write the registry entry of an endpoint."""
        fields = {
            "born_ms": model.born,
            "address": model.address,
            "failure_domain": model.domain,
            "processors_milli": model.capacity,
            "leaving": model.id in self.leaving,
        }
        value = json.dumps(fields).encode()
        self.space.commit((), [Put(PREFIX + model.id, value)])

    def unlist(self, model):
        """Remove the registry entry of an endpoint."""
        key = PREFIX + model.id
        self.space.commit((), (), [(key, key + "\0")])

    def submit(self, domain="a", steps=None):
        """Submit a job; return the name of its first task."""
        job_id = f"{self.random.getrandbits(64):016x}"
        spec = factory.make_spec(job_id, steps, domain, attempts=50)
        self.specs[job_id] = spec
        value = msgspec.json.encode(spec)
        self.space.commit((), [Put(jobstore.JOBS + job_id, value)])
        return f"{job_id}.0.0.0"

    def cancel(self, job_id):
        """Mark a job as cancelled by its client."""
        self.space.commit((), [Put(jobstore.JOBS + job_id + jobstore.CANCEL, b"{}")])

    def pending_counts(self):
        """Return the stored numbers of pending jobs, by queue."""
        entry = self.space.get(jobstore.PENDING)
        return {} if entry is None else json.loads(entry.value)

    def execute_late(self, model, action, args):
        """Execute an order at once, late or never, as if its answer were lost."""
        delay = self.random.choice((None, 0.0, self.random.uniform(1, 12)))
        if delay is None:
            return
        born = model.born
        delay = min(delay, MAX_DELAY_SECONDS)

        def execute():
            if model.born != born or args[-1] < model.fence:
                return
            try:
                action(self.now(), *args)
            except errors.CallUnansweredError:
                pass
            except AssertionError as failure:
                self.failures.append(failure)

        # The order is in transit, so it arrives though its sender may be frozen.
        in_transit = contextvars.Context()
        asyncio.get_running_loop().call_later(delay, execute, context=in_transit)

    def running_at(self, task):
        """Return the endpoint at which a task runs, or ``None``."""
        for model in self.endpoints:
            if model.up and task in model.runs:
                return model
        return None

    # Disturbances

    @contextlib.asynccontextmanager
    async def disturbance(self, seconds):
        """Count a disturbance as active; it lasts ``seconds`` after the body."""
        self.active_disturbances += 1
        yield
        await asyncio.sleep(seconds)
        self.active_disturbances -= 1
        self.calm_since = self.now()

    async def cut(self, models, how, seconds):
        """Cut the links to endpoints for a time."""
        async with self.disturbance(seconds):
            self.cuts.update((model.id, how) for model in models)
        for model in models:
            self.cuts.pop(model.id, None)

    async def disturb_store(self, daemon, fault, seconds):
        """Let a daemon's access to the store fail for a time."""
        async with self.disturbance(seconds):
            setattr(daemon.store, fault, True)
        setattr(daemon.store, fault, False)

    async def disturb_stores(self, fault, seconds):
        """Let the access of all daemons to the store fail for a time."""
        await asyncio.gather(
            *(self.disturb_store(daemon, fault, seconds) for daemon in self.daemons)
        )

    async def isolate(self, model, seconds):
        """Cut an endpoint from the schedulers and from the registry for a time."""
        cutting = asyncio.create_task(self.cut([model], "silent", seconds))
        await asyncio.wait([cutting], timeout=ENTRY_SECONDS)
        if not cutting.done():
            self.unlist(model)
            await cutting
            self.list(model)

    async def unlist_for(self, models, seconds):
        """Remove registry entries for a time, as when the store has been away."""
        async with self.disturbance(seconds):
            for model in models:
                self.unlist(model)
        for model in models:
            if model.up:
                self.list(model)

    async def spoil_entry(self, model, seconds):
        """Let another writer replace the registry entry of an endpoint for a time."""
        async with self.disturbance(seconds):
            self.space.commit((), [Put(PREFIX + model.id, b"{}")])
        self.list(model)

    async def resize(self, model, share, seconds):
        """Reduce the capacity of an endpoint to a share of it for a time."""
        async with self.disturbance(seconds):
            self.set_capacity(model, int(CAPACITY * share))
        self.set_capacity(model, CAPACITY)

    def set_capacity(self, model, capacity):
        """Change the capacity of an endpoint and write it to the registry."""
        if capacity < model.capacity:
            self.shrunk_at[model.id] = (self.now(), model.capacity)
        model.capacity = capacity
        self.list(model)

    async def restart(self, model, seconds, how="refused"):
        """Crash an endpoint and start it again under its id after a time."""
        unlisting = asyncio.create_task(self.unlist_after(model, ENTRY_SECONDS))
        async with self.disturbance(seconds):
            self.crash(model, how)
        model.up = True
        model.restart(self.now())
        self.list(model)
        await unlisting

    def restart_unlisted(self, model):
        """Restart an endpoint that cannot reach the registry, whose entry stays."""
        model.runs = {}
        model.restart(self.now())
        delayed = self.delayed.pop(model.id, None)
        if delayed is not None:
            delayed.execute(self.now())

    def delay_calls(self, model, kind):
        """Let the next incarnation of an endpoint take the calls of one kind.

        That is the one begun by `restart_unlisted`.  Returns the `DelayedCalls`.
        """
        self.delayed[model.id] = DelayedCalls(kind)
        return self.delayed[model.id]

    def move(self, model, address):
        """Restart an endpoint at another address; its old one gets another endpoint."""
        other = ModelEndpoint(
            f"{model.id}+", model.domain, self, model.max_lease_seconds
        )
        other.restart(self.now())
        self.endpoints.append(other)
        self.by_id[other.id] = other
        self.occupy(other, model.address)
        self.restart_unlisted(model)
        self.occupy(model, address)
        self.list(model)

    def crash(self, model, how="refused"):
        """Crash an endpoint; calls of it are "refused", or "silent" time out."""
        model.up = False
        model.runs = {}
        model.down_as = how

    async def replace(self, model, seconds, how="refused"):
        """Crash an endpoint; another incarnation takes its address after a time."""
        unlisting = asyncio.create_task(self.unlist_after(model, ENTRY_SECONDS))
        async with self.disturbance(seconds):
            self.crash(model, how)
        successor = ModelEndpoint(
            f"{model.id}+", model.domain, self, model.max_lease_seconds
        )
        successor.restart(self.now())
        self.endpoints[self.endpoints.index(model)] = successor
        self.by_id[successor.id] = successor
        self.occupy(successor, model.address)
        self.list(successor)
        await unlisting

    async def lose(self, model, how="refused"):
        """Crash an endpoint for good."""
        async with self.disturbance(0.0):
            self.crash(model, how)
            self.endpoints.remove(model)
        await self.unlist_after(model, ENTRY_SECONDS)

    async def leave(self, model, notice, how="silent"):
        """Let an endpoint announce that it leaves, and go ``notice`` seconds later."""
        async with self.disturbance(0.0):
            self.leaving.add(model.id)
            self.list(model)
        await asyncio.sleep(notice)
        self.crash(model, how)
        self.endpoints.remove(model)
        self.unlist(model)

    def add_endpoint(self):
        """Start an endpoint at an address of its own."""
        number = len(self.occupants)
        model = ModelEndpoint(f"e{number}", "ab"[number % 2], self, self.max_lease)
        model.restart(self.now())
        self.endpoints.append(model)
        self.by_id[model.id] = model
        self.occupy(model, f"10.0.0.1:{number}")
        self.list(model)

    async def unlist_after(self, model, seconds):
        """Remove the registry entry of a crashed incarnation after a time."""
        born = model.born
        await asyncio.sleep(seconds)
        if not model.up and model.born == born:
            self.unlist(model)

    def fail_replica(self, addresses, outcome="failed"):
        """Let a random replica at ``addresses`` end; that is no disturbance."""
        runs = [
            (model, name)
            for model in self.endpoints
            for name, run in model.runs.items()
            if model.up and model.address in addresses and run[1].replica
        ]
        if runs:
            model, name = self.random.choice(runs)
            model.end(name, outcome)

    async def kill_scheduler(self):
        """Kill the daemon that schedules."""
        async with self.disturbance(0.0):
            for daemon in self.scheduling_daemons():
                await daemon.kill()

    async def stop_scheduler(self):
        """Tell the daemon that schedules to stop; it starts again later."""
        async with self.disturbance(0.0):
            for daemon in self.scheduling_daemons():
                await daemon.stop()

    async def freeze_scheduler(self, seconds):
        """Freeze the daemon that schedules; it goes on with what it believed."""
        for daemon in self.scheduling_daemons()[:1]:
            loop = asyncio.get_running_loop()
            async with self.disturbance(seconds):
                loop.freeze(daemon)
            loop.thaw(daemon)

    async def kill_daemons(self, seconds):
        """Kill all daemons and start them again after a time."""
        async with self.disturbance(seconds):
            for daemon in self.daemons:
                daemon.process.cancel()
                await asyncio.wait([daemon.process])
                daemon.scheduler = None
        for daemon in self.daemons:
            if daemon.process.done():
                daemon.begin()

    # Monitor

    async def run_monitor(self):
        """Let the endpoints work, and check the rules at short intervals."""
        while True:
            for model in self.endpoints:
                if model.up:
                    model.work(self.now())
                    self.done |= {
                        end.task
                        for end in model.ended
                        if end.outcome == "done" and not self.step_of(end.task).replica
                    }
            self.record_replicas()
            self.check_capacity()
            self.check_starved()
            await asyncio.sleep(POLL_SECONDS)

    def check_start(self, task, endpoint, now):
        """Assert that a task that starts runs nowhere else and was not done."""
        for other in self.endpoints:
            if other is not endpoint and other.up:
                assert task not in other.runs, (task, endpoint.id, other.id, now)
        assert task not in self.acknowledged_tasks, (task, endpoint.id, now)
        self.check_room(endpoint, now)
        if self.step_of(task).replica:
            self.record_absence(task, now)
            self.last_run_at[task] = now
        if task in self.deadly:
            replacement = asyncio.create_task(self.crash_under(task, endpoint))
            self.replacements.add(replacement)

    async def crash_under(self, task, model):
        """Replace the endpoint at which a deadly task has started."""
        await asyncio.sleep(DEADLY_SECONDS)
        if model.up:
            self.deadly[task].append(model.runs.keys() - {task})
            await self.replace(model, REPLACEMENT_SECONDS)

    def job_state(self, job_id):
        """Return the stored state of a job, or ``None``."""
        entry = self.space.get(jobstore.PROGRESS + job_id)
        return entry and msgspec.json.decode(entry.value).get("state")

    def is_given_up(self, job_id):
        """Return whether a job has a deadly task and is stored as failed."""
        is_deadly = any(task.startswith(job_id) for task in self.deadly)
        return is_deadly and self.job_state(job_id) == JobState.FAILED

    def check_room(self, endpoint, now):
        """Assert that a start leaves an endpoint within the capacity that it shows."""
        shrunk_at, limit = self.shrunk_at.get(endpoint.id, (0.0, CAPACITY))
        if now > shrunk_at + REGISTRY_SECONDS:
            limit = endpoint.capacity
        assert self.used(endpoint) <= limit, (endpoint.id, self.used(endpoint), now)

    def used(self, model):
        """Return the processors used at an endpoint."""
        return sum(run[1].processors_milli for run in model.runs.values())

    def check_capacity(self):
        """Assert that no endpoint exceeds its capacity."""
        for model in self.endpoints:
            assert self.used(model) <= CAPACITY, (model.id, self.now())

    def check_starved(self):
        """Assert that no job waits for too long while there is room."""
        calm_until = self.calm_since + CALM_SECONDS
        if self.active_disturbances or self.now() < calm_until:
            self.starved_since.clear()
            return
        starved = {job_id for job_id, spec in self.specs.items() if self.starves(spec)}
        starved |= self.absent_replicas()
        for name in starved:
            since = self.starved_since.setdefault(name, self.now())
            waited = self.now() - since
            assert waited < MAX_STARVED_SECONDS, (name, self.now(), self.explain())
        for name in set(self.starved_since) - starved:
            del self.starved_since[name]

    def record_replicas(self):
        """Record which replicas run."""
        for model in self.endpoints:
            for name, run in model.runs.items():
                if model.up and run[1].replica:
                    self.last_run_at[name] = self.now()

    def record_absence(self, task, now):
        """Record for how long a replica that starts again was away, and was allowed."""
        last_run_at = self.last_run_at.get(task)
        if last_run_at is None:
            return
        allowed_until = float("inf")
        if not self.active_disturbances:
            calm_from = max(
                last_run_at + REPLICA_AWAY_SECONDS, self.calm_since + CALM_SECONDS
            )
            allowed_until = calm_from + MAX_STARVED_SECONDS
        self.absences.append((now - last_run_at, allowed_until - now))

    def absent_replicas(self):
        """Return the replicas that are away for too long though there is room."""
        limit = self.now() - REPLICA_AWAY_SECONDS
        return {
            name
            for name, last_run_at in self.last_run_at.items()
            if last_run_at < limit
            and not self.is_given_up(name.partition(".")[0])
            and self.places(self.step_of(name)) >= 2
        }

    def step_of(self, name):
        """Return the step of a task."""
        job_id, _occurrence, step, _index = name.split(".")
        return self.specs[job_id].steps[int(step)]

    def places(self, step):
        """Return how many tasks of ``step`` fit into the free capacity."""
        return sum(
            max(0, model.capacity - self.used(model)) // step.processors_milli
            for model in self.endpoints
            if model.up
        )

    def starves(self, spec):
        """Return whether a job runs nothing, though a task is due and has room."""
        names = [
            [f"{spec.id}.0.{number}.{index}" for index in range(step.count)]
            for number, step in enumerate(spec.steps)
        ]
        if self.is_given_up(spec.id):
            return False
        if any(self.running_at(name) for step_names in names for name in step_names):
            return False
        return any(
            not self.done.issuperset(names[number])
            and all(self.done.issuperset(names[before]) for before in step.after)
            and self.has_room_twice(step)
            for number, step in enumerate(spec.steps)
        )

    def has_room_twice(self, step):
        """Return whether two tasks of ``step`` fit and under half is in use."""
        models = [model for model in self.endpoints if model.up]
        in_use = sum(self.used(model) for model in models)
        capacity = sum(model.capacity for model in models)
        return self.places(step) >= 2 and 2 * in_use < capacity

    def explain(self):
        """Return the scheduler's view of the tasks that wait, for a failed check."""
        if self.scheduler is None:
            return "no scheduler"
        engine = self.scheduler.engine
        return {
            task.name: (task.state.value, task.endpoint and task.endpoint.id)
            for job in engine.active.values()
            for task in job.tasks.values()
            if task.state.value != "done" and not self.running_at(task.name)
        }
