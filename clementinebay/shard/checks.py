"""Invariants of a shard's state, which must hold after every batch."""

from clementinebay import errors
from clementinebay.shard.entities import HOLDING_PHASES


def check(state):
    """Check all of ``state``; raise `InvariantBrokenError` on a violation."""
    held = {}
    for name, job in state.jobs.items():
        for index, task in job.tasks.items():
            if task.phase in HOLDING_PHASES:
                held.setdefault(task.endpoint, set()).add((name, index))
            elif task.endpoint:
                raise errors.InvariantBrokenError(
                    f"{name}/{index} is not bound but names an endpoint"
                )
    for name, endpoint in state.endpoints.items():
        if endpoint.held != held.pop(name, set()):
            raise errors.InvariantBrokenError(
                f"{name} does not list the tasks bound to it"
            )
        check_endpoint(state, name)
    if held:
        raise errors.InvariantBrokenError(
            f"tasks are bound to unknown endpoints {sorted(held)}"
        )


def check_changed_endpoints(state):
    """Check the endpoints that records have changed since the last call."""
    changed, state.changed_endpoints = state.changed_endpoints, set()
    for name in changed:
        if name in state.endpoints:
            check_endpoint(state, name)


def check_endpoint(state, name):
    """Check that an endpoint's totals are right and within its capacity.

    Raises `InvariantBrokenError` if they are not.
    """
    endpoint = state.endpoints[name]
    sizes = list(endpoint.unconfirmed.values())
    for job, index in endpoint.held:
        task = state.jobs[job].tasks.get(index)
        if task is None or task.phase not in HOLDING_PHASES or task.endpoint != name:
            raise errors.InvariantBrokenError(
                f"{name} lists {job}/{index}, which is not bound to it"
            )
        sizes.append(state.jobs[job].spec.size)
    totals = (
        sum(size.processors_milli for size in sizes),
        sum(size.memory_mb for size in sizes),
        sum(size.accelerators for size in sizes),
    )
    if totals != (endpoint.processors, endpoint.memory, endpoint.accelerators):
        raise errors.InvariantBrokenError(
            f"{name}: totals differ from the sizes of its tasks"
        )
    if endpoint.exceeds_capacity() and not endpoint.shrunk:
        raise errors.InvariantBrokenError(f"{name} is overcommitted")
