import asyncio

import pytest

from clementinebay import background, errors, kernel, metrics
from clementinebay.service import Service
from tests.services.fakes import FakeKernel


class Base(Service):
    name = "base"

    async def start(self):
        self.kernel.events.append(f"{self.name} starts")
        self.opened = True

    async def stop(self):
        if self.opened:
            self.kernel.events.append(f"{self.name} stops")


class Middle(Base):
    name = "middle"
    requires = ("base",)


class Broken(Base):
    name = "broken"
    requires = ("middle",)

    async def start(self):
        await super().start()
        self.background.spawn(asyncio.sleep, 60.0)
        raise errors.PlatformUnavailableError("no")


class HalfOpen(Base):
    name = "half"

    async def start(self):
        raise OSError("the port is taken")


class Circular(Base):
    name = "circular"
    requires = ("circular",)


KINDS = {kind.name: kind for kind in (Base, Middle, Broken, HalfOpen, Circular)}


@pytest.fixture
def running(clock, monkeypatch):
    monkeypatch.setattr(kernel, "find_service_class", KINDS.__getitem__)
    running = kernel.Kernel(FakeKernel(clock).settings, clock)
    running.events = []
    return running


async def test_services_stop_in_reverse_order(running):
    async with running:
        await running.start("middle")
        assert await running.start("base") is running.find("base")
    assert running.events == [
        "base starts",
        "middle starts",
        "middle stops",
        "base stops",
    ]


async def test_failed_start_stops_what_was_started(running):
    with pytest.raises(errors.PlatformUnavailableError):
        async with running:
            await running.start("broken")
    assert running.events[-3:] == ["broken stops", "middle stops", "base stops"]
    assert len(asyncio.all_tasks()) == 1


async def test_error_of_a_failed_start_is_raised_even_if_cleaning_up_fails(running):
    with pytest.raises(OSError, match="the port is taken"):
        async with running:
            await running.start("half")


async def test_unknown_and_circular_services_are_kernel_errors(running):
    async with running:
        with pytest.raises(errors.KernelError):
            running.find("nothing")
        with pytest.raises(errors.KernelError, match="circular -> circular"):
            await running.start("circular")


def failures(loop, error):
    labels = ("owner", loop, error)
    return metrics.BACKGROUND_FAILURES.labels(*labels)._value.get()


async def test_failed_loop_is_restarted_and_its_failures_counted(monkeypatch):
    monkeypatch.setattr(background, "RESTART_SECONDS", 0.01)
    runs = []
    ended = asyncio.Event()

    async def crashing():
        runs.append(1)
        if len(runs) == 1:
            raise KeyError("x")
        if len(runs) == 2:
            raise errors.LogGapError("y")
        ended.set()

    async with background.Background("owner") as owner, asyncio.timeout(5.0):
        owner.spawn(crashing)
        await ended.wait()
    assert failures("crashing", "KeyError") == failures("crashing", "log-gap") == 1


async def test_stop_does_not_wait_for_a_loop_that_ignores_cancellation(monkeypatch):
    monkeypatch.setattr(background, "STOP_SECONDS", 0.05)
    release = asyncio.Event()

    async def stubborn():
        while not release.is_set():
            try:
                await release.wait()
            except asyncio.CancelledError:
                pass

    async with asyncio.timeout(5.0):
        async with background.Background("owner") as owner:
            task = owner.spawn(stubborn)
            await asyncio.sleep(0.01)
    release.set()
    await task
