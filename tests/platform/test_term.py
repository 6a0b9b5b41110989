"""The election of the scheduler."""

import asyncio

from tests.platform import helpers
from tests.platform.test_path import until_accepted, until_ended


async def until_scheduler(kernels):
    """Wait until one of the daemons is the scheduler; return its kernel."""
    async with asyncio.timeout(10):
        while True:
            for kernel in kernels:
                if kernel.find("term").scheduler is not None:
                    return kernel
            await asyncio.sleep(0.02)


async def test_weak_daemon_leaves_the_others_time_to_become_the_scheduler():
    async with helpers.installation(endpoints=3) as stand:
        weak, _address = await stand.daemon("d1", processors=0.01)
        strong, _address = await stand.daemon("d2")
        assert await until_scheduler([weak, strong]) is strong


async def test_weak_daemon_schedules_if_it_is_alone():
    async with helpers.installation(endpoints=3) as stand:
        weak, address = await stand.daemon("d1", processors=0.01)
        assert await until_scheduler([weak]) is weak
        await until_accepted(stand, address)
        assert await until_ended(stand, address) == "completed"
