"""Which mechanisms the random runs miss when they are taken out, and how soon.

Each mutant takes one mechanism of the shard out by replacing a function.  The table of
``python -m tests.shard.mutants --seed N`` tells in which run, and after how many steps
of it, the machine noticed; exit code 1 means that it missed one.
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

#: Lease of a start whose binding's end is not kept, in seconds.
HOUR = 3600.0


class Mutant:
    """One mechanism and the ``patches`` that take it out.

    A patch is (owner, name, function that makes the replacement from the original).
    """

    __slots__ = ("name", "patches")

    def __init__(self, name, *patches):
        self.name = name
        self.patches = patches

    @contextlib.contextmanager
    def taken_out(self):
        """Do without the mechanism inside the ``with`` block."""
        with contextlib.ExitStack() as stack:
            for owner, name, make in self.patches:
                replacement = make(getattr(owner, name))
                stack.enter_context(mock.patch.object(owner, name, replacement))
            yield


def constant(value):
    """Return a maker of functions that return ``value``."""
    return lambda _original: lambda *_arguments: value


def without_compare(part):
    """Return a maker of commits that do not compare keys with ``part`` in them."""

    def make(original):
        async def commit(store, compares, puts=(), deletes=()):
            if any("/log/" in put.key for put in puts):
                compares = [c for c in compares if part not in c[0]]
            return await original(store, compares, puts, deletes)

        return commit

    return make


def free_at_once(original):
    """Let the record that bars an endpoint tell when its leases end."""

    def endpoint_records(state, vms, now, free_at):
        records = original(state, vms, now, free_at)
        for record in records:
            if record.endpoint_lost is not None:
                record.endpoint_lost.free_at = free_at
        return records

    return endpoint_records


def without_skew(original):
    """Let the leases of a lost endpoint end by the clock of who says so."""

    def endpoint_records(state, vms, now, free_at):
        return original(state, vms, now, free_at - 2 * limits.SKEW)

    return endpoint_records


def believe_the_bar(original):
    """Take the end of the leases from the record that bars an endpoint."""

    def apply_endpoint_lost(state, record):
        original(state, record)
        endpoint = state.endpoints[record.id]
        endpoint.free_at = endpoint.free_at or record.free_at

    return apply_endpoint_lost


def unpinned(original):
    """Deliver parts whatever was written in the target since it was read."""

    class Unpinned:
        def __init__(self, log):
            self.log = log

        def __getattr__(self, name):
            return getattr(self.log, name)

        async def append(self, records, _after=None):
            return await self.log.append(records)

    async def deliver(source, target, domain):
        return await original(source, Unpinned(target), domain)

    return deliver


def source_first(original):
    """Deliver what was read of the source before the target was."""

    class ReadBefore:
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
        before = ReadBefore(source)
        before.state = State()
        before.state.outbox = outbox
        return await original(before, target, domain)

    return deliver


def let_go_at_release(original):
    """Free a task when its stop is asked for."""

    def apply_release(state, record):
        original(state, record)
        job, task = state.bound_task(record)
        state.unbind(job, task)
        if job.cancelled:
            del job.tasks[task.index]

    return apply_release


def endless_first_lease(original):
    """Let a start's lease end long after its binding's."""

    def init(order, action, *arguments):
        original(order, action, *arguments)
        if action == Action.START:
            order.lease_deadline += HOUR

    return init


def unkeyed_submit(original):
    """Add a part again each time that it is submitted."""

    def apply_submit(state, record):
        known = state.jobs.get(record.spec.id)
        if known is not None and not any(t.endpoint for t in known.tasks.values()):
            state.drop_job(record.spec.id)
        original(state, record)

    return apply_submit


def unnamed_part(original):
    """Name a part by its first task alone."""

    def init(balancer, state, targets, _nonce, *arguments):
        original(balancer, state, targets, "", *arguments)

    return init


def any_batch_is_own(_original):
    """Take whatever lies at the index for the own batch."""

    def is_own_write(log, failure, index, _data):
        return failure.key == log.key(index) and failure.entry is not None

    return is_own_write


def any_claim_is_own(original):
    """Take whatever lies at the key for the own claim."""

    def settle(claim, entry):
        if entry is None:
            original(claim, entry)
        else:
            claim.version = entry.version

    return settle


def unlimited_renewal(_original):
    """Renew without a look at when the log was read."""
    return lambda now, _confirmed_at, lease, _reclaim: now + lease


MUTANTS = (
    Mutant(
        "comparison of the snapshot's version",
        (modelstore.FaultyStore, "commit", without_compare("/snapshot")),
    ),
    Mutant("check of free capacity", (EndpointState, "fits", constant(True))),
    Mutant(
        "second record for a lost endpoint",
        (membership, "endpoint_records", free_at_once),
        (State, "apply_endpoint_lost", believe_the_bar),
    ),
    Mutant(
        "sums for unconfirmed attempts",
        (EndpointState, "add_unconfirmed", constant(None)),
    ),
    Mutant(
        "acknowledgement after the record",
        (attempts, "unrecorded", constant(False)),
    ),
    Mutant("hand-over pinned to an index", (transfer, "deliver", unpinned)),
    Mutant(
        "limit of a renewal by the last read",
        (attempts, "renewal_deadline", unlimited_renewal),
    ),
    Mutant("target read before the source", (transfer, "deliver", source_first)),
    Mutant(
        "release only after confirmation",
        (State, "apply_release", let_go_at_release),
    ),
    Mutant(
        "allowance for clocks that differ",
        (membership, "endpoint_records", without_skew),
    ),
    Mutant("end of the first lease", (Order, "__init__", endless_first_lease)),
    Mutant(
        "source read again before a part is forgotten",
        (transfer, "may_forget", lambda _original: forget_at_once),
    ),
    Mutant(
        "lost batch settled by its bytes", (ShardLog, "is_own_write", any_batch_is_own)
    ),
    Mutant("lost claim settled by its claimant", (Claim, "settle", any_claim_is_own)),
    Mutant("submission keyed by the part", (State, "apply_submit", unkeyed_submit)),
    Mutant("part named by its move", (balance.Balancer, "__init__", unnamed_part)),
    Mutant(
        "comparison at the next index",
        (modelstore.FaultyStore, "commit", without_compare("/log/")),
    ),
)


async def forget_at_once(_source, _part):
    """Let a part be forgotten at any time."""
    return True


class Trial:
    """The outcome of running the machine: ``runs`` holds the steps of each run."""

    __slots__ = ("runs", "held", "failure")

    def __init__(self):
        self.runs = []
        self.held = 0
        self.failure = None

    @property
    def steps(self):
        """The steps of the run that failed."""
        return self.runs[self.held] if self.failure else 0


def counted(trial):
    """Return a `ShardMachine` that counts into ``trial``."""

    class Counted(ShardMachine):
        def __init__(self):
            super().__init__()
            trial.runs.append(0)

        @invariant()
        def count_step(self):
            trial.runs[-1] += 1

        def teardown(self):
            # A run that broke is not brought to rest.
            if sys.exc_info()[0] is None:
                super().teardown()
                trial.held += 1

    return Counted


def run(seed, examples, steps):
    """Run the machine until it breaks; return the `Trial`."""
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
            machine = hypothesis.seed(seed)(counted(trial))
            run_state_machine_as_test(machine, settings=settings)
    except Exception as failure:
        trial.failure = failure
    return trial


def describe(failure):
    """Return the type and the first line of ``failure``."""
    return f"{type(failure).__name__} {str(failure).partition(chr(10))[0]}"


def main():
    """Print the table; return the exit code."""
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
        began = time.monotonic()
        with mutant.taken_out():
            trial = run(arguments.seed, arguments.examples, arguments.steps)
        seconds = time.monotonic() - began
        if trial.failure is None:
            missed += 1
            print(f"{mutant.name}: missed in {trial.held} runs, {seconds:.0f} s")
        else:
            print(
                f"{mutant.name}: found in run {trial.held + 1}, step {trial.steps},"
                f" {seconds:.0f} s: {describe(trial.failure)}"
            )
        sys.stdout.flush()
    print(f"seed {arguments.seed}: missed {missed}")
    return int(missed > 0)


if __name__ == "__main__":
    sys.exit(main())
