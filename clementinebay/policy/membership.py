"""What the live list and the configuration mean for a shard's endpoints."""

from clementinebay.shard.state import HOLDING, Phase
from clementinebay.shard.wire import ttypes as wire


def seen(vm):
    """Return the record of endpoint ``vm``."""
    size = wire.Resources(vm.processors_milli, vm.memory_mb, vm.accelerators)
    return wire.EndpointSeen(
        vm.id, vm.address, vm.rack, size, vm.slots, vm.connections, vm.leaving
    )


def endpoint_records(state, vms, now, free_at):
    """Return records for endpoints that are new, changed, leaving or gone.

    ``vms`` are the domain's endpoints on the live list; ``free_at`` is when the leases
    of an endpoint that is gone have surely run out.
    """
    records = []
    listed = {vm.id: seen(vm) for vm in vms}
    for name, record in listed.items():
        known = state.endpoints.get(name)
        if known is None or known.lost or known.seen != record:
            records.append(wire.Record(endpoint_seen=record))
    for name, endpoint in state.endpoints.items():
        if name not in listed and not endpoint.lost:
            records.append(wire.Record(endpoint_lost=wire.EndpointLost(name, free_at)))
    return records


def expired_records(state, now, skew):
    """Return releases of bindings whose leases have surely run out."""
    records = []
    for endpoint in state.endpoints.values():
        if not endpoint.lost or now <= endpoint.free_at:
            continue
        for name, index in sorted(endpoint.held):
            task = state.jobs[name].tasks[index]
            if now > task.lease_deadline + skew:
                released = wire.Released(
                    name, index, task.attempt, wire.Evidence.EXPIRED, now
                )
                records.append(wire.Record(released=released))
    return records


def release_records(state):
    """Return releases of what must leave: all if the domain is out, or a leaver's."""
    records = []
    for name, job in state.jobs.items():
        for task in job.tasks.values():
            if task.phase not in HOLDING or task.phase == Phase.STOPPING:
                continue
            leaving = state.endpoints[task.endpoint].seen.leaving
            if state.out or leaving:
                reason = "domain-out" if state.out else "endpoint-leaving"
                release = wire.Release(name, task.index, task.attempt, reason)
                records.append(wire.Record(release=release))
    return records
