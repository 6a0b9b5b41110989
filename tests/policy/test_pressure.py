"""Which fillers press which replicas, and what is done about it."""

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
#: Utilization that a filler on all processors adds, by (replica's, filler's image).
TRUTH = {("r1", "f1"): 1.6, ("r2", "f2"): 1.2, ("r2", "f3"): 1.4}
SLIGHT = 0.1


def make_replicas(engine, endpoint, image, count=1, processors=2000):
    """Put the replicas of a new job at ``endpoint``; return the job."""
    step = Step(
        count=count,
        processors_milli=processors,
        replica=True,
        image=image,
        latency_ms=BOUND,
    )
    return place(engine, endpoint, step, percent=100)


def make_filler(engine, endpoint, image, processors=3200):
    """Put a new filler at ``endpoint``; return its task."""
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


def read(endpoint, load=0.42, truth=TRUTH):
    """Set the readings that ``truth`` gives, by the waiting time of a queue."""
    fillers = endpoint.filler_tasks()
    for task in fillers:
        task.measurement = task.step.processors_milli * task.pace / 100
    for task in endpoint.replica_tasks():
        used = load(task.job) if callable(load) else load
        for filler in fillers:
            weight = truth.get((task.step.image, filler.step.image), SLIGHT)
            used += weight * filler.measurement / PROCESSORS
        task.measurement = round(SERVICE_MS / max(0.02, 1 - used))


def learn(rounds=400):
    """Return the `Pressure` that learned from varied fillers and loads."""
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
                task.unplace()
            for image in rng.sample(["f1", "f2", "f3", "f4"], rng.randint(1, 3)):
                make_filler(engine, endpoint, image)
            read(endpoint, load)
            engine.pressure.observe(endpoint, now)
    return engine.pressure


def test_learns_weights_from_mixed_readings():
    learned = learn()
    for replica in ("r1", "r2"):
        for filler in ("f1", "f2", "f3", "f4"):
            truth = TRUTH.get((replica, filler), SLIGHT) * BOUND / SERVICE_MS
            assert learned.weight(replica, filler) == pytest.approx(truth, abs=1.0)


def test_level_is_known_where_no_filler_stands_from_other_endpoints():
    """Replicas of one job share their clients' load."""
    engine = factory.make_engine()
    first, second = make_endpoint(engine, "e1"), make_endpoint(engine, "e2")
    job = make_replicas(engine, first, "r1", count=2)
    task = job.task(0, 1)
    task.unplace()
    task.place(second, 1, TaskState.RUNNING, -10.0)
    for tick in range(20):
        read(first, 0.6)
        engine.pressure.observe(first, tick * 0.5)
    assert engine.pressure.levels[job.id].value == pytest.approx(1.8, abs=0.15)
    [(image, room)] = engine.pressure.headroom_by_image(second)
    assert image == "r1"
    assert room < 0.8


def test_falling_level_is_followed_ahead():
    level = pressure.Level(3.0, 0.0)
    for tick in range(1, 11):
        level.pass_time(tick * 0.2)
        level.value = 3.0 - tick * 0.1
    assert level.ahead() < level.value - 0.15


def test_same_reading_is_not_learned_from_twice():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    make_replicas(engine, endpoint, "r1")
    make_filler(engine, endpoint, "f1")
    read(endpoint)
    engine.pressure.observe(endpoint, 0.0)
    read(endpoint, 0.5)
    engine.pressure.observe(endpoint, 0.5)
    before = engine.pressure.export()
    engine.pressure.observe(endpoint, 0.6)
    assert engine.pressure.export() == before


def test_young_replicas_are_not_measured():
    """Their tail covers a time in which they were not at work."""
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    make_replicas(engine, endpoint, "r1")
    read(endpoint)
    assert pressure.measured(endpoint, -9.9) == {}
    assert pressure.measured(endpoint, 0.0) != {}


def test_cut_off_tails_do_not_lower_weights():
    """A tail that is cut off would make the pressure look smaller than it is."""
    learned = pressure.Pressure()
    learned.weights["r1", "f1"] = pressure.Estimate(9.0, 1.0)
    learned.levels["job"] = pressure.Level(2.0, 0.0)
    learned.learn("job", "r1", 0.1, {"f1": 0.5}, 0.5)
    assert learned.weight("r1", "f1") == 9.0


def make_pressed(engine, weight=7.0, count=3):
    """Return an endpoint with replicas that fillers of image f1 press."""
    endpoint = make_endpoint(engine)
    job = make_replicas(engine, endpoint, "r1")
    for image in ("f1", "f4"):
        known = weight if image == "f1" else 0.1
        engine.pressure.weights["r1", image] = pressure.Estimate(known, 0.05)
    engine.pressure.levels[job.id] = pressure.Level(1.8, 0.0)
    for image in ["f1"] * count + ["f4"]:
        make_filler(engine, endpoint, image)
    return endpoint


def test_fillers_that_press_most_are_slowed_as_far_as_needed():
    engine = factory.make_engine()
    endpoint = make_pressed(engine)
    speeds = pacing.fit(endpoint.filler_tasks(), endpoint, engine.pressure)
    by_image = {"f1": 0.0, "f4": 0.0}
    for task, speed in speeds.items():
        by_image[task.step.image] += speed
    assert by_image["f4"] == 1.0
    room = 1.8 - pressure.KEPT_HEADROOM
    assert by_image["f1"] == pytest.approx((room - 0.01) / 0.7, abs=0.01)


def test_run_that_is_furthest_goes_on():
    engine = factory.make_engine()
    endpoint = make_pressed(engine)
    tasks = [t for t in endpoint.filler_tasks() if t.step.image == "f1"]
    tasks[1].percent = 90
    speeds = pacing.fit(endpoint.filler_tasks(), endpoint, engine.pressure)
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
    speeds = pacing.fit(tasks, endpoint, engine.pressure)
    assert all(0.0 <= speed <= 1.0 for speed in speeds.values())
    for number, level in enumerate(levels):
        lost = sum(
            engine.pressure.weight(f"r{number}", task.step.image) * 0.1 * speed
            for task, speed in speeds.items()
        )
        assert lost <= max(0.0, level - pressure.KEPT_HEADROOM) + 1e-6


def test_replica_over_its_bound_for_long_has_all_fillers_paused():
    """Whatever was learned: something unknown may press."""
    engine = factory.make_engine()
    endpoint = make_pressed(engine, weight=0.0)
    state = pacing.Pacing()
    for task in endpoint.replica_tasks():
        task.measurement = 2 * BOUND
    assert pacing.decide(state, endpoint, engine.pressure, 0.0) == {}
    every = pacing.decide(state, endpoint, engine.pressure, pacing.ALL_AFTER_SECONDS)
    assert every == dict.fromkeys(endpoint.filler_tasks(), pacing.PAUSED)


def test_no_replica_is_over_its_bound_for_long():
    """The bound of the platform is 4 s on end; readings come every half second."""
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    for image in ("r1", "r2"):
        make_replicas(engine, endpoint, image)
    for image in ("f1", "f2", "f4"):
        make_filler(engine, endpoint, image, processors=9000)
    over_since, longest, worked = None, 0.0, 0.0
    for tick in range(200):
        now = tick * 0.5
        read(endpoint, 0.42 + 0.2 * math.sin(now / 1.6))
        over = any(task.measurement > BOUND for task in endpoint.replica_tasks())
        over_since = (over_since if over_since is not None else now) if over else None
        if over:
            longest = max(longest, now - over_since)
        worked += sum(task.pace for task in endpoint.filler_tasks()) / 300
        engine.pressure.observe(endpoint, now)
        engine.pace(endpoint, now)
        for task in endpoint.filler_tasks():
            task.state, task.paused_since = TaskState.RUNNING, None
    assert longest <= 3.0
    assert worked > 200 * 0.4


def test_small_changes_of_pace_are_not_ordered():
    assert not pacing.notable(50, 60)
    assert not pacing.notable(100, 100)
    assert pacing.notable(50, 70)
    assert pacing.notable(10, 0)
    assert pacing.notable(90, 100)
    assert pacing.notable(None, 100)


def choose(engine, image, endpoints, now=0.0):
    """Return the endpoint that a new filler of ``image`` gets."""
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
    """Return endpoints whose replicas f1 presses much, and little."""
    pair = []
    for id, image, weight in (("e1", "r1", 7.0), ("e2", "r2", 0.5)):
        endpoint = make_endpoint(engine, id)
        job = make_replicas(engine, endpoint, image, processors=PROCESSORS // 2)
        engine.pressure.weights[image, "f1"] = pressure.Estimate(weight, 0.05)
        engine.pressure.levels[job.id] = pressure.Level(3.0, 0.0)
        pair.append(endpoint)
    return pair


def test_filler_goes_where_it_takes_little_headroom():
    engine = factory.make_engine()
    pressed, other = make_pair(engine)
    assert choose(engine, "f1", [pressed, other]) is other


def test_filler_of_a_young_job_waits_rather_than_press():
    engine = factory.make_engine()
    pressed, _other = make_pair(engine)
    objective = factory.QUEUE.slack_ms / 1000
    assert choose(engine, "f1", [pressed]) is None
    assert choose(engine, "f1", [pressed], now=2 * objective) is pressed


def test_filler_waits_where_no_headroom_is_left():
    engine = factory.make_engine()
    pressed, _other = make_pair(engine)
    for _number in range(3):
        make_filler(engine, pressed, "f1")
    assert choose(engine, "f1", [pressed], now=60.0) is None


@pytest.mark.parametrize("share, waits", [(0.49, False), (0.5, True)])
def test_no_filler_waits_while_under_half_of_the_service_is_reserved(share, waits):
    """The platform wants every job to run then."""
    engine = factory.make_engine()
    pair = make_endpoint(engine, "e1"), make_endpoint(engine, "e2")
    for endpoint in pair:
        job = make_replicas(engine, endpoint, "r1", processors=int(PROCESSORS * share))
        engine.pressure.levels[job.id] = pressure.Level(1.0, 0.0)
    engine.pressure.weights["r1", "f1"] = pressure.Estimate(9.0, 0.05)
    assert (choose(engine, "f1", pair) is None) == waits


def test_successor_goes_on_from_what_was_learned():
    learned, successor = learn(80), pressure.Pressure()
    successor.load_weights(learned.export())
    for pair, weight in learned.weights.items():
        assert successor.weight(*pair) == pytest.approx(weight.value, abs=0.001)
    assert successor.weight("r1", "unseen") == pressure.UNKNOWN_WEIGHT


def test_levels_of_ended_jobs_are_dropped():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine)
    job = make_replicas(engine, endpoint, "r1")
    read(endpoint)
    engine.pressure.observe(endpoint, 0.0)
    assert job.id in engine.pressure.levels
    engine.cancel(job.id)
    assert not engine.pressure.levels
