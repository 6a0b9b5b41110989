"""The election of the scheduler."""

import asyncio
from types import SimpleNamespace

from clementinebay import errors
from clementinebay.platform.store import CALL_TIMEOUT_SECONDS
from clementinebay.services.term import TTL_SECONDS, Term
from tests.platform import helpers
from tests.platform.test_path import submit_until_accepted, wait_until_ended
from tests.workflow import factory, virtualtime


async def wait_for_scheduler(kernels):
    """Wait until one of the daemons is the scheduler; return its kernel."""
    async with asyncio.timeout(10):
        while True:
            for kernel in kernels:
                if kernel.find("term").scheduler is not None:
                    return kernel
            await asyncio.sleep(0.02)


async def test_weak_daemon_lets_another_become_the_scheduler():
    async with helpers.installation(endpoints=3) as installation:
        weak, _address = await installation.start_daemon("d1", processors=0.01)
        strong, _address = await installation.start_daemon("d2")
        assert await wait_for_scheduler([weak, strong]) is strong


async def test_weak_daemon_becomes_the_scheduler_if_it_is_alone():
    async with helpers.installation(endpoints=3) as installation:
        weak, address = await installation.start_daemon("d1", processors=0.01)
        assert await wait_for_scheduler([weak]) is weak
        await submit_until_accepted(installation, address)
        assert await wait_until_ended(installation, address) == "completed"


class SilentStore:
    """A store that does not answer the first renewal of a lease."""

    def __init__(self, clock):
        self.clock = clock
        self.renewed_at = []

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        self.renewed_at.append(self.clock.now())
        if len(self.renewed_at) == 1:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise errors.PlatformOutcomeUnknownError("no answer")
        return TTL_SECONDS


def test_term_outlasts_one_renewal_without_an_answer():
    async def seconds_to_the_second_renewal():
        clock = virtualtime.LoopClock()
        store = SilentStore(clock)
        kernel = SimpleNamespace(settings=None, clock=clock)
        term = Term(kernel)
        term.clock = clock
        term.store = store
        term.lease = 1
        term.renewed_at = clock.now()
        term.scheduler = SimpleNamespace(confirm=lambda asked_at: None)
        term.log = factory.quiet_log()
        began_at = clock.now()
        renewing = asyncio.create_task(term.renew())
        while len(store.renewed_at) < 2:
            await asyncio.sleep(0.05)
        renewing.cancel()
        return store.renewed_at[1] - began_at

    assert virtualtime.run(seconds_to_the_second_renewal()) < TTL_SECONDS
