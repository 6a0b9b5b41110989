from clementinebay.registry import JobRegistry, Part, Plan
from clementinebay.services.retention import Retention
from clementinebay.shard.log import ShardLog
from clementinebay.shard.wire import ttypes as wire
from tests.services.fakes import Fake, FakeKernel
from tests.shard import factory

#: Longer than the retention of ended jobs, in seconds.
PAST_RETENTION = 10 * 86_400.0


def open_retention(store, clock, log, source=None):
    service = Retention(FakeKernel(clock))
    service.registry = JobRegistry(store)
    service.shard = Fake(
        log=log, state=log.state, append=log.append, log_of=lambda _domain: source
    )
    return service


async def end_job(log, clock, source=""):
    """Submit job "minutes" and cancel the part, which ends it."""
    submit = wire.Record(submit=wire.Submit(factory.spec(), "", source))
    cancel = wire.Record(cancel=wire.Cancel("minutes", clock.now()))
    assert await log.append([submit, cancel]) == [None, None]


async def test_plan_is_closed_before_a_job_is_removed(store, clock):
    log = ShardLog(store, "d", "w", clock)
    await end_job(log, clock)
    plan = Plan("minutes", "digest", [Part("minutes", "d", 0, 3)])
    service = open_retention(store, clock, log)
    await service.registry.claim(plan)
    await service.forget()
    assert "minutes" in log.state.jobs
    clock.advance(PAST_RETENTION)
    await service.forget()
    assert "minutes" not in log.state.jobs
    assert (await service.registry.find("minutes")).closed == ["minutes"]


async def test_part_is_kept_while_its_source_may_deliver_it_again(store, clock):
    log, source = (ShardLog(store, name, "w", clock) for name in "ds")
    move = wire.Move("origin", 0, 3, "d", "minutes", clock.now())
    await source.append([factory.submit("origin"), wire.Record(move=move)])
    await end_job(log, clock, "s")
    clock.advance(PAST_RETENTION)
    service = open_retention(store, clock, log, source)
    await service.forget()
    assert "minutes" in log.state.jobs
    await source.append([wire.Record(moved=wire.Moved("minutes"))])
    await service.forget()
    assert "minutes" not in log.state.jobs
