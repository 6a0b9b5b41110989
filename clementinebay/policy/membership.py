"""What the live list and the configuration mean for a shard's endpoints."""

from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire


def seen(vm):
    """Return the record of endpoint ``vm``."""
    size = wire.Resources(vm.processors_milli, vm.memory_mb, vm.accelerators)
    return wire.EndpointSeen(
        vm.id, vm.address, vm.rack, size, vm.slots, vm.connections, vm.leaving
    )


def domain_records(state, document, domain):
    """Return the record that takes ``domain`` out or in, if operators changed that.

    The record carries the revision of the domain's own section, so a scheduler with an
    older document cannot undo a newer change.
    """
    ref = document.head.sections.get(f"domain:{domain}")
    revision = ref.revision if ref else document.revision
    out = document.domain_out(domain)
    if revision <= state.revision or (out == state.out and ref is None):
        return []
    return [wire.Record(domain_state=wire.DomainState(out, revision))]


def endpoint_records(state, vms, now, free_at):
    """Return records for endpoints that are new, changed, leaving or gone.

    ``vms`` are the domain's endpoints on the live list.  ``free_at`` is when the leases
    that were granted before ``now`` have surely run out; it counts for endpoints whose
    bar was read, because only then nobody can grant more.
    """
    records = []
    back = set()
    listed = {vm.id: seen(vm) for vm in vms}
    for name, record in listed.items():
        known = state.endpoints.get(name)
        new = known is None or known.lost or known.seen != record
        if new and not (known and _moved(known, record)):
            records.append(wire.Record(endpoint_seen=record))
            back.add(name)
    for name, endpoint in state.endpoints.items():
        if endpoint.lost:
            if not endpoint.free_at and name not in back:
                lost = wire.EndpointLost(name, free_at, endpoint.barred, now)
                records.append(wire.Record(endpoint_lost=lost))
        elif name not in listed or _moved(endpoint, listed[name]):
            lost = wire.EndpointLost(name, at=now)
            records.append(wire.Record(endpoint_lost=lost))
    return records


def comparison_key(state):
    """Return what `endpoint_records` compares with the live list, as plain values."""
    return [
        (known.seen, known.lost, known.free_at, known.barred, _is_waited_for(known))
        for known in state.endpoints.values()
    ]


def _is_waited_for(endpoint):
    """Return whether a lost endpoint may not come back with another address yet."""
    return endpoint.lost and bool(endpoint.held)


def _moved(endpoint, record):
    """Return whether bindings hold the VM that had this endpoint's id before."""
    return bool(endpoint.held) and endpoint.seen.address != record.address


def expired_records(state, now, skew):
    """Return releases of bindings whose leases have surely run out."""
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
    """Return releases of what must leave.

    That is all if the domain is out, a leaver's, and the youngest of an endpoint that
    holds more than its new capacity.
    """
    records = []
    for endpoint in state.endpoints.values():
        reason = _reason(state, endpoint)
        if reason:
            held = [(state.jobs[name], index) for name, index in endpoint.held]
            records += _releases(endpoint, held, reason)
        elif endpoint.shrunk:
            records += _releases(endpoint, _excess(state, endpoint), "capacity")
    return records


def _reason(state, endpoint):
    if state.out:
        return "domain-out"
    return "endpoint-leaving" if endpoint.seen.leaving else ""


def _releases(endpoint, held, reason):
    records = []
    for job, index in sorted(held, key=lambda item: (item[0].spec.id, item[1])):
        task = job.tasks[index]
        if task.phase != Phase.STOPPING:
            release = wire.Release(job.spec.id, index, task.attempt, reason)
            records.append(wire.Record(release=release))
    return records


def _excess(state, endpoint):
    """Return (job, index) of what to stop: least urgent and youngest first."""
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
