"""Capacity of endpoints that changes while they run."""

import pytest

from clementinebay.policy import dispatch
from clementinebay.workflow.model import Step
from tests.workflow import factory

SMALL = Step(count=1, processors_milli=1000, memory_mb=100)


def test_capacity_that_shrinks_and_grows_is_in_force_at_once():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    step = Step(count=16, processors_milli=1000, memory_mb=100)
    engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    assert len(engine.plan(0.0, 2)) == 2
    engine.register_endpoint(factory.make_info(processors_milli=3000), 0.1)
    assert len(engine.plan(0.1)) == 1
    engine.register_endpoint(factory.make_info(processors_milli=1000), 0.2)
    assert engine.plan(0.2) == []
    assert endpoint.load == 3.0
    engine.register_endpoint(factory.make_info(processors_milli=4000), 0.3)
    assert len(engine.plan(0.3)) == 1


@pytest.mark.parametrize(
    ("field", "filler"),
    [
        ("processors_milli", False),
        ("memory_mb", False),
        ("memory_mb", True),
        ("accelerators", False),
        ("accelerators", True),
    ],
)
def test_endpoint_that_shrank_below_its_runs_gets_no_task(field, filler):
    engine = factory.make_engine()
    full = {"processors_milli": 4, "memory_mb": 4, "accelerators": 4}
    factory.connect_endpoint(engine, factory.make_info(**full))
    run = Step(count=1, processors_milli=2, memory_mb=2, accelerators=2)
    engine.add_job(factory.make_spec(steps=(run,)), factory.QUEUE, 0.0)
    assert len(factory.start_all(engine)) == 1
    other = Step(count=1, filler=filler, **{field: 1})
    engine.add_job(factory.make_spec("f" * 16, (other,)), factory.QUEUE, 0.0)
    for value in (2, 1, 0):
        engine.register_endpoint(factory.make_info(**full | {field: value}), 1.0)
        assert engine.plan(1.0) == [], value
    engine.register_endpoint(factory.make_info(**full | {field: 3}), 2.0)
    assert len(engine.plan(2.0)) == 1


def test_endpoint_that_shrank_keeps_room_for_runs_that_are_being_stopped():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    step = Step(count=4, processors_milli=1000)
    job = engine.add_job(factory.make_spec(steps=(step,)), factory.QUEUE, 0.0)
    orders = factory.start_all(engine)
    engine.register_endpoint(factory.make_info(processors_milli=4000), 1.0)
    engine.cancel(job.id)
    engine.add_job(factory.make_spec("f" * 16, (step,)), factory.QUEUE, 1.0)
    assert engine.plan(1.0) == []
    factory.report_end(engine, endpoint, orders[0], "stopped", 1, 1.5)
    assert len(engine.plan(1.5)) == 1


def test_unanswered_start_counts_against_a_capacity_that_shrank_meanwhile():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.0)
    [order] = engine.plan(0.0)
    engine.register_endpoint(factory.make_info(processors_milli=1500), 0.1)
    engine.start_unanswered(order, 0.8)
    engine.add_job(factory.make_spec("f" * 16, (SMALL,)), factory.QUEUE, 0.8)
    assert engine.plan(0.8) == []


def test_successor_counts_adopted_runs_against_a_capacity_that_shrank():
    engine = factory.make_engine(term=1)
    spec = factory.make_spec()
    engine.add_job(spec, factory.QUEUE, 0.0, inherited=True)
    running = [(f"{spec.id}.0.0.{index}", 1) for index in range(2)]
    info = factory.make_info(processors_milli=1500)
    factory.connect_endpoint(engine, info, running=running)
    engine.add_job(factory.make_spec("f" * 16, (SMALL,)), factory.QUEUE, 0.0)
    assert engine.plan(0.0) == []
    engine.register_endpoint(factory.make_info(processors_milli=3000), 1.0)
    assert len(engine.plan(1.0)) == 1


def test_entry_of_an_earlier_incarnation_does_not_restore_its_capacity():
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info(born_ms=1))
    small = factory.make_info(born_ms=2, processors_milli=500)
    factory.connect_endpoint(engine, small, born_ms=2)
    engine.register_endpoint(factory.make_info(born_ms=1), 0.1)
    engine.add_job(factory.make_spec(steps=(SMALL,)), factory.QUEUE, 0.1)
    assert engine.plan(0.1) == []


def test_fillers_may_wait_once_a_shrunk_service_is_half_reserved():
    engine = factory.make_engine()
    endpoint = factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    assert len(factory.start_all(engine)) == 2
    assert not dispatch.may_wait("s", [endpoint])
    engine.register_endpoint(factory.make_info(processors_milli=4000), 1.0)
    assert dispatch.may_wait("s", [endpoint])
    engine.register_endpoint(factory.make_info(processors_milli=5000), 2.0)
    assert not dispatch.may_wait("s", [endpoint])
