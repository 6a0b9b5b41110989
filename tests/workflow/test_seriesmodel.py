"""Invariants while terms end in series: one run per task, and every job ends."""

import pytest

from tests.workflow.seriesmodel import SeriesWorld
from tests.workflow.test_model import run_steps


def run_world(seed, faults=0.08, late_at_restarted=False):
    """Run one world; ``faults`` is the probability of a fault in a step."""
    world = SeriesWorld(seed, late_at_restarted)
    run_steps(world, 0.15, faults)
    world.finish()


@pytest.mark.parametrize("seed", range(30))
def test_promises_hold_while_terms_end_in_series(seed):
    run_world(seed)


@pytest.mark.parametrize("seed", range(10))
def test_promises_hold_beside_orders_at_later_incarnations(seed):
    run_world(seed, late_at_restarted=True)
