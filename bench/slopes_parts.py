"""The measured parts of a daemon, each with its stand-ins, service and load."""

import asyncio
import contextlib
import json
import tempfile
import time

import httpx

from bench import slopes_fakes as fakes
from clementinebay.endpoint import open_driver
from standins.ports import free_ports, free_range
from standins.process import Process, wait_for

#: Services of a domain at the target size.
SERVICES = 60


class Part:
    """One role of a daemon, or one computation, run alone in a fresh process."""

    name = ""
    description = ""
    sizes = (1, 2, 4, 8)
    #: Whether `measure_cluster` measures a whole cluster, without a child process.
    measures_cluster = False
    #: Time between two calls of `drive`, in seconds.
    drive_interval_seconds = 0.2
    #: Time for connections and first messages before the measurement, in seconds.
    warm_up_seconds = 2.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the stand-ins that the part needs; yield arguments for the child."""
        yield {}

    def drive(self, size, arguments):
        """Apply load to the child from outside."""

    def run_child(self, size, seconds, arguments):
        """Measure in this process and print a row."""
        fakes.count_socket_bytes()
        asyncio.run(self.measure_rates(size, seconds, arguments))

    async def measure_rates(self, size, seconds, arguments):
        """Run the part and print its cost per second."""
        async with contextlib.AsyncExitStack() as stack:
            await self.start_service(stack, size, arguments)
            await asyncio.sleep(self.warm_up_seconds)
            before = self.read_counters()
            await asyncio.sleep(seconds)
            after = self.read_counters()
            start = before.pop("time")
            elapsed = after.pop("time") - start
            row = {key: (after[key] - before[key]) / elapsed for key in after}
            row["rss MB"] = fakes.resident_mb()
            print(json.dumps({"size": size, **row}))

    def read_counters(self):
        """Return the time and the counters whose growth is measured."""
        return {
            "time": time.monotonic(),
            "cpu ms/s": fakes.processor_seconds() * 1000,
            "sent bytes/s": fakes.SocketBytes.sent,
            "received bytes/s": fakes.SocketBytes.received,
            **self.part_counters(),
        }

    def part_counters(self):
        """Return further counters of this part."""
        return {}

    async def start_service(self, stack, size, arguments):
        """Start the measured service; ``stack`` stops it."""
        raise NotImplementedError


@contextlib.contextmanager
def process(name, *arguments):
    """Run a Python module until the context ends."""
    with tempfile.TemporaryDirectory(prefix="slopes-") as folder:
        child = Process(name, arguments, folder)
        try:
            yield child
        finally:
            child.stop()


def process_on_ports(name, module, first_port, count, *options):
    """Run a module that serves ``count`` ports from ``first_port``; see `process`."""
    ports = ["--port", str(first_port), "--count", str(count)]
    return process(name, module, *ports, *options)


@contextlib.contextmanager
def platform():
    """Run the stand-in for the platform; yield its URL."""
    port = free_ports(1)[0]
    url = f"http://127.0.0.1:{port}"
    with process("platform", "standins.platform", "--port", str(port)):
        wait_for("the platform", lambda: httpx.get(f"{url}/vms"))
        yield url


class Renewals(Part):
    """Renewals of task leases while nothing changes at the endpoints."""

    name = "renewals"
    description = "one daemon renews alone; size is endpoints"
    sizes = (16, 32, 64, 146)
    warm_up_seconds = 8.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the endpoints."""
        first_port = free_range(size)
        with process_on_ports(
            "endpoints", "standins.endpoint", first_port, size, "--name", "d"
        ):
            url = f"http://127.0.0.1:{first_port + size - 1}/control/runs"
            wait_for("the endpoints", lambda: httpx.get(url))
            yield {"first": first_port}

    async def start_service(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.renewals import Renewals as Service

        kernel = fakes.FakeKernel()
        first_port = arguments["first"]
        addresses = [
            f"127.0.0.1:{port}" for port in range(first_port, first_port + size)
        ]
        shard = fakes.FakeShard(kernel.clock, addresses)
        driver = open_driver("aiohttp", kernel.clock)
        stack.push_async_callback(driver.close)
        kernel.services.update(
            shard=shard,
            config=fakes.fake_config(kernel.clock),
            driver=fakes.Fake(driver=driver),
            dispatcher=fakes.Fake(process_reports=lambda *_a: True),
            platform=fakes.Fake(schedules=True),
            peers=fakes.Fake(
                handle=lambda *_a: None, domain_peers=lambda: (), leading=True
            ),
        )
        service = await stack.enter_async_context(Service(kernel))
        service.active = True


class Gossip(Part):
    """Gossip with peers of other domains; the peers are real services."""

    name = "gossip"
    description = "one daemon's peer link; size is peers"
    sizes = (4, 8, 16, 39)
    warm_up_seconds = 7.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the peers in one process."""
        first_port = free_range(size + 1)
        with process_on_ports("peers", "bench.slopes_peers", first_port, size):
            yield {"first": first_port}

    async def start_service(self, stack, size, arguments):
        """Start the service with all peers on its live list."""
        first_port = arguments["first"]
        ports = range(first_port + 1, first_port + 1 + size)
        vms = [fakes.entry_vm(f"p-{port}", f"127.0.0.1:{port}") for port in ports]
        await stack.enter_async_context(peers_service("d-0", "d", first_port, vms))


def peers_service(name, domain, port, vms):
    """Return a `Peers` service whose live list is ``vms``."""
    from clementinebay.services.peers import Peers

    kernel = fakes.FakeKernel(name, domain, port)
    kernel.services.update(
        livelist=fakes.Fake(daemons=lambda: vms, vms=vms, confirmed_at=1.0),
        config=fakes.fake_config(kernel.clock),
        shard=fakes.FakeShard(kernel.clock, services=SERVICES),
        tracing=fakes.fake_tracing(),
    )
    return Peers(kernel)


class PlatformPart(Part):
    """A part whose only stand-in is the platform."""

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the platform with the data that the part reads."""
        with platform() as url:
            self.fill_platform(url, size)
            yield {"url": url}

    def fill_platform(self, url, size):
        """Write the data that the part reads to the platform."""
        raise NotImplementedError


class LiveList(PlatformPart):
    """Reads of a live list that doesn't change."""

    name = "livelist"
    description = "the list is read and has not changed; size is VMs"
    sizes = (90, 180, 360, 770)

    def fill_platform(self, url, size):
        """Put ``size`` VMs on the live list."""
        put_vms(url, [endpoint_vm(number) for number in range(size)])

    async def start_service(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.livelist import LiveListWatcher

        kernel = fakes.FakeKernel(url=arguments["url"])
        await stack.enter_async_context(LiveListWatcher(kernel))


class LiveListChange(LiveList):
    """Reads of a live list that changes about once a second."""

    name = "livelist-change"
    description = "the list changes before every read; size is VMs"
    drive_interval_seconds = 0.3

    def drive(self, size, arguments):
        """Change one VM."""
        number = int(time.monotonic() * 10) % size
        vm = endpoint_vm(number)
        vm["leaving"] = bool(int(time.monotonic()) % 2)
        put_vms(arguments["url"], [vm])


def endpoint_vm(number):
    """Return the live-list entry of an endpoint."""
    return {
        "id": f"domain-{number % 5}-worker-{number}",
        "role": "endpoint",
        "address": f"10.20.{number // 250}.{number % 250}:7100",
        "failure_domain": f"domain-{number % 5}",
        "rack": f"domain-{number % 5}-rack-{number % 61}",
        "processors_milli": 32_000,
        "memory_mb": 125_000,
        "accelerators": 2,
        "leaving": False,
    }


def put_vms(url, vms):
    """Add or replace ``vms`` on the live list."""
    httpx.post(f"{url}/control/vms", json={"put": vms})


class Config(PlatformPart):
    """Polls of the config revision while the document doesn't change."""

    name = "config"
    description = "the revision is polled; size is sections"
    sizes = (50, 100, 200, 400)

    def fill_platform(self, url, size):
        """Apply a document with ``size`` sections."""
        sections = {f"service:name-{number}": section_text(0) for number in range(size)}
        asyncio.run(apply_sections(url, sections))

    async def start_service(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.configwatcher import ConfigWatcher
        from clementinebay.services.platform import Platform

        kernel = fakes.FakeKernel(url=arguments["url"])
        kernel.services["livelist"] = fakes.Fake(vms={}, domains=list, daemons=list)
        store = await stack.enter_async_context(Platform(kernel))
        kernel.services["platform"] = store
        self.watcher = await stack.enter_async_context(ConfigWatcher(kernel))
        self.watcher.peers_asked.set()

    def part_counters(self):
        """Return the revision of the document."""
        return {"revisions": self.watcher.document.revision}


class ConfigChange(Config):
    """Changes of one config section at a time."""

    name = "config-change"
    description = "one section changes about once a second; size is sections"
    drive_interval_seconds = 0.5

    def drive(self, size, arguments):
        """Change one section."""
        number = int(time.monotonic() * 1000)
        section = f"service:name-{number % size}"
        asyncio.run(apply_sections(arguments["url"], {section: section_text(number)}))


def section_text(number):
    """Return the text of a service section."""
    return f"deadline_seconds = 2.5\nhedge_percent = 4\nowner = team-{number}\n"


async def apply_sections(url, sections):
    """Apply ``sections`` to the config document."""
    from clementinebay.clock import SystemClock
    from clementinebay.configstore import ConfigStore
    from clementinebay.store.etcd import EtcdStore

    store = EtcdStore(url, 5.0)
    try:
        await ConfigStore(store, SystemClock()).apply(sections, 10**9, "bench")
    finally:
        await store.close()


PARTS = (
    Renewals(),
    Gossip(),
    LiveList(),
    LiveListChange(),
    Config(),
    ConfigChange(),
)
