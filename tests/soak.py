"""Runs the state machine tests with successive seeds for a given time.

The exit code is 0 if every invariant held, and 1 after the first violation.  The steps
that led to it are printed, and ``--seed`` reproduces them.
"""

import argparse
import sys
import time
import traceback

import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.shard.machine import ShardMachine

#: State machines by name.
MACHINES = {"shard": ShardMachine}


def run(machine, seed, examples, steps, shrink=False):
    """Run ``examples`` examples of ``machine``, generated from ``seed``."""
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=False,
        phases=phases,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    run_state_machine_as_test(seeded, settings=settings)


def main():
    """Run until the time is up or an invariant is violated; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--machine", choices=sorted(MACHINES), default="shard")
    parser.add_argument("--examples", type=int, default=100, help="examples per seed")
    parser.add_argument("--steps", type=int, default=100, help="steps per example")
    parser.add_argument(
        "--shrink", action="store_true", help="minimize a failing example"
    )
    arguments = parser.parse_args()
    limit = time.monotonic() + arguments.minutes * 60
    seed = arguments.seed
    while time.monotonic() < limit:
        try:
            machine = MACHINES[arguments.machine]
            run(machine, seed, arguments.examples, arguments.steps, arguments.shrink)
        except Exception:
            traceback.print_exc()
            print(f"seed {seed}: an invariant was violated")
            return 1
        print(
            f"seed {seed}: {arguments.examples} runs of {arguments.steps} steps passed"
        )
        sys.stdout.flush()
        seed += 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
