"""Invariants while requests outlive incarnations: one run per task, every job ends."""

import pytest

from tests.workflow import factory
from tests.workflow.restartmodel import LONG_LEASE_SECONDS, RestartWorld
from tests.workflow.test_model import run_steps


def run_world(seed, *, faults=0.05, **options):
    """Run one world; ``faults`` is the probability of a fault in a step."""
    world = RestartWorld(seed, **options)
    run_steps(world, 0.1, faults)
    world.finish()


#: Further seeds with which a task ran twice once, with long leases.
MORE_SEEDS = (63, 74, 102, 104, 117, 124, 189)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("max_lease", [factory.MAX_LEASE, LONG_LEASE_SECONDS])
def test_promises_hold_while_requests_outlive_incarnations(seed, max_lease):
    run_world(seed, max_lease_seconds=max_lease)


@pytest.mark.parametrize("seed", MORE_SEEDS)
def test_tasks_run_once_though_endpoints_hold_the_longest_lease(seed):
    run_world(seed)


@pytest.mark.parametrize("seed", range(10, 20))
def test_requests_for_the_incarnation_before_may_acknowledge_its_ends(seed):
    run_world(seed, late_acknowledgements=True)
