"""Estimates of the headroom that fillers take, and the pacing based on them."""

import math
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebay.policy import dispatch, pacing, pressure
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from tests.workflow import factory

BOUND = 18.0
SERVICE_MS = 4.0
PROCESSORS = 32000
#: Utilization that a filler on all processors adds, by (replica image, filler image).
TRUE_WEIGHTS = {("r1", "f1"): 1.6, ("r2", "f2"): 1.2, ("r2", "f3"): 1.4}
OTHER_WEIGHT = 0.1


def make_replicas(engine, endpoint, image, count=1, processors=2000):
    """Place the replicas of a new job on ``endpoint``; return the job."""
    step = Step(
        count=count,
        processors_milli=processors,
        replica=True,
        image=image,
        latency_ms=BOUND,
    )
    return place(engine, endpoint, step, percent=100)


def make_filler(engine, endpoint, image, processors=3200):
    """Place a new filler on ``endpoint``; return its task."""
    step = Step(
        count=1,
        processors_milli=processors,
        filler=True,
        image=image,
        checkpoints=True,
    )
    return place(engine, endpoint, step, percent=50).task(0, 0)


def place(engine, endpoint, step, percent):
    spec = factory.make_spec(id=f"{random.getrandbits(64):016x}", steps=[step])
    job = engine.add_job(spec, factory.QUEUE, 0.0)
    for index in range(step.count):
        task = job.task(0, index)
        task.place(endpoint, 1, TaskState.RUNNING, -10.0)
        task.percent = percent
    return job


def make_endpoint(engine, id="e1"):
    return factory.connect_endpoint(
        engine, factory.make_info(id, processors_milli=PROCESSORS)
    )


def set_readings(endpoint, load=0.42, weights=TRUE_WEIGHTS):
    """Set the readings that follow from ``weights`` by the waiting time of a queue."""
    fillers = endpoint.filler_tasks()
    for task in fillers:
        task.measurement = task.step.processors_milli * task.pace / 100
    for task in endpoint.replica_tasks():
        used = load(task.job) if callable(load) else load
        for filler in fillers:
            weight = weights.get((task.step.image, filler.step.image), OTHER_WEIGHT)
            used += weight * filler.measurement / PROCESSORS
        task.measurement = round(SERVICE_MS / max(0.02, 1 - used))


def learn(rounds=400):
    """Return a `Pressure` after readings with varied fillers and loads."""
    rng = random.Random(1)
    engine = factory.make_engine()
    endpoints = [make_endpoint(engine, f"e{number}") for number in range(8)]
    for endpoint in endpoints:
        for image in ("r1", "r2"):
            make_replicas(engine, endpoint, image)
    for step in range(rounds // 8):
        now = step * 0.5
        load = 0.42 + 0.2 * math.sin(now / 1.6)
        for endpoint in endpoints:
            for task in endpoint.filler_tasks():
                task.unplace(0.0)
            for image in rng.sample(["f1", "f2", "f3", "f4"], rng.randint(1, 3)):
                make_filler(engine, endpoint, image)
            set_readings(endpoint, load)
            engine.pressure.observe(endpoint, now)
    return engine.pressure


def test_learns_weights_from_mixed_readings():
    learned = learn()
    for replica in ("r1", "r2"):
        for filler in ("f1", "f2", "f3", "f4"):
            true = (
                TRUE_WEIGHTS.get((replica, filler), OTHER_WEIGHT) * BOUND / SERVICE_MS
            )
            assert learned.weight(replica, filler) == pytest.approx(true, abs=1.0)


def test_level_measured_at_one_endpoint_applies_to_all_replicas_of_the_job():
    """Replicas of one job share the load of their clients."""
    engine = factory.make_engine()
    first, second = make_endpoint(engine, "e1"), make_endpoint(engine, "e2")
    job = make_replicas(engine, first, "r1", count=2)
    task = job.task(0, 1)
    task.unplace(0.0)
    task.place(second, 1, TaskState.RUNNING, -10.0)
    for tick in range(20):
        set_readings(first, 0.6)
        engine.pressure.observe(first, tick * 0.5)
    assert engine.pressure.levels[job.id].value == pytest.approx(1.8, abs=0.15)
    [(image, headroom)] = engine.pressure.headroom_by_image(second)
    assert image == "r1"
    assert headroom < 0.8


def test_falling_level_is_extrapolated():
    level = pressure.Level(3.0, 0.0)
    for tick in range(1, 11):
        level.advance(tick * 0.2)
        level.value = 3.0 - tick * 0.1
    assert level.predicted() < level.value - 0.15


def test_unchanged_reading_does_not_update_the_estimates():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    make_replicas(engine, endpoint, "r1")
    make_filler(engine, endpoint, "f1")
    set_readings(endpoint)
    engine.pressure.observe(endpoint, 0.0)
    set_readings(endpoint, 0.5)
    engine.pressure.observe(endpoint, 0.5)
    before = engine.pressure.export()
    engine.pressure.observe(endpoint, 0.6)
    assert engine.pressure.export() == before


def test_young_replicas_are_not_measured():
    """Their first reading covers time before they started."""
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    make_replicas(engine, endpoint, "r1")
    set_readings(endpoint)
    assert pressure.measured_headroom(endpoint, -9.9) == {}
    assert pressure.measured_headroom(endpoint, 0.0) != {}


def test_truncated_tails_do_not_lower_weights():
    """A truncated tail understates how much headroom the fillers take."""
    learned = pressure.Pressure()
    learned.weights["r1", "f1"] = pressure.Estimate(9.0, 1.0)
    learned.levels["job"] = pressure.Level(2.0, 0.0)
    learned.learn("job", "r1", 0.1, {"f1": 0.5}, 0.5)
    assert learned.weight("r1", "f1") == 9.0


def make_loaded_endpoint(engine, weight=7.0, count=3):
    """Return an endpoint with replicas and with fillers, of which f1 slows them."""
    endpoint = make_endpoint(engine)
    job = make_replicas(engine, endpoint, "r1")
    for image in ("f1", "f4"):
        known = weight if image == "f1" else 0.1
        engine.pressure.weights["r1", image] = pressure.Estimate(known, 0.05)
    engine.pressure.levels[job.id] = pressure.Level(1.8, 0.0)
    for image in ["f1"] * count + ["f4"]:
        make_filler(engine, endpoint, image)
    return endpoint


def test_fillers_with_the_largest_weight_are_slowed_only_as_far_as_needed():
    engine = factory.make_engine()
    endpoint = make_loaded_endpoint(engine)
    speeds = pacing.fit_speeds(endpoint.filler_tasks(), endpoint, engine.pressure)
    by_image = {"f1": 0.0, "f4": 0.0}
    for task, speed in speeds.items():
        by_image[task.step.image] += speed
    assert by_image["f4"] == 1.0
    headroom = 1.8 - pressure.MIN_HEADROOM
    assert by_image["f1"] == pytest.approx((headroom - 0.01) / 0.7, abs=0.01)


def test_filler_with_the_most_progress_is_slowed_last():
    engine = factory.make_engine()
    endpoint = make_loaded_endpoint(engine)
    tasks = [t for t in endpoint.filler_tasks() if t.step.image == "f1"]
    tasks[1].percent = 90
    speeds = pacing.fit_speeds(endpoint.filler_tasks(), endpoint, engine.pressure)
    assert max(tasks, key=speeds.get) is tasks[1]


@settings(deadline=None)
@given(
    levels=st.lists(st.floats(0.5, 4.5), min_size=1, max_size=4),
    fillers=st.lists(st.sampled_from(["f1", "f2", "f3"]), max_size=6),
    weights=st.lists(st.floats(0.0, 10.0), min_size=12, max_size=12),
)
def test_paces_leave_replicas_their_headroom(levels, fillers, weights):
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    for number, level in enumerate(levels):
        job = make_replicas(engine, endpoint, f"r{number}")
        engine.pressure.levels[job.id] = pressure.Level(level, 0.0)
        for index in range(3):
            known = pressure.Estimate(weights[number * 3 + index], 0.05)
            engine.pressure.weights[f"r{number}", f"f{index + 1}"] = known
    tasks = [make_filler(engine, endpoint, image) for image in fillers]
    speeds = pacing.fit_speeds(tasks, endpoint, engine.pressure)
    assert all(0.0 <= speed <= 1.0 for speed in speeds.values())
    for number, level in enumerate(levels):
        lost = sum(
            engine.pressure.weight(f"r{number}", task.step.image) * 0.1 * speed
            for task, speed in speeds.items()
        )
        assert lost <= max(0.0, level - pressure.MIN_HEADROOM) + 1e-6


def test_all_fillers_are_paused_if_a_replica_stays_over_its_bound():
    """This holds whatever the estimated weights are, since these may be wrong."""
    engine = factory.make_engine()
    endpoint = make_loaded_endpoint(engine, weight=0.0)
    state = pacing.Pacing()
    for task in endpoint.replica_tasks():
        task.measurement = 2 * BOUND
    assert pacing.decide(state, endpoint, engine.pressure, 0.0) == {}
    paces = pacing.decide(
        state, endpoint, engine.pressure, pacing.PAUSE_ALL_AFTER_SECONDS
    )
    assert paces == dict.fromkeys(endpoint.filler_tasks(), pacing.PAUSED)


def test_no_replica_stays_over_its_bound():
    """The platform allows 4 s without a break; readings come every half second."""
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    for image in ("r1", "r2"):
        make_replicas(engine, endpoint, image)
    for image in ("f1", "f2", "f4"):
        make_filler(engine, endpoint, image, processors=9000)
    over_since, longest, filler_work = None, 0.0, 0.0
    for tick in range(200):
        now = tick * 0.5
        set_readings(endpoint, 0.42 + 0.2 * math.sin(now / 1.6))
        over = any(task.measurement > BOUND for task in endpoint.replica_tasks())
        over_since = (over_since if over_since is not None else now) if over else None
        if over:
            longest = max(longest, now - over_since)
        filler_work += sum(task.pace for task in endpoint.filler_tasks()) / 300
        engine.pressure.observe(endpoint, now)
        engine.pace(endpoint, now)
        for task in endpoint.filler_tasks():
            task.state, task.paused_since = TaskState.RUNNING, None
    assert longest <= 3.0
    assert filler_work > 200 * 0.4


def test_small_changes_of_pace_are_not_ordered():
    assert not pacing.is_significant_change(50, 60)
    assert not pacing.is_significant_change(100, 100)
    assert pacing.is_significant_change(50, 70)
    assert pacing.is_significant_change(10, 0)
    assert pacing.is_significant_change(90, 100)
    assert pacing.is_significant_change(None, 100)


def choose(engine, image, endpoints, now=0.0):
    """Return the endpoint chosen for a new filler of ``image``, or ``None``."""
    step = Step(count=1, processors_milli=3200, filler=True, image=image)
    spec = factory.make_spec(id=f"{random.getrandbits(64):016x}", steps=[step])
    spec = msgspec.structs.replace(spec, accepted_at=engine.wall_clock.now())
    job = engine.add_job(spec, factory.QUEUE, 0.0)
    for endpoint in endpoints:
        endpoint.spare_headroom = engine.pressure.spare_headroom(endpoint)
    waits = dispatch.may_wait("s", endpoints)
    choice = dispatch.choose(job.task(0, 0), endpoints, engine.pressure, now, waits)
    return None if choice is None else choice.endpoint


def make_pair(engine):
    """Return two endpoints: f1 takes more headroom at the first."""
    pair = []
    for id, image, weight in (("e1", "r1", 7.0), ("e2", "r2", 0.5)):
        endpoint = make_endpoint(engine, id)
        job = make_replicas(engine, endpoint, image, processors=PROCESSORS // 2)
        engine.pressure.weights[image, "f1"] = pressure.Estimate(weight, 0.05)
        engine.pressure.levels[job.id] = pressure.Level(3.0, 0.0)
        pair.append(endpoint)
    return pair


def test_filler_is_placed_where_it_takes_little_headroom():
    engine = factory.make_engine()
    sensitive, other = make_pair(engine)
    assert choose(engine, "f1", [sensitive, other]) is other


def test_filler_of_a_new_job_waits_rather_than_take_much_headroom():
    engine = factory.make_engine()
    sensitive, _other = make_pair(engine)
    objective = factory.QUEUE.slack_ms / 1000
    assert choose(engine, "f1", [sensitive]) is None
    assert choose(engine, "f1", [sensitive], now=2 * objective) is sensitive


def test_filler_waits_if_no_headroom_is_left():
    engine = factory.make_engine()
    sensitive, _other = make_pair(engine)
    for _number in range(3):
        make_filler(engine, sensitive, "f1")
    assert choose(engine, "f1", [sensitive], now=60.0) is None


@pytest.mark.parametrize("share, waits", [(0.49, False), (0.5, True)])
def test_no_filler_waits_while_under_half_of_the_service_is_reserved(share, waits):
    """The platform requires every job to run while half of its capacity is free."""
    engine = factory.make_engine()
    pair = make_endpoint(engine, "e1"), make_endpoint(engine, "e2")
    for endpoint in pair:
        job = make_replicas(engine, endpoint, "r1", processors=int(PROCESSORS * share))
        engine.pressure.levels[job.id] = pressure.Level(1.0, 0.0)
    engine.pressure.weights["r1", "f1"] = pressure.Estimate(9.0, 0.05)
    assert (choose(engine, "f1", pair) is None) == waits


def test_exported_weights_are_loaded_by_the_next_scheduler():
    learned, successor = learn(80), pressure.Pressure()
    successor.load_weights(learned.export())
    for pair, weight in learned.weights.items():
        assert successor.weight(*pair) == pytest.approx(weight.value, abs=0.001)
    assert successor.weight("r1", "unseen") == pressure.DEFAULT_WEIGHT


def test_levels_of_ended_jobs_are_dropped():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    job = make_replicas(engine, endpoint, "r1")
    set_readings(endpoint)
    engine.pressure.observe(endpoint, 0.0)
    assert job.id in engine.pressure.levels
    engine.cancel(job.id)
    assert not engine.pressure.levels
