"""Random runs must quickly detect the loss of key mechanisms; see also `mutants`."""

import pytest

from tests.shard import mutants

SEED = 1
#: Runs within which the absence of a mechanism must be detected.
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
def test_random_runs_detect_a_disabled_mechanism(name):
    mutant = next(mutant for mutant in mutants.MUTANTS if mutant.name == name)
    with mutant.disabled():
        trial = mutants.run(SEED, RUNS, STEPS)
    assert trial.failure is not None
