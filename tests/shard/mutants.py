"""Mutation tests of the random runs: does removing a mechanism make them fail?

Each mutant disables one mechanism of the shard by replacing a function.
``python -m tests.shard.mutants --seed N`` prints for each mutant the run and the step
in which the state machine detected it; exit code 1 means that it missed at least one.
"""

import argparse
import contextlib
import sys
import time
from unittest import mock

import hypothesis
from hypothesis.stateful import invariant, run_state_machine_as_test

from clementinebay.claims import Claim
from clementinebay.policy import attempts, balance, membership
from clementinebay.policy.attempts import Action, Order
from clementinebay.shard import transfer
from clementinebay.shard.entities import EndpointState
from clementinebay.shard.log import ShardLog
from clementinebay.shard.state import State
from tests.shard import limits, modelstore
from tests.shard.machine import ShardMachine

#: Extension of the lease of a start beyond the deadline of its binding, in seconds.
LEASE_EXTENSION_SECONDS = 3600.0


class Mutant:
    """A mechanism and the ``patches`` that disable it.

    A patch is (owner, attribute name, function from the original to its replacement).
    """

    __slots__ = ("name", "patches")

    def __init__(self, name, *patches):
        self.name = name
        self.patches = patches

    @contextlib.contextmanager
    def disabled(self):
        """Disable the mechanism inside the ``with`` block."""
        with contextlib.ExitStack() as stack:
            for owner, name, make_replacement in self.patches:
                replacement = make_replacement(getattr(owner, name))
                stack.enter_context(mock.patch.object(owner, name, replacement))
            yield


def constant(value):
    """Return a factory of replacements that return ``value``."""
    return lambda _original: lambda *_arguments: value


def without_compare(part):
    """Return a factory of commits that skip comparisons of keys containing ``part``."""

    def make_replacement(original):
        async def commit(store, compares, puts=(), deletes=()):
            if any("/log/" in put.key for put in puts):
                compares = [c for c in compares if part not in c[0]]
            return await original(store, compares, puts, deletes)

        return commit

    return make_replacement


def set_end_in_first_record(original):
    """Set the end of the leases in the record that bars an endpoint."""

    def endpoint_records(state, vms, now, free_at):
        records = original(state, vms, now, free_at)
        for record in records:
            if record.endpoint_lost is not None:
                record.endpoint_lost.free_at = free_at
        return records

    return endpoint_records


def without_skew(original):
    """Compute the end of a lost endpoint's leases without the allowance for skew."""

    def endpoint_records(state, vms, now, free_at):
        return original(state, vms, now, free_at - 2 * limits.SKEW_SECONDS)

    return endpoint_records


def accept_end_in_first_record(original):
    """Accept the end of the leases from the record that bars an endpoint."""

    def apply_endpoint_lost(state, record):
        original(state, record)
        endpoint = state.endpoints[record.id]
        endpoint.free_at = endpoint.free_at or record.free_at

    return apply_endpoint_lost


def deliver_unpinned(original):
    """Deliver parts even if the target's log has advanced since it was read."""

    class UnpinnedLog:
        def __init__(self, log):
            self.log = log

        def __getattr__(self, name):
            return getattr(self.log, name)

        async def append(self, records, _after=None):
            return await self.log.append(records)

    async def deliver(source, target, domain):
        return await original(source, UnpinnedLog(target), domain)

    return deliver


def deliver_source_first(original):
    """Deliver parts read from the source before the target was read."""

    class EarlySource:
        def __init__(self, log):
            self.log = log
            self.state = log.state

        def __getattr__(self, name):
            return getattr(self.log, name)

        async def catch_up(self):
            pass

    async def deliver(source, target, domain):
        await source.catch_up()
        outbox = dict(source.state.outbox)
        early_source = EarlySource(source)
        early_source.state = State()
        early_source.state.outbox = outbox
        return await original(early_source, target, domain)

    return deliver


def unbind_at_release(original):
    """Release a task's resources when its stop is requested."""

    def apply_release(state, record):
        original(state, record)
        job, task = state.bound_task(record)
        state.unbind(job, task)
        if job.cancelled:
            del job.tasks[task.index]

    return apply_release


def extend_first_lease(original):
    """Extend the lease of a start far beyond the deadline of its binding."""

    def init(order, action, *arguments):
        original(order, action, *arguments)
        if action == Action.START:
            order.lease_deadline += LEASE_EXTENSION_SECONDS

    return init


def unkeyed_submit(original):
    """Add a part again each time it is submitted."""

    def apply_submit(state, record):
        known = state.jobs.get(record.spec.id)
        if known is not None and not any(t.endpoint for t in known.tasks.values()):
            state.drop_job(record.spec.id)
        original(state, record)

    return apply_submit


def unnamed_part(original):
    """Name a part by its first task only."""

    def init(balancer, state, targets, _nonce, *arguments):
        original(balancer, state, targets, "", *arguments)

    return init


def accept_any_batch(_original):
    """Treat any batch at the index as the writer's own."""

    def is_own_write(log, failure, index, _data):
        return failure.key == log.key(index) and failure.entry is not None

    return is_own_write


def accept_any_claim(original):
    """Treat any entry at the key as the claimant's own."""

    def settle(claim, entry):
        if entry is None:
            original(claim, entry)
        else:
            claim.version = entry.version

    return settle


def renew_without_limit(_original):
    """Renew leases regardless of when the log was last read."""
    return lambda now, _confirmed_at, lease, _reclaim: now + lease


MUTANTS = (
    Mutant(
        "comparison of the snapshot's version",
        (modelstore.FaultyStore, "commit", without_compare("/snapshot")),
    ),
    Mutant("check of free capacity", (EndpointState, "fits", constant(True))),
    Mutant(
        "second record for a lost endpoint",
        (membership, "endpoint_records", set_end_in_first_record),
        (State, "apply_endpoint_lost", accept_end_in_first_record),
    ),
    Mutant(
        "sums for unconfirmed attempts",
        (EndpointState, "add_unconfirmed", constant(None)),
    ),
    Mutant(
        "acknowledgement after the record",
        (attempts, "unrecorded", constant(False)),
    ),
    Mutant("hand-over pinned to an index", (transfer, "deliver", deliver_unpinned)),
    Mutant(
        "limit of a renewal by the last read",
        (attempts, "renewal_deadline", renew_without_limit),
    ),
    Mutant(
        "target read before the source", (transfer, "deliver", deliver_source_first)
    ),
    Mutant(
        "release only after confirmation",
        (State, "apply_release", unbind_at_release),
    ),
    Mutant(
        "allowance for clocks that differ",
        (membership, "endpoint_records", without_skew),
    ),
    Mutant("end of the first lease", (Order, "__init__", extend_first_lease)),
    Mutant(
        "source read again before a part is forgotten",
        (transfer, "may_forget", lambda _original: forget_at_once),
    ),
    Mutant(
        "lost batch settled by its bytes", (ShardLog, "is_own_write", accept_any_batch)
    ),
    Mutant("lost claim settled by its claimant", (Claim, "settle", accept_any_claim)),
    Mutant("submission keyed by the part", (State, "apply_submit", unkeyed_submit)),
    Mutant("part named by its move", (balance.Balancer, "__init__", unnamed_part)),
    Mutant(
        "comparison at the next index",
        (modelstore.FaultyStore, "commit", without_compare("/log/")),
    ),
)


async def forget_at_once(_source, _part):
    """Allow forgetting a part at any time."""
    return True


class Trial:
    """Result of running the state machine; ``runs`` holds the number of steps."""

    __slots__ = ("runs", "passed_runs", "failure")

    def __init__(self):
        self.runs = []
        self.passed_runs = 0
        self.failure = None

    @property
    def steps(self):
        """Number of steps of the run that failed."""
        return self.runs[self.passed_runs] if self.failure else 0


def counting_machine(trial):
    """Return a `ShardMachine` class that counts runs and steps in ``trial``."""

    class CountingMachine(ShardMachine):
        def __init__(self):
            super().__init__()
            trial.runs.append(0)

        @invariant()
        def count_step(self):
            trial.runs[-1] += 1

        def teardown(self):
            # After a failure, the final checks are skipped.
            if sys.exc_info()[0] is None:
                super().teardown()
                trial.passed_runs += 1

    return CountingMachine


def run(seed, examples, steps):
    """Run the state machine until it fails; return the `Trial`."""
    trial = Trial()
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=False,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        with contextlib.redirect_stdout(None):
            machine = hypothesis.seed(seed)(counting_machine(trial))
            run_state_machine_as_test(machine, settings=settings)
    except Exception as failure:
        trial.failure = failure
    return trial


def describe(failure):
    """Return the type and the first line of ``failure``."""
    return f"{type(failure).__name__} {str(failure).partition(chr(10))[0]}"


def main():
    """Print a line for each mutant; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--examples", type=int, default=150, help="runs of a mutant")
    parser.add_argument("--steps", type=int, default=60, help="steps of a run")
    parser.add_argument("--only", default="", help="part of a mutant's name")
    arguments = parser.parse_args()
    missed = 0
    for mutant in MUTANTS:
        if arguments.only not in mutant.name:
            continue
        started_at = time.monotonic()
        with mutant.disabled():
            trial = run(arguments.seed, arguments.examples, arguments.steps)
        seconds = time.monotonic() - started_at
        if trial.failure is None:
            missed += 1
            print(f"{mutant.name}: missed in {trial.passed_runs} runs, {seconds:.0f} s")
        else:
            print(
                f"{mutant.name}: found in run {trial.passed_runs + 1},"
                f" step {trial.steps}, {seconds:.0f} s: {describe(trial.failure)}"
            )
        sys.stdout.flush()
    print(f"seed {arguments.seed}: missed {missed}")
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
