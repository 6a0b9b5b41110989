"""Assertions over a shard's state: what must hold after every batch."""

from clementinebay import errors
from clementinebay.shard.entities import HOLDING_PHASES


def check(state):
    """Raise `InvariantBrokenError` if a promise does not hold anywhere in ``state``."""
    held = {}
    for name, job in state.jobs.items():
        for index, task in job.tasks.items():
            if task.phase in HOLDING_PHASES:
                held.setdefault(task.endpoint, set()).add((name, index))
            elif task.endpoint:
                raise errors.InvariantBrokenError(f"{name}/{index} holds nothing")
    for name, endpoint in state.endpoints.items():
        if endpoint.held != held.pop(name, set()):
            raise errors.InvariantBrokenError(f"{name} has other holders")
        check_endpoint(state, name)
    if held:
        raise errors.InvariantBrokenError(f"unknown endpoints {sorted(held)}")


def check_changed_endpoints(state):
    """Check the endpoints that records changed since the last call."""
    touched, state.touched = state.touched, set()
    for name in touched:
        if name in state.endpoints:
            check_endpoint(state, name)


def check_endpoint(state, name):
    """Raise `InvariantBrokenError` if an endpoint's sums are wrong or too high."""
    endpoint = state.endpoints[name]
    sizes = list(endpoint.unconfirmed.values())
    for job, index in endpoint.held:
        task = state.jobs[job].tasks.get(index)
        if task is None or task.phase not in HOLDING_PHASES or task.endpoint != name:
            raise errors.InvariantBrokenError(f"{name} is not held by {job}/{index}")
        sizes.append(state.jobs[job].spec.size)
    sums = (
        sum(size.processors_milli for size in sizes),
        sum(size.memory_mb for size in sizes),
        sum(size.accelerators for size in sizes),
    )
    if sums != (endpoint.processors, endpoint.memory, endpoint.accelerators):
        raise errors.InvariantBrokenError(f"{name} sums differ from its holders")
    if endpoint.exceeds_capacity() and not endpoint.shrunk:
        raise errors.InvariantBrokenError(f"{name} is committed beyond its capacity")
