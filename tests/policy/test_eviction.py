from clementinebay.policy import eviction, planner, quota
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory

NOW = 100.0


def full_fleet():
    """Return two endpoints full of batch tasks; those on e-001 started later."""
    state = factory.fleet(count=2)
    factory.submit(state, "minutes", 16)
    for index in range(16):
        endpoint, at = ("e-000", 10.0) if index < 8 else ("e-001", 90.0)
        bind = wire.Bind("minutes", index, 1, endpoint, 1e9, at)
        state.apply(wire.Record(bind=bind))
    return state


def releases(state, saved_at=None, ledger=None):
    plan = planner.plan(state, NOW, NOW + 3)
    return eviction.release_records(
        state,
        plan.unplaced,
        NOW,
        saved_at or {},
        lambda _n: False,
        ledger or quota.Ledger(),
    )


def indexes(records):
    return sorted(record.release.index for record in records)


def test_urgent_task_evicts_the_tasks_that_lose_the_least_work():
    state = full_fleet()
    factory.submit(state, "crew", 1, processors=2000, urgency=wire.Urgency.URGENT)
    assert indexes(releases(state)) == [8, 9]
    saved = {("minutes", index, 1): 99.0 for index in (3, 4)}
    assert indexes(releases(state, saved)) == [3, 4]


def test_capacity_of_tasks_being_stopped_is_counted():
    state = full_fleet()
    factory.submit(state, "crew", 2, processors=2000, urgency=wire.Urgency.URGENT)
    first = releases(state)
    assert len(first) == 4
    for record in first:
        state.apply(record)
    assert not releases(state)


def test_normal_tasks_and_teams_over_their_quota_evict_nothing():
    state = full_fleet()
    factory.submit(state, "more", 1, processors=2000)
    assert not releases(state)
    factory.submit(state, "crew", 1, processors=2000, urgency=wire.Urgency.URGENT)
    assert not releases(state, ledger=quota.Ledger({"t": (1000, None, None)}))
