"""Which fillers press which replicas, and what is done about it."""

import random

from clementinebay.policy import pacing, pressure
from clementinebay.workflow.job import TaskState
from clementinebay.workflow.model import Step
from tests.workflow import factory

#: (replica's image, filler's image) that disturb each other in these tests.
HARMFUL = {("r1", "f1"), ("r2", "f2"), ("r2", "f3")}
CALM_TAIL, HIGH_TAIL = 4.0, 40.0


def make_endpoint(engine, replicas, fillers, id="e1"):
    """Return an endpoint with running tasks of these images."""
    endpoint = factory.settle(engine, factory.make_info(id, processors_milli=32000))
    steps = [
        Step(count=1, processors_milli=2000, replica=True, image=image, latency_ms=10)
        for image in replicas
    ]
    steps += [
        Step(count=1, processors_milli=3000, filler=True, image=image, checkpoints=True)
        for image in fillers
    ]
    spec = factory.make_spec(id=f"{random.getrandbits(64):016x}", steps=steps)
    job = engine.add_job(spec, factory.QUEUE, 0.0)
    for number, step in enumerate(steps):
        task = job.task(number, 0)
        task.place(endpoint, 1, TaskState.RUNNING, 0.0)
        task.percent = 100 if step.replica else 50
        task.figure = CALM_TAIL if step.replica else 3000
    return endpoint


def read(endpoint):
    """Set the readings that the truth of `HARMFUL` gives."""
    working = {t.step.image for t in endpoint.filler_tasks() if t.pace}
    for task in endpoint.replica_tasks():
        pressed = any((task.step.image, image) in HARMFUL for image in working)
        task.figure = HIGH_TAIL if pressed else CALM_TAIL


def test_learns_pairs_from_mixed_readings():
    rng = random.Random(1)
    engine = factory.make_engine()
    learned = pressure.Pressure()
    for number in range(300):
        fillers = rng.sample(["f1", "f2", "f3", "f4"], rng.randint(1, 3))
        endpoint = make_endpoint(engine, ["r1", "r2"], fillers, f"e{number}")
        read(endpoint)
        learned.observe(endpoint, 0.0)
        learned.observe(endpoint, 0.5)
    for replica in ("r1", "r2"):
        for filler in ("f1", "f2", "f3", "f4"):
            harmful = (replica, filler) in HARMFUL
            assert (learned.harm[replica, filler] > 0.5) == harmful, (replica, filler)


def test_filler_that_just_ended_shares_the_blame():
    engine = factory.make_engine()
    learned = pressure.Pressure()
    endpoint = make_endpoint(engine, ["r1"], ["f1"])
    learned.observe(endpoint, 0.0)
    endpoint.filler_tasks()[0].free()
    for task in endpoint.replica_tasks():
        task.figure = HIGH_TAIL
    learned.observe(endpoint, 0.5)
    assert learned.harm["r1", "f1"] > pressure.UNKNOWN


def test_blame_fades():
    learned = pressure.Pressure()
    learned.harm["r1", "f1"] = 0.9
    for second in range(1, 120):
        learned.forget(float(second))
    assert learned.harm["r1", "f1"] < 0.2


def test_replica_over_its_bound_has_suspects_paused_then_all():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine, ["r1"], ["f1", "f4"])
    engine.pressure.harm["r1", "f1"] = 0.9
    read(endpoint)
    state = pacing.Pacing()
    assert pacing.decide(state, endpoint, engine.pressure, 0.0) == {}
    first = pacing.decide(
        state, endpoint, engine.pressure, pacing.SUSPECTS_AFTER_SECONDS
    )
    assert {task.step.image for task in first} == {"f1"}
    every = pacing.decide(state, endpoint, engine.pressure, pacing.ALL_AFTER_SECONDS)
    assert {task.step.image for task in every} == {"f1", "f4"}
    assert set(every.values()) == {pacing.PAUSED}


def test_no_replica_is_over_its_bound_for_long():
    """The bound of the platform is 4 s on end; readings come every half second."""
    engine = factory.make_engine()
    endpoint = make_endpoint(engine, ["r1", "r2"], ["f1", "f2", "f4"])
    over_since, longest = None, 0.0
    for tick in range(200):
        now = tick * 0.5
        read(endpoint)
        over = any(task.figure > 10 for task in endpoint.replica_tasks())
        over_since = (over_since if over_since is not None else now) if over else None
        if over:
            longest = max(longest, now - over_since)
        engine.pace(endpoint, now)
    assert longest <= 3.0


def test_paused_fillers_work_again_when_replicas_are_calm():
    engine = factory.make_engine()
    endpoint = make_endpoint(engine, ["r1"], ["f4"])
    task = endpoint.filler_tasks()[0]
    task.pace = pacing.PAUSED
    state = pacing.Pacing()
    pacing.decide(state, endpoint, engine.pressure, 0.0)
    later = pacing.decide(state, endpoint, engine.pressure, pacing.CALM_SECONDS)
    assert later == {task: pacing.FULL}


def test_successor_goes_on_from_what_was_learned():
    learned, successor = pressure.Pressure(), pressure.Pressure()
    learned.harm["r1", "f1"] = 0.9
    successor.take(learned.export())
    assert successor.harm["r1", "f1"] == 0.9
    assert successor.harm["r1", "f2"] == pressure.UNKNOWN
