"""Transfer of tasks between two shards, idempotent by the id of the moved part.

Can be used without a daemon; needs only two `ShardLog`s.  Any number of writers may
attempt the same transfer; the part is submitted once, even if one of them is suspended
for any time in between.
"""

from clementinebay.shard.log import split
from clementinebay.shard.wire import ttypes as wire


async def deliver(source, target, domain):
    """Submit the outgoing parts for ``target``; return the number of parts delivered.

    ``domain`` is the name of the source's domain.  The target is read before the
    source, and the write succeeds only at the target's index that was read.  This
    prevents submitting again a part that another writer has delivered in the meantime
    and that the target may already have forgotten.

    Raises `LogConflictError` or `PlatformError`; the call may then be repeated.
    """
    await target.catch_up()
    after = target.state.index
    known = set(target.state.jobs)
    await source.catch_up()
    parts = [p for p in source.state.outbox.values() if p.target == target.domain]
    records = [
        wire.Record(submit=wire.Submit(part.spec, part.checkpoint, domain))
        for part in parts
        if part.spec.id not in known
    ]
    for batch in split(records):
        _raise_first(await target.append(batch, after))
        after = target.state.index
    delivered = [p.spec.id for p in parts]
    for batch in split([wire.Record(moved=wire.Moved(name)) for name in delivered]):
        await source.append(batch)
    return len(delivered)


def _raise_first(refusals):
    for refusal in refusals:
        if refusal is not None:
            raise refusal


async def may_forget(source, part):
    """Return whether ``part``, moved from ``source``, will not be submitted again."""
    await source.catch_up()
    return part not in source.state.outbox
