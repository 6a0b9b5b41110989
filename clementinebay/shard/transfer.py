"""Hand-over of tasks between two shards, keyed by the part's name.

A library part: it needs two `ShardLog`s and no daemon.  Any number of writers may try
the same hand-over; the part is submitted once, however long one of them sleeps.
"""

from clementinebay.shard.log import split
from clementinebay.shard.wire import ttypes as wire


async def deliver(source, target, domain):
    """Submit the outbox of ``source`` to ``target``; return how many parts arrived.

    ``domain`` is the source's name and ``target.domain`` the one that parcels must
    name.  The target is read first, then the source, and the write is pinned to what
    was read of the target.  So a parcel that another writer delivered in the meantime,
    and whose job may even be forgotten by now, is not submitted again.  Raises
    `LogConflictError` and `PlatformError`; the call may then be repeated.
    """
    await target.catch_up()
    after = target.state.index
    known = set(target.state.jobs)
    await source.catch_up()
    parcels = [p for p in source.state.outbox.values() if p.target == target.domain]
    records = [
        wire.Record(submit=wire.Submit(parcel.spec, parcel.checkpoint, domain))
        for parcel in parcels
        if parcel.spec.id not in known
    ]
    for part in split(records):
        _raise_first(await target.append(part, after))
        after = target.state.index
    taken = [p.spec.id for p in parcels]
    for part in split([wire.Record(moved=wire.Moved(name)) for name in taken]):
        await source.append(part)
    return len(taken)


def _raise_first(refusals):
    for refusal in refusals:
        if refusal is not None:
            raise refusal


async def may_forget(source, part):
    """Return whether the shard that moved ``part`` away will not deliver it again."""
    await source.catch_up()
    return part not in source.state.outbox
