"""Cost of one scheduling decision in a shard of the target size.

Run ``python -m bench.decision``; prints the milliseconds that a decision takes with 146
endpoints and 1,700 running tasks.
"""

import time
import zlib

from clementinebay.policy import colocation, eviction, planner, quota
from clementinebay.policy.interference import InterferenceModel
from clementinebay.policy.placement import Balanced
from clementinebay.policy.usage import Usage
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire

ENDPOINTS = 146
SERVICES = 20
JOBS = 200
REPEATS = 50


def job_spec(name, workload, count, processors, urgency):
    """Return a `wire.JobSpec`."""
    size = wire.Resources(processors, 4000, 0)
    return wire.JobSpec(
        id=name,
        workload=workload,
        team="t",
        urgency=urgency,
        kind=f"kind-{zlib.crc32(name.encode()) % 10}",
        count=count,
        size=size,
    )


def loaded_state():
    """Return a state with 1,700 running tasks spread over all endpoints."""
    state = State()
    for number in range(ENDPOINTS):
        size = wire.Resources(32_000, 125_000, 0)
        seen = wire.EndpointSeen(f"e-{number}", "", f"r-{number % 8}", size)
        state.apply(wire.Record(endpoint_seen=seen))
    for number in range(SERVICES):
        submit(state, f"s-{number}", wire.Workload.SERVICE, 25, 2000, 2)
    for number in range(JOBS):
        submit(state, f"j-{number}", wire.Workload.BATCH, 6, 2000, 0)
    while binds := planner.plan(state, 1.0, 9.0).binds:
        apply_binds(state, binds)
    return state


def submit(state, name, workload, count, processors, urgency):
    """Add a job to ``state``."""
    job = job_spec(name, workload, count, processors, urgency)
    state.apply(wire.Record(submit=wire.Submit(job)))


def apply_binds(state, binds):
    """Bind the tasks and mark them as started."""
    for bind in binds:
        state.apply(wire.Record(bind=bind))
        started = wire.Started(bind.job, bind.index, bind.attempt)
        state.apply(wire.Record(started=started))


class Decision:
    """One scheduling decision: placement under quotas, then eviction."""

    def __init__(self, state):
        self.state = state
        self.model = InterferenceModel()
        self.mixes = colocation.MixCache()
        self.usage = Usage()

    def __call__(self):
        """Plan the waiting tasks, select tasks to evict and return the plan."""
        pressure = colocation.Pressure(self.state, self.model, self.mixes, self.usage)
        ledger = quota.ledger(self.state, {"t": (10**9, None, None)})
        policy = Balanced(pressure)
        plan = planner.plan(self.state, 1.0, 9.0, policy, None, ledger)
        eviction.release_records(
            self.state, plan.unplaced, 1.0, {}, lambda _name: False, ledger
        )
        return plan


def mean_ms(action):
    """Return the mean time of one call in milliseconds, after a warm-up call."""
    action()
    start = time.perf_counter()
    for _number in range(REPEATS):
        action()
    return (time.perf_counter() - start) / REPEATS * 1000


def main():
    """Measure with a growing number of waiting tasks and print the table."""
    state = loaded_state()
    running = sum(len(e.held) for e in state.endpoints.values())
    decide = Decision(state)
    print(f"{ENDPOINTS} endpoints, {running} tasks running")
    print(f"nothing waits              {mean_ms(decide):8.2f} ms")
    submit(state, "three", wire.Workload.BATCH, 3, 1000, 0)
    print(f"3 tasks are bound          {mean_ms(decide):8.2f} ms")
    submit(state, "many", wire.Workload.BATCH, 100, 1000, 0)
    print(f"100 tasks of one job       {mean_ms(decide):8.2f} ms")
    for number in range(100):
        submit(state, f"one-{number}", wire.Workload.BATCH, 1, 1000, 1)
    print(f"100 jobs of one task       {mean_ms(decide):8.2f} ms")
    for number in range(1000):
        submit(state, f"big-{number}", wire.Workload.BATCH, 1, 33_000, 1)
    print(f"and 1,000 that never fit   {mean_ms(decide):8.2f} ms")
    submit(state, "urgent", wire.Workload.BATCH, 20, 31_000, 2)
    print(f"and 20 that evict          {mean_ms(decide):8.2f} ms")


if __name__ == "__main__":
    main()
