"""A small kernel with fake services, and counters of processor time and bytes."""

import asyncio
import random
import resource
import socket

from clementinebay import config, settings
from clementinebay.clock import SystemClock
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.base import Vm
from clementinebay.tracing import Tracer

#: Processors, memory and accelerators of every endpoint.
ENDPOINT_SIZE = (32_000, 125_000, 2)


class Bytes:
    """Counts the bytes that this process moves through sockets."""

    sent = 0
    received = 0


def count_bytes():
    """Have every socket of this process counted."""
    for name in ("send", "recv", "recv_into"):
        setattr(socket.socket, name, counted(name))


def counted(name):
    """Return the socket's method ``name`` with a count of its bytes."""
    inner = getattr(socket.socket, name)

    def call(self, *arguments):
        result = inner(self, *arguments)
        if name == "send":
            Bytes.sent += result
        else:
            Bytes.received += len(result) if name == "recv" else result
        return result

    return call


def processor_seconds():
    """Return the processor time of this process, in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def resident_mb():
    """Return the resident memory of this process, in MB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


class Fake:
    """A service with the attributes that it is given."""

    def __init__(self, **attributes):
        self.__dict__.update(attributes)


class FakeKernel:
    """Finds fake services by name."""

    def __init__(self, name="d-0", domain="d", peer_port=1, url="http://127.0.0.1:1"):
        self.settings = settings.Settings(
            daemon_name=name,
            daemon_failure_domain=domain,
            front_port=1,
            peer_port=peer_port,
            platform_url=url,
            platform_live_list_url=f"{url}/vms",
        )
        self.clock = SystemClock()
        self.services = {}

    def find(self, name):
        """Return the service ``name``."""
        return self.services[name]


class FakeShard:
    """A shard with endpoints, running replicas of services and batch tasks."""

    def __init__(self, clock, endpoints=(), services=0):
        self.state = state_with(endpoints)
        self.names = [f"service-{number}" for number in range(services)]
        self.log = FakeLog(clock)

    def service_names(self):
        """Return the services that run."""
        return self.names

    def replicas(self, _name):
        """Return a list as long as there are replicas."""
        return [None] * 8


class FakeLog:
    """A log that was read just now."""

    def __init__(self, clock):
        self.clock = clock

    @property
    def confirmed_at(self):
        """Time of the last read."""
        return self.clock.now()


def fake_config(clock):
    """Return a config service that has an empty document."""
    document = config.Document(config.Head(1), {})
    return Fake(
        document=document,
        confirmed_at=clock.now() + 3600.0,
        peers_asked=asyncio.Event(),
    )


def fake_tracing():
    """Return a tracing service that samples nothing."""
    return Fake(tracer=Tracer("d-0", 0.0, 100))


def entry_vm(name, address, domain="e"):
    """Return an entry VM of the live list."""
    return Vm(name, "entry", address, domain)


def state_with(addresses, services=0, batch=0):
    """Return a `State` with endpoints and running tasks, spread over them."""
    state = State()
    names = []
    for number, address in enumerate(addresses):
        size = wire.Resources(*ENDPOINT_SIZE)
        names.append(f"d-{number}")
        seen = wire.EndpointSeen(names[-1], address, f"rack-{number % 12}", size)
        state.apply(wire.Record(endpoint_seen=seen))
    add_jobs(state, names, "service", wire.Workload.SERVICE, services, 25)
    add_jobs(state, names, "batch", wire.Workload.BATCH, batch, 40)
    return state


def moment(rng):
    """Return a time of some day, in seconds since the Unix epoch."""
    return 1764806400.0 + rng.random() * 86_400


def add_jobs(state, names, prefix, workload, tasks, tasks_a_job):
    """Add jobs with ``tasks`` running tasks in all."""
    size = wire.Resources(1000, 2000, 0)
    rng = random.Random(1)
    for job in range(-(-tasks // tasks_a_job)):
        count = min(tasks_a_job, tasks - job * tasks_a_job)
        name = f"{prefix}-{job}@d"
        spec = wire.JobSpec(
            name, workload, "team-7", 0, prefix, 0, count, size, 90.0, origin=prefix
        )
        state.apply(wire.Record(submit=wire.Submit(spec)))
        for index in range(count):
            where = names[(job * tasks_a_job + index) % len(names)]
            times = moment(rng), moment(rng)
            bind = wire.Bind(name, index, 1, where, *times)
            state.apply(wire.Record(bind=bind))
            state.apply(wire.Record(started=wire.Started(name, index, 1)))
