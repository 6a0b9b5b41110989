"""Model endpoints."""

from clementinebay import errors
from clementinebay.endpoint.base import Report, TaskReport
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Vm
from tests.shard.limits import CAPACITY_MILLI, GRACE_SECONDS, MAX_VERSIONS, SKEW_SECONDS
from tests.shard.modelstore import SkewedClock


class Run:
    """An attempt running at a model endpoint."""

    def __init__(self, order, deadline):
        self.order = order
        self.deadline = deadline
        self.state = "running"
        self.progress = int(order.checkpoint or 0)
        self.version = 0


class ModelEndpoint:
    """Implements only what docs/policy/shard.md requires of a worker."""

    def __init__(self, world, name, offset):
        self.world = world
        self.name = name
        self.domain = name[0]
        self.clock = SkewedClock(world, offset)
        self.address = f"{name}:1"
        self.processors = CAPACITY_MILLI
        # A reduced capacity is enforced only once the shard has adapted to it.
        self.allowed_processors = CAPACITY_MILLI
        self.runs = {}
        self.refused_keys = set()
        self.version = 0
        self.version_step = 1.0
        self.boot_until = 0.0

    def vm(self):
        return Vm(
            self.name,
            "endpoint",
            self.address,
            self.domain,
            processors_milli=self.processors,
            memory_mb=10_000,
            leaving=self.name in self.world.leaving,
        )

    def report(self, key):
        run = self.runs.get(key)
        if run is None:
            return TaskReport(*key, "stopped")
        return TaskReport(*key, run.state, checkpoint=str(run.progress))

    def start(self, order):
        key = order.key[2:]
        now = self.clock.now()
        late = now > order.lease_deadline or order.lease_deadline < self.boot_until
        if key not in self.runs:
            if key in self.refused_keys or late:
                raise errors.EndpointRefusedError("late")
            self.world.check_start(self, order)
            self.runs[key] = Run(order, order.lease_deadline)
            self.bump_version(self.runs[key])
        return self.report(key)

    def stop(self, key):
        self.refused_keys.add(key)
        run = self.runs.get(key)
        if run is not None and run.state == "running":
            self.end_run(run, "stopped")
        return self.report(key)

    def renew(self, deadline, since):
        for key, run in list(self.runs.items()):
            if run.state == "running":
                run.deadline = max(run.deadline, deadline)
            elif run.version <= since <= self.version:
                # A later version stems from before a restart and acknowledges nothing.
                self.world.check_acknowledged(self, key)
                del self.runs[key]
                self.refused_keys.add(key)
        reports = [self.report(k) for k, r in self.runs.items() if r.version > since]
        return Report(self.version, reports)

    def expire(self):
        for run in self.runs.values():
            service = run.order.spec.workload == wire.Workload.SERVICE
            late = self.clock.now() > run.deadline
            if run.state == "running" and late and not service:
                self.end_run(run, "stopped")

    def restart(self):
        self.runs.clear()
        self.refused_keys.clear()
        # Keeps later versions below those used before the restart.
        self.version = 0
        self.version_step /= MAX_VERSIONS
        self.boot_until = self.clock.now() + GRACE_SECONDS + 2 * SKEW_SECONDS

    def bump_version(self, run):
        self.version += self.version_step
        run.version = self.version

    def end_run(self, run, state):
        run.state = state
        self.bump_version(run)

    def running(self):
        return [run for run in self.runs.values() if run.state == "running"]
