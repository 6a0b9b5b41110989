"""Random faults: one run at a time, capacity, and every job ends."""

import pytest

from tests.workflow.model import World

STEPS = 300


def play(seed, faults):
    """Play one world; ``faults`` is the probability of one in a step."""
    world = World(seed)
    for _step in range(STEPS):
        if world.random.random() < 0.08:
            world.submit()
        if world.random.random() < faults:
            world.fault()
        world.step()
    world.finish()


#: Worlds of a few hundred more that broke a promise once.
FOUND = (1031, 1093, 1132, 1218, 1291, 1360)


@pytest.mark.parametrize("seed", [*range(30), *FOUND])
def test_promises_hold_under_random_faults(seed):
    play(seed, faults=0.06)


@pytest.mark.parametrize("seed", range(5))
def test_promises_hold_without_faults(seed):
    play(seed, faults=0.0)
