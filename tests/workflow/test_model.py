"""Invariants under random faults: one run per task, capacity, and every job ends."""

import pytest

from tests.workflow.model import World

STEPS = 300


def run_world(seed, faults):
    """Run one world; ``faults`` is the probability of a fault in a step."""
    world = World(seed)
    for _step in range(STEPS):
        if world.random.random() < 0.08:
            world.submit()
        if world.random.random() < faults:
            world.inject_fault()
        world.step()
    world.finish()


#: Further seeds with which an invariant was violated once.
MORE_SEEDS = (41, 76, 129, 186, 918, 974, 999, 1031, 1093, 1132, 1218, 1291, 1360, 2459)


@pytest.mark.parametrize("seed", [*range(30), *MORE_SEEDS])
def test_promises_hold_under_random_faults(seed):
    run_world(seed, faults=0.06)


@pytest.mark.parametrize("seed", range(5))
def test_promises_hold_without_faults(seed):
    run_world(seed, faults=0.0)
