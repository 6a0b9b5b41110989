import asyncio

from clementinebay import config, errors, model, settings, tracing
from clementinebay.services.router import Router
from clementinebay.store.base import Vm


class Driver:
    """Endpoint driver that answers by ``script``: {address: answer}.

    An answer is a body, an error to raise, or a coroutine function that returns one of
    them.  Requests wait for the event ``gate``, if any.  ``max_in_flight`` is the
    maximum per address.
    """

    def __init__(self):
        self.script = {}
        self.requested = []
        self.gate = None
        self.in_flight = {}
        self.max_in_flight = {}

    async def request(self, address, service, request_id, body, deadline, traceparent):
        self.requested.append(address)
        self.in_flight[address] = self.in_flight.get(address, 0) + 1
        self.max_in_flight[address] = max(
            self.max_in_flight.get(address, 0), self.in_flight[address]
        )
        try:
            if self.gate is not None:
                await self.gate.wait()
            answer = self.script.get(address, body)
            if callable(answer):
                answer = await answer(body)
            if isinstance(answer, Exception):
                raise answer
            return 200, answer
        finally:
            self.in_flight[address] -= 1


class Shard:
    def __init__(self, replicas):
        self.table = replicas

    def replicas(self, service):
        return self.table if service == "call-in" else []


class LiveList:
    def __init__(self, daemons=()):
        self.vms = {vm.id: vm for vm in daemons}

        self.leaving = frozenset()

    def daemons(self):
        return list(self.vms.values())


class Client:
    """Client of a peer that answers with ``result``, a reply or an error to raise."""

    def __init__(self, result):
        self.result = result
        self.calls = []

    async def call(self, kind, message, reply_kind, deadline, traceparent=""):
        self.calls.append(message)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


class Peers:
    def __init__(self, clients):
        self.clients = clients
        self.handlers = {}
        self.leaving = False

    def handle(self, kind, message, handler):
        self.handlers[kind] = handler

    def client(self, vm):
        return self.clients[vm.id]

    def serving(self, service):
        return [(Vm(name, "entry", "", "b"), 1) for name in self.clients]


class Kernel:
    def __init__(self, clock, store, replicas, clients, **options):
        self.clock = clock
        self.settings = settings.Settings(
            daemon_name="a-0", daemon_failure_domain="a", **options
        )
        self.services = {
            "config": type(
                "Config", (), {"document": config.Document(config.Head(), {})}
            ),
            "shard": Shard(replicas),
            "peers": Peers(clients),
            "livelist": LiveList([Vm(n, "entry", "", "b") for n in clients]),
            "driver": type("DriverService", (), {"driver": Driver()}),
            "tracing": type("Tracing", (), {"tracer": tracing.Tracer("a-0", 0.0, 10)}),
            "platform": type("Platform", (), {"store": store}),
        }

    def find(self, name):
        return self.services[name]


def replica(number):
    return model.Replica(f"e{number}", f"e{number}", 8, 64)


class RouterFixture:
    """A router with fake services; an asynchronous context manager."""

    def __init__(self, clock, store, replicas=1, peers=None, **options):
        self.clock = clock
        table = [replica(number) for number in range(replicas)]
        self.kernel = Kernel(clock, store, table, peers or {}, **options)
        self.driver = self.kernel.find("driver").driver
        self.router = Router(self.kernel)

    async def __aenter__(self):
        await self.router.__aenter__()
        return self

    async def __aexit__(self, *exc):
        await self.router.__aexit__(*exc)

    def request(self, **fields):
        values = {
            "service": "call-in",
            "client": "c",
            "id": "r1",
            "deadline": self.clock.now() + 5.0,
            "body": b"tank 7",
            **fields,
        }
        return model.Request(**values)

    async def outcome(self, **fields):
        """Route a request and return its outcome."""
        try:
            await self.router.route(self.request(**fields))
        except errors.RequestError as error:
            return error.outcome
        return "done"


async def run_ready_tasks():
    """Run several iterations of the event loop, so that ready tasks progress."""
    for _step in range(20):
        await asyncio.sleep(0)
