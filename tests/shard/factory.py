from clementinebay.shard.wire import ttypes as wire


def spec(name="minutes", count=3, processors=1000, **fields):
    fields.setdefault("workload", wire.Workload.BATCH)
    fields.setdefault("urgency", wire.Urgency.BATCH)
    return wire.JobSpec(
        id=name,
        team="t",
        kind=name,
        count=count,
        size=wire.Resources(processors, 100, 0),
        **fields,
    )


def submit(*args, **fields):
    return wire.Record(submit=wire.Submit(spec(*args, **fields)))


def endpoint(name="e-0", processors=2000, leaving=False, address="127.0.0.1:1"):
    size = wire.Resources(processors, 1000, 0)
    return wire.Record(
        endpoint_seen=wire.EndpointSeen(name, address, "r", size, 8, 64, leaving)
    )


def bind(job="minutes", index=0, attempt=1, name="e-0", deadline=10.0):
    return wire.Record(bind=wire.Bind(job, index, attempt, name, deadline, 0.0))


def finish(job="minutes", index=0, attempt=1, outcome=wire.Outcome.DONE):
    return wire.Record(finish=wire.Finish(job, index, attempt, outcome, "", 1.0))


def started(job="minutes", index=0, attempt=1):
    return wire.Record(started=wire.Started(job, index, attempt))


def release(job="minutes", index=0, attempt=1):
    return wire.Record(release=wire.Release(job, index, attempt, "test"))


def released(job="minutes", index=0, attempt=1, evidence=0, at=0.0, checkpoint=""):
    return wire.Record(
        released=wire.Released(job, index, attempt, evidence, at, checkpoint)
    )


def lose(state, name="e-0", free_at=0.0):
    """Bar an endpoint and record when its leases expire."""
    state.apply(wire.Record(endpoint_lost=wire.EndpointLost(name)))
    barred = state.endpoints[name].barred
    second = wire.EndpointLost(name, free_at, barred)
    state.apply(wire.Record(endpoint_lost=second))
