import random

from clementinebay.policy import colocation, placement, planner
from clementinebay.policy.interference import InterferenceModel, Observation
from clementinebay.policy.usage import History, Usage
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory

LAG = 2.0


def learned(weights):
    """Return a model that learned the true ``weights`` from noisy reports."""
    model, rng = InterferenceModel(), random.Random(7)
    for _report in range(300):
        cores = {kind: float(rng.randint(0, 4)) for kind in weights}
        true = 1.0 + sum(weights[kind] * c for kind, c in cores.items())
        seconds = 0.020 * true * rng.uniform(0.95, 1.05)
        model.observe(Observation("call-in", 50, seconds, cores))
    return model


def colocated(noisy=4):
    """Return two endpoints: one with a service and ``noisy`` tasks, one free."""
    state = factory.fleet(count=2)
    factory.submit(state, "call-in", 1, workload=factory.SERVICE)
    factory.submit(state, "noisy", noisy)
    binds = [wire.Bind("call-in", 0, 1, "e-000", 1e9, 1.0)]
    binds += [wire.Bind("noisy", i, 1, "e-000", 1e9, 1.0) for i in range(noisy)]
    plan = planner.Plan()
    plan.binds = binds
    factory.bind_all(state, plan)
    return state


def run(state, model, usage, seconds, mixes=None):
    """Decide twice a second and apply the throttles; return all decisions."""
    trackers, found = {}, []
    mixes = mixes or colocation.MixCache()
    for step in range(round(seconds * 2)):
        decision = colocation.decide(
            state, model, mixes, usage, trackers, step / 2, LAG
        )
        for throttle in decision.throttles:
            key = (throttle.job, throttle.index, throttle.attempt)
            usage.throttled(throttle.endpoint, key, throttle.share)
        found.append(decision)
    return found


def test_weights_are_learned():
    model = learned({"noisy": 0.2, "quiet": 0.0})
    assert abs(model.weight("call-in", "noisy") - 0.2) < 0.05
    assert model.weight("call-in", "quiet") < 0.05


def test_throttling_is_tried_first_and_does_not_oscillate():
    state, model, usage = colocated(), learned({"noisy": 0.1}), Usage()
    decisions = run(state, model, usage, 60)
    assert decisions[0].throttles
    assert not any(decision.records for decision in decisions)
    assert sum(bool(decision.throttles) for decision in decisions) <= 2
    found = colocation.MixCache().get(state, state.endpoints["e-000"], usage)
    assert model.slowdown("call-in", found.cores) <= colocation.ACTION_SLOWDOWN


def test_tasks_are_moved_if_throttling_is_not_enough():
    state, usage = colocated(noisy=6), Usage()
    model = learned({"noisy": 0.3})
    records = [r for decision in run(state, model, usage, 20) for r in decision.records]
    assert {record.release.reason for record in records} == {colocation.MOVE}


def test_tasks_are_evicted_if_they_fit_on_no_other_endpoint():
    state, usage = colocated(noisy=6), Usage()
    state.endpoints["e-001"].seen.leaving = True
    model = learned({"noisy": 0.3})
    records = [r for decision in run(state, model, usage, 20) for r in decision.records]
    assert {record.release.reason for record in records} == {colocation.EVICT}


def test_placement_keeps_a_noisy_kind_away_from_the_service():
    state, usage = colocated(noisy=0), Usage()
    factory.submit(state, "more-noise", 12)
    state.jobs["more-noise"].spec.kind = "noisy"
    pressure = colocation.Pressure(
        state, learned({"noisy": 0.3}), colocation.MixCache(), usage
    )
    plan = planner.plan(state, 1.0, 4.0, placement.Balanced(pressure))
    chosen = [bind.endpoint for bind in plan.binds]
    assert chosen.count("e-001") == 8
    assert chosen.count("e-000") <= 2


def test_history_returns_the_mean_over_an_interval():
    history = History()
    history.record_cores("e", {"noisy": 1.0}, 10.0)
    history.record_cores("e", {"noisy": 3.0}, 20.0)
    assert history.mean("e", 11.0, 12.0) == {"noisy": 1.0}
    assert history.mean("e", 19.0, 21.0) == {"noisy": 2.0}
    assert history.mean("e", 5.0, 6.0) is None
