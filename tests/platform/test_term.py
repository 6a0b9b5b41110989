"""The election of the scheduler."""

import asyncio

from tests.platform import helpers
from tests.platform.test_path import submit_until_accepted, wait_until_ended


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
