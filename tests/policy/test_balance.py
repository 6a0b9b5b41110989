from hypothesis import given
from hypothesis import strategies as st

from clementinebay.policy import balance, planner
from clementinebay.shard.state import State
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory


def moves(state, targets):
    found = []
    for record in balance.move_records(state, targets, "n", 1.0):
        state.apply(record)
        found.append(record.move)
    state.check()
    return found


def counts(found):
    total = {}
    for move in found:
        total[move.target] = total.get(move.target, 0) + move.count
    return total


def test_domain_that_is_out_moves_everything_urgent_jobs_first():
    state = State()
    factory.submit(state, "minutes", 30)
    factory.submit(state, "crew", 2, urgency=wire.Urgency.URGENT)
    state.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    found = moves(state, {"b": factory.fleet(2), "c": factory.fleet(1)})
    assert found[0].job == "crew"
    assert sum(counts(found).values()) == 32
    assert counts(found)["b"] > counts(found)["c"]


def test_domain_that_is_in_moves_only_tasks_that_do_not_fit_at_a_bounded_rate():
    state = factory.fleet(1)
    factory.submit(state, "minutes", 40)
    found = moves(state, {"b": factory.fleet(4), "c": State()})
    assert counts(found) == {"b": 8}
    state = factory.fleet(1)
    for number in range(20):
        factory.submit(state, f"job-{number}", 5)
    assert counts(moves(state, {"b": factory.fleet(4), "c": State()})) == {"b": 8}
    factory.submit(state, "more", 1)
    assert not moves(state, {"b": State(), "c": State()})


def test_endpoint_that_shrank_below_its_tasks_does_not_hide_room_elsewhere():
    state = factory.fleet(1)
    factory.submit(state, "held", 8)
    factory.bind_all(state, planner.plan(state, 1.0, 5.0))
    state.apply(factory.seen("e-000", processors=2000))
    state.apply(factory.seen("e-001", processors=8000))
    factory.submit(state, "minutes", 10)
    [(job, count)] = balance.surplus(state)
    assert (job.spec.id, count) == ("minutes", 2)


def test_target_that_is_out_or_has_waiting_tasks_gets_nothing():
    state = factory.fleet(1)
    factory.submit(state, "minutes", 40)
    busy, out = factory.fleet(1), factory.fleet(1)
    factory.submit(busy, "own", 8)
    out.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    assert not moves(state, {"b": busy, "c": out})


def test_domain_that_came_back_fills_slowly_and_stays_full_of_short_tasks():
    sources = [factory.fleet(1), factory.fleet(1)]
    target = factory.fleet(3)
    for number, source in enumerate(sources):
        factory.submit(source, f"minutes-{number}", 500)
    starts = []
    for second in range(12):
        for number, source in enumerate(sources):
            others = {"c": target, "other": sources[1 - number]}
            nonce = f"{number}-{second}"
            for record in balance.move_records(source, others, nonce, 1.0):
                source.apply(record)
                spec = source.outbox.pop(record.move.part).spec
                target.apply(wire.Record(submit=wire.Submit(spec)))
        plan = planner.plan(target, 1.0, 5.0)
        starts.append(len(factory.bind_all(target, plan)))
        used = sum(endpoint.processors for endpoint in target.endpoints.values())
        finish(target, 5)
    assert max(starts) <= 12
    assert used >= 0.9 * 24_000


def finish(state, count):
    held = sorted(key for e in state.endpoints.values() for key in e.held)
    for name, index in held[:count]:
        attempt = state.jobs[name].tasks[index].attempt
        done = wire.Finish(name, index, attempt, wire.Outcome.DONE, "", 1.0)
        state.apply(wire.Record(finish=done))


@given(
    st.lists(st.tuples(st.integers(1, 50), st.sampled_from((500, 3000))), max_size=6),
    st.lists(st.integers(0, 3), min_size=1, max_size=3),
    st.booleans(),
)
def test_every_move_is_accepted_and_fits_unless_the_domain_is_out(jobs, sizes, out):
    state = factory.fleet(1)
    for number, (count, processors) in enumerate(jobs):
        factory.submit(state, f"j-{number}", count, processors=processors)
    if out:
        state.apply(wire.Record(domain_state=wire.DomainState(True, 1)))
    targets = {f"t-{n}": factory.fleet(size) for n, size in enumerate(sizes)}
    found = moves(state, targets)
    if out:
        assert not any(planner.waiting_count(job) for job in state.jobs.values())
        return
    for name, target in targets.items():
        load = sum(
            move.count * state.jobs[move.job].spec.size.processors_milli
            for move in found
            if move.target == name
        )
        assert load <= 8000 * len(target.endpoints)
