"""The parts whose slopes are measured: stand-ins, the work of the child, the load."""

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
    """One role or piece of work, run alone in a fresh process."""

    name = ""
    what = ""
    sizes = (1, 2, 4, 8)
    #: Whether a point is measured by ``point`` of the part instead of a child.
    whole = False
    #: Time between two calls of `drive`, in seconds.
    drive_seconds = 0.2
    #: Time for connections and first messages before a window, in seconds.
    warm_up_seconds = 2.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run what the part talks to; yield arguments for the child."""
        yield {}

    def drive(self, size, arguments):
        """Put load on the child from outside."""

    def run_child(self, size, seconds, arguments):
        """Measure in this process and print a row."""
        fakes.count_bytes()
        asyncio.run(self.window(size, seconds, arguments))

    async def window(self, size, seconds, arguments):
        """Run the part and print what one second of it costs."""
        async with contextlib.AsyncExitStack() as stack:
            await self.open(stack, size, arguments)
            await asyncio.sleep(self.warm_up_seconds)
            before = self.reading()
            await asyncio.sleep(seconds)
            after = self.reading()
            start = before.pop("time")
            elapsed = after.pop("time") - start
            row = {key: (after[key] - before[key]) / elapsed for key in after}
            row["rss MB"] = fakes.resident_mb()
            print(json.dumps({"size": size, **row}))

    def reading(self):
        """Return counters whose growth is measured."""
        return {
            "time": time.monotonic(),
            "cpu ms/s": fakes.processor_seconds() * 1000,
            "sent bytes/s": fakes.Bytes.sent,
            "received bytes/s": fakes.Bytes.received,
            **self.counters(),
        }

    def counters(self):
        """Return counters of the part's own."""
        return {}

    async def open(self, stack, size, arguments):
        """Start what is measured; it ends with ``stack``."""
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


def on_ports(name, module, first, count, *options):
    """Run a module that serves at ``count`` ports from ``first``; see `process`."""
    ports = ["--port", str(first), "--count", str(count)]
    return process(name, module, *ports, *options)


@contextlib.contextmanager
def platform():
    """Run the platform's stand-in; yield its URL."""
    port = free_ports(1)[0]
    url = f"http://127.0.0.1:{port}"
    with process("platform", "standins.platform", "--port", str(port)):
        wait_for("the platform", lambda: httpx.get(f"{url}/vms"))
        yield url


class Renewals(Part):
    """Renewals of task leases; nothing changes at the endpoints."""

    name = "renewals"
    what = "one daemon renews alone; size is endpoints"
    sizes = (16, 32, 64, 146)
    warm_up_seconds = 8.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the endpoints."""
        first = free_range(size)
        with on_ports("endpoints", "standins.endpoint", first, size, "--name", "d"):
            url = f"http://127.0.0.1:{first + size - 1}/control/runs"
            wait_for("the endpoints", lambda: httpx.get(url))
            yield {"first": first}

    async def open(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.renewals import Renewals as Service

        kernel = fakes.FakeKernel()
        first = arguments["first"]
        addresses = [f"127.0.0.1:{port}" for port in range(first, first + size)]
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
    """Gossip with peers that are real services of other domains."""

    name = "gossip"
    what = "one daemon's peer link; size is peers"
    sizes = (4, 8, 16, 39)
    warm_up_seconds = 7.0

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the peers in one process."""
        first = free_range(size + 1)
        with on_ports("peers", "bench.slopes_peers", first, size):
            yield {"first": first}

    async def open(self, stack, size, arguments):
        """Start the service with all peers on its live list."""
        first = arguments["first"]
        ports = range(first + 1, first + 1 + size)
        vms = [fakes.entry_vm(f"p-{port}", f"127.0.0.1:{port}") for port in ports]
        await stack.enter_async_context(peers_service("d-0", "d", first, vms))


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


class OnPlatform(Part):
    """A part whose only stand-in is the platform."""

    @contextlib.contextmanager
    def stand_ins(self, size):
        """Run the platform with what the part reads."""
        with platform() as url:
            self.fill(url, size)
            yield {"url": url}

    def fill(self, url, size):
        """Put what the part reads into the platform."""
        raise NotImplementedError


class LiveList(OnPlatform):
    """Reads of the live list that has not changed."""

    name = "livelist"
    what = "the list is read and has not changed; size is VMs"
    sizes = (90, 180, 360, 770)

    def fill(self, url, size):
        """List the VMs."""
        change_list(url, [endpoint_vm(number) for number in range(size)])

    async def open(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.livelist import LiveListWatcher

        kernel = fakes.FakeKernel(url=arguments["url"])
        await stack.enter_async_context(LiveListWatcher(kernel))


class LiveListChange(LiveList):
    """Reads of a live list that changes about once a second."""

    name = "livelist-change"
    what = "the list changes before every read; size is VMs"
    drive_seconds = 0.3

    def drive(self, size, arguments):
        """Change one VM."""
        number = int(time.monotonic() * 10) % size
        vm = endpoint_vm(number)
        vm["leaving"] = bool(int(time.monotonic()) % 2)
        change_list(arguments["url"], [vm])


def endpoint_vm(number):
    """Return an endpoint's entry of the live list."""
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


def change_list(url, vms):
    """Put ``vms`` on the live list."""
    httpx.post(f"{url}/control/vms", json={"put": vms})


class Config(OnPlatform):
    """The poll of the revision while the document stays as it is."""

    name = "config"
    what = "the revision is polled; size is sections"
    sizes = (50, 100, 200, 400)

    def fill(self, url, size):
        """Apply a document of ``size`` sections."""
        sections = {f"service:name-{number}": text(0) for number in range(size)}
        asyncio.run(apply(url, sections))

    async def open(self, stack, size, arguments):
        """Start the service."""
        from clementinebay.services.configwatcher import ConfigWatcher
        from clementinebay.services.platform import Platform

        kernel = fakes.FakeKernel(url=arguments["url"])
        kernel.services["livelist"] = fakes.Fake(vms={}, domains=list, daemons=list)
        store = await stack.enter_async_context(Platform(kernel))
        kernel.services["platform"] = store
        self.watcher = await stack.enter_async_context(ConfigWatcher(kernel))
        self.watcher.peers_asked.set()

    def counters(self):
        """Count the revisions."""
        return {"revisions": self.watcher.document.revision}


class ConfigChange(Config):
    """Changes of one section at a time."""

    name = "config-change"
    what = "one section changes about once a second; size is sections"
    drive_seconds = 0.5

    def drive(self, size, arguments):
        """Change one section."""
        number = int(time.monotonic() * 1000)
        section = f"service:name-{number % size}"
        asyncio.run(apply(arguments["url"], {section: text(number)}))


def text(number):
    """Return a section of a service."""
    return f"deadline_seconds = 2.5\nhedge_percent = 4\nowner = team-{number}\n"


async def apply(url, sections):
    """Apply a change of the document."""
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
