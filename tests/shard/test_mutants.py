"""The random runs find what matters most soon; see `mutants` for the rest."""

import pytest

from tests.shard import mutants

SEED = 1
#: Runs within which a mechanism's absence must be found.
RUNS = 30
STEPS = 60
NAMES = (
    "comparison of the snapshot's version",
    "second record for a lost endpoint",
    "sums for unconfirmed attempts",
    "acknowledgement after the record",
    "limit of a renewal by the last read",
    "release only after confirmation",
    "part named by its move",
)


@pytest.mark.parametrize("name", NAMES)
def test_random_runs_find_a_mechanism_that_was_taken_out(name):
    mutant = next(mutant for mutant in mutants.MUTANTS if mutant.name == name)
    with mutant.taken_out():
        trial = mutants.run(SEED, RUNS, STEPS)
    assert trial.failure is not None
