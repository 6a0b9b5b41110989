from clementinebay import config, errors
from clementinebay.services import fleet, livelist
from clementinebay.store.base import Vm
from tests.services.fakes import Fake, FakeKernel

LARGE = (16_000, 1000, 0)


class FakeLiveList:
    """Returns the next of ``lists`` at each read, and fails after the last."""

    def __init__(self, *lists):
        self.lists = list(lists)

    async def read(self):
        if not self.lists:
            raise errors.PlatformError("end of the lists")
        return self.lists.pop(0)

    async def close(self):
        pass


async def test_endpoint_listed_once_between_two_updates_is_remembered(clock):
    small = Vm("d-0", "endpoint", "h:1", "d", processors_milli=8000, memory_mb=1000)
    large = Vm("d-1", "endpoint", "h:2", "d", processors_milli=16_000, memory_mb=1000)
    kernel = FakeKernel(clock)
    kernel.services["shard"] = Fake(state=Fake(endpoints={}))
    kernel.services["config"] = Fake(document=config.Document(config.Head(), {}))
    async with livelist.LiveListWatcher(kernel) as lists:
        kernel.services["livelist"] = lists
        async with fleet.FleetWatcher(kernel) as watcher:
            lists.live_list = FakeLiveList([small, large], [small])
            await lists.read()
            await lists.read()
            assert "d-1" not in lists.vms
            assert watcher.fleet.fits(LARGE)
