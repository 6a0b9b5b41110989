"""Derives records about a shard's endpoints from the live list and configuration."""

from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire


def endpoint_record(vm):
    """Return the `EndpointSeen` record of the endpoint on ``vm``."""
    size = wire.Resources(vm.processors_milli, vm.memory_mb, vm.accelerators)
    return wire.EndpointSeen(
        vm.id, vm.address, vm.rack, size, vm.slots, vm.connections, vm.leaving
    )


def domain_records(state, document, domain):
    """Return the record that takes ``domain`` out or back in, if operators changed it.

    The record carries the revision of the domain's own section, so that a scheduler
    with an older document cannot revert a newer change.
    """
    ref = document.head.sections.get(f"domain:{domain}")
    revision = ref.revision if ref else document.revision
    out = document.domain_out(domain)
    if revision <= state.revision or (out == state.out and ref is None):
        return []
    return [wire.Record(domain_state=wire.DomainState(out, revision))]


def endpoint_records(state, vms, now, free_at):
    """Return records for endpoints that are new, changed, leaving or lost.

    ``vms`` are the domain's endpoints on the live list.  ``free_at`` is the time at
    which all leases granted before ``now`` have expired.  It is recorded for a lost
    endpoint only once its bar is in the state, since renewals are possible until then.
    """
    records = []
    back = set()
    listed = {vm.id: endpoint_record(vm) for vm in vms}
    for name, record in listed.items():
        known = state.endpoints.get(name)
        new = known is None or known.lost or known.seen != record
        if new and not (known and _has_other_address(known, record)):
            records.append(wire.Record(endpoint_seen=record))
            back.add(name)
    for name, endpoint in state.endpoints.items():
        if endpoint.lost:
            if not endpoint.free_at and name not in back:
                lost = wire.EndpointLost(name, free_at, endpoint.barred, now)
                records.append(wire.Record(endpoint_lost=lost))
        elif name not in listed or _has_other_address(endpoint, listed[name]):
            lost = wire.EndpointLost(name, at=now)
            records.append(wire.Record(endpoint_lost=lost))
    return records


def comparison_key(state):
    """Return the values of the state on which `endpoint_records` depends."""
    return [
        (
            known.seen,
            known.lost,
            known.free_at,
            known.barred,
            _blocks_new_address(known),
        )
        for known in state.endpoints.values()
    ]


def _blocks_new_address(endpoint):
    """Return whether a lost endpoint cannot return with another address yet."""
    return endpoint.lost and bool(endpoint.held)


def _has_other_address(endpoint, record):
    """Return whether tasks are bound to an earlier VM with the same endpoint id."""
    return bool(endpoint.held) and endpoint.seen.address != record.address


def expired_records(state, now, skew):
    """Return releases of bindings whose leases have expired.

    ``skew`` is the largest difference between clocks.
    """
    records = []
    for endpoint in state.endpoints.values():
        if not endpoint.free_at or now <= endpoint.free_at:
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
    """Return releases of the tasks that must leave their endpoint.

    These are all tasks if the domain is out, those on endpoints that are leaving, and
    the newest ones on endpoints that hold more than their reduced capacity.
    """
    records = []
    for endpoint in state.endpoints.values():
        reason = _release_reason(state, endpoint)
        if reason:
            held = [(state.jobs[name], index) for name, index in endpoint.held]
            records += _release_all(endpoint, held, reason)
        elif endpoint.shrunk:
            records += _release_all(
                endpoint, _excess_tasks(state, endpoint), "capacity"
            )
    return records


def _release_reason(state, endpoint):
    if state.out:
        return "domain-out"
    return "endpoint-leaving" if endpoint.seen.leaving else ""


def _release_all(endpoint, held, reason):
    records = []
    for job, index in sorted(held, key=lambda item: (item[0].spec.id, item[1])):
        task = job.tasks[index]
        if task.phase != Phase.STOPPING:
            release = wire.Release(job.spec.id, index, task.attempt, reason)
            records.append(wire.Record(release=release))
    return records


def _excess_tasks(state, endpoint):
    """Return [(job, index)] of the tasks to stop, least urgent and newest first."""
    held = [(state.jobs[name], index) for name, index in endpoint.held]
    held.sort(
        key=lambda item: (
            item[0].tasks[item[1]].phase != Phase.STOPPING,
            item[0].spec.workload == wire.Workload.SERVICE,
            item[0].spec.urgency,
            -item[0].tasks[item[1]].bound_at,
        )
    )
    excess = []
    processors = memory = accelerators = 0
    for job, index in held:
        if not endpoint.exceeds_capacity(-processors, -memory, -accelerators):
            break
        processors += job.spec.size.processors_milli
        memory += job.spec.size.memory_mb
        accelerators += job.spec.size.accelerators
        excess.append((job, index))
    return excess
