import asyncio
import contextlib

import pytest

from clementinebay import config, tracing
from clementinebay.clock import SystemClock
from clementinebay.peer.wire import ttypes as wire
from clementinebay.services.peers import Peers
from clementinebay.store.base import Vm
from standins.ports import free_ports
from tests.services.fakes import Fake, FakeKernel


class Shard:
    def __init__(self):
        self.services = {"feed": 2}

    def service_names(self):
        return list(self.services)

    def replicas(self, name):
        return [None] * self.services.get(name, 0)


@pytest.fixture
async def pair():
    """Two daemons of one domain and one of another, each with all on its list."""
    ports = free_ports(3)
    names = {"d-0": "d", "d-1": "d", "e-0": "e"}
    vms = [
        Vm(name, "entry", f"127.0.0.1:{port}", domain)
        for (name, domain), port in zip(names.items(), ports, strict=True)
    ]
    async with contextlib.AsyncExitStack() as stack:
        services = []
        for vm, port in zip(vms, ports, strict=True):
            kernel = FakeKernel(
                SystemClock(),
                daemon_name=vm.id,
                daemon_failure_domain=vm.failure_domain,
                peer_port=port,
                peer_gossip_seconds=0.02,
                peer_heartbeat_seconds=0.1,
            )
            listed = [other for other in vms if other is not vm]
            kernel.services.update(
                livelist=Fake(daemons=lambda listed=listed: list(listed), vms=listed),
                config=Fake(
                    document=config.Document(config.Head(1), {}),
                    peers_asked=asyncio.Event(),
                ),
                shard=Shard(),
                tracing=Fake(tracer=tracing.Tracer(vm.id, 0.0, 10)),
            )
            service = Peers(kernel)
            service.listed = listed
            services.append(await stack.enter_async_context(service))
        yield services


async def until(condition):
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def serving(service, name):
    return [(vm.id, replicas) for vm, replicas in service.serving(name)]


async def test_services_of_other_domains_are_learned_and_unlearned(pair):
    one, _two, other = pair
    await until(lambda: serving(one, "feed") == [("e-0", 2)])
    other.kernel.find("shard").services = {"minutes": 1}
    await until(lambda: serving(one, "minutes") == [("e-0", 1)])
    assert serving(one, "feed") == []


async def test_companions_are_of_the_domain_and_neither_silent_nor_leaving(pair):
    one, two, _other = pair
    await until(lambda: one.domain_peers() == {"d-1"})
    two.leaving = True
    await until(lambda: one.domain_peers() == set())
    two.leaving = False
    await until(lambda: one.domain_peers() == {"d-1"})
    await two.__aexit__(None, None, None)
    await until(lambda: one.domain_peers() == set())


async def test_daemon_that_schedules_is_known_to_its_domain(pair):
    one, two, other = pair
    two.leading = True
    await until(lambda: one.scheduler() is not None)
    assert one.scheduler().id == "d-1"
    assert other.scheduler() is None
    two.leading = False
    await until(lambda: one.scheduler() is None)


async def test_peer_that_left_the_list_is_forgotten(pair):
    one, _two, other = pair
    await until(lambda: "e-0" in one.neighbours and len(one.clients) == 2)
    await other.__aexit__(None, None, None)
    one.listed[:] = [vm for vm in one.listed if vm.id != "e-0"]
    await until(lambda: "e-0" not in one.neighbours and len(one.clients) == 1)
    assert "e-0" not in one.told


async def test_peer_that_hangs_does_not_hold_up_news_to_others(pair):
    one, two, other = pair
    await until(lambda: serving(one, "feed") and one.domain_peers())
    hung = asyncio.Event()

    async def hang(_message, _envelope):
        await hung.wait()

    message, _handler = other.handlers[wire.Kind.GOSSIP]
    other.handlers[wire.Kind.GOSSIP] = (message, hang)
    one.leading = True
    await until(lambda: two.scheduler() is not None)
    hung.set()


async def test_newer_configuration_is_taken_also_if_the_peer_always_calls_first(pair):
    one, two, other = pair
    await until(lambda: one.domain_peers() and one.serving("feed"))
    one.is_due = lambda _vm: False
    adopted = []
    one.kernel.find("config").adopt = adopted.append
    newer = config.Document(config.Head(2), {})
    for peer in (two, other):
        peer.kernel.find("config").document = newer
    await until(lambda: adopted)
    assert adopted[0].revision == 2
