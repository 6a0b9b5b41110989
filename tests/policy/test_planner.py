from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import placement, planner, quota
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory


def plan(state, **parts):
    return planner.plan(state, 1.0, 5.0, **parts)


def test_replicas_spread_over_racks_and_endpoints():
    state = factory.fleet(count=6, racks=3)
    factory.submit(state, "call-in", 3, workload=factory.SERVICE)
    chosen = factory.bind_all(state, plan(state))
    assert len({state.endpoints[name].seen.rack for name in chosen}) == 3


def test_accelerators_are_kept_free_for_tasks_that_need_them():
    state = factory.fleet(count=2)
    state.apply(factory.seen("gpu", accelerators=4))
    factory.submit(state, "minutes", 6)
    assert "gpu" not in factory.bind_all(state, plan(state))


def test_urgent_job_is_planned_first_and_does_not_block_smaller_tasks():
    state = factory.fleet(count=1)
    factory.submit(state, "small", 8)
    factory.submit(state, "large", 2, processors=6000, urgency=wire.Urgency.URGENT)
    found = plan(state)
    assert [bind.job for bind in found.binds] == ["large", "small", "small"]
    assert [candidate.job.spec.id for candidate in found.unplaced] == [
        "large",
        "small",
    ]


def test_quota_limits_only_its_own_team():
    state = factory.fleet(count=2)
    factory.submit(state, "minutes", 6)
    ledger = quota.Ledger({"t": (3000, None, None)})
    assert len(plan(state, ledger=ledger).binds) == 3
    ledger = quota.Ledger({"other": (1000, None, None)})
    assert len(plan(state, ledger=ledger).binds) == 6


def test_nothing_is_bound_after_the_lease_deadline_or_in_a_domain_that_is_out():
    state = factory.fleet()
    factory.submit(state, "minutes", 6)
    assert not planner.plan(state, 5.0, 5.0).binds
    state.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    assert not plan(state).binds


@given(
    jobs=st.lists(
        st.tuples(
            st.integers(1, 9),
            st.sampled_from((100, 700, 2500, 9000)),
            st.sampled_from(list(wire.Urgency._VALUES_TO_NAMES)),
            st.sampled_from((wire.Workload.SERVICE, wire.Workload.BATCH)),
        ),
        max_size=12,
    ),
    policy=st.sampled_from(sorted(placement.POLICIES)),
)
def test_all_bindings_are_accepted_and_no_task_that_fits_is_left(jobs, policy):
    state = factory.fleet(count=5)
    for number, (count, processors, urgency, workload) in enumerate(jobs):
        factory.submit(
            state,
            f"j-{number}",
            count,
            processors=processors,
            urgency=urgency,
            workload=workload,
        )
    factory.bind_all(state, plan(state, policy=placement.POLICIES[policy]()))
    state.check()
    for job in planner.queue(state):
        assert not any(e.fits(job.spec.size) for e in state.endpoints.values())


@given(st.integers(0, 10**6), st.integers(1, 9))
def test_shares_of_a_quota_add_up(amount, count):
    domains = [f"d-{number}" for number in range(count)]
    parts = [quota.share(amount, domain, domains) for domain in domains]
    assert sum(parts) == amount
    assert max(parts) - min(parts) <= 1
