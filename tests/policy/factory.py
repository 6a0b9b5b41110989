from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory

SERVICE = wire.Workload.SERVICE


def seen(name, rack="r-0", processors=8000, memory=8000, accelerators=0):
    size = wire.Resources(processors, memory, accelerators)
    address = "127.0.0.1:1"
    return wire.Record(endpoint_seen=wire.EndpointSeen(name, address, rack, size))


def fleet(count=4, racks=2, **size):
    state = State()
    for number in range(count):
        state.apply(seen(f"e-{number:03d}", f"r-{number % racks}", **size))
    return state


def submit(state, name, count=1, **fields):
    state.apply(factory.submit(name, count, **fields))


def bind_all(state, plan):
    for bind in plan.binds:
        state.apply(wire.Record(bind=bind))
        state.apply(
            wire.Record(started=wire.Started(bind.job, bind.index, bind.attempt))
        )
    return [bind.endpoint for bind in plan.binds]
