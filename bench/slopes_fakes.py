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

#: Processors (milli), memory (MB) and accelerators of every endpoint.
ENDPOINT_SIZE = (32_000, 125_000, 2)


class SocketBytes:
    """Bytes that this process has sent and received through sockets."""

    sent = 0
    received = 0


def count_socket_bytes():
    """Count the bytes of every socket of this process in `SocketBytes`."""
    for name in ("send", "recv", "recv_into"):
        setattr(socket.socket, name, counting_method(name))


def counting_method(name):
    """Return the socket method ``name``, wrapped to count its bytes."""
    original = getattr(socket.socket, name)

    def call(self, *arguments):
        result = original(self, *arguments)
        if name == "send":
            SocketBytes.sent += result
        else:
            SocketBytes.received += len(result) if name == "recv" else result
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
    """A service with the given attributes."""

    def __init__(self, **attributes):
        self.__dict__.update(attributes)


class FakeKernel:
    """A kernel that finds fake services by name."""

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
        """Return the names of all services."""
        return self.names

    def replicas(self, _name):
        """Return a list with the length of the number of replicas."""
        return [None] * 8


class FakeLog:
    """A log that is always up to date."""

    def __init__(self, clock):
        self.clock = clock

    @property
    def confirmed_at(self):
        """Return the current time, as the time of the last read."""
        return self.clock.now()


def fake_config(clock):
    """Return a config service with an empty document."""
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
    """Return a live-list entry of a VM that runs a daemon."""
    return Vm(name, "entry", address, domain)


def state_with(addresses, services=0, batch=0):
    """Return a `State` with endpoints and running tasks spread over them."""
    state = State()
    endpoints = []
    for number, address in enumerate(addresses):
        size = wire.Resources(*ENDPOINT_SIZE)
        endpoints.append(f"d-{number}")
        seen = wire.EndpointSeen(endpoints[-1], address, f"rack-{number % 12}", size)
        state.apply(wire.Record(endpoint_seen=seen))
    add_jobs(state, endpoints, "service", wire.Workload.SERVICE, services, 25)
    add_jobs(state, endpoints, "batch", wire.Workload.BATCH, batch, 40)
    return state


def random_time(rng):
    """Return a random time within one day, in seconds since the Unix epoch."""
    return 1764806400.0 + rng.random() * 86_400


def add_jobs(state, endpoints, prefix, workload, tasks, tasks_per_job):
    """Add jobs with ``tasks`` running tasks in total."""
    size = wire.Resources(1000, 2000, 0)
    rng = random.Random(1)
    for job in range(-(-tasks // tasks_per_job)):
        count = min(tasks_per_job, tasks - job * tasks_per_job)
        name = f"{prefix}-{job}@d"
        spec = wire.JobSpec(
            name, workload, "team-7", 0, prefix, 0, count, size, 90.0, origin=prefix
        )
        state.apply(wire.Record(submit=wire.Submit(spec)))
        for index in range(count):
            endpoint = endpoints[(job * tasks_per_job + index) % len(endpoints)]
            times = random_time(rng), random_time(rng)
            bind = wire.Bind(name, index, 1, endpoint, *times)
            state.apply(wire.Record(bind=bind))
            state.apply(wire.Record(started=wire.Started(name, index, 1)))
