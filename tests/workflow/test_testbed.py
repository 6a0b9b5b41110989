"""The bed reports what it is to find."""

import pytest

from tests.workflow import virtualtime
from tests.workflow.testbed import TestBed


def test_second_run_that_a_late_order_starts_fails_the_bed():
    """The event loop logged the assertion, and the bed went on."""

    def start(_now, _fence):
        raise AssertionError("twice")

    async def main():
        async with TestBed(endpoints=1) as bed:
            await bed.run(1.0)
            bed.random.choice = lambda delays: delays[1]
            bed.execute_late(bed.endpoints[0], start, (10**9,))
            with pytest.raises(AssertionError, match="twice"):
                await bed.run(5.0)

    virtualtime.run(main())
