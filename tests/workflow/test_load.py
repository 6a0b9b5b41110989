"""The scheduler's load: due tasks and why they wait, plans and delays of timers."""

import pytest

from clementinebay.clock import ManualClock
from clementinebay.policy import dispatch
from clementinebay.policy.startwindow import StartWindow
from clementinebay.workflow import load, planning, waiting
from clementinebay.workflow.model import Step
from clementinebay.workflow.waiting import Reason
from tests.workflow import factory

ONE_TASK = (Step(count=1, processors_milli=1000, memory_mb=100),)
TWO_STEPS = (*ONE_TASK, Step(count=1, processors_milli=1000, after=(0,)))


def make_engine(steps=ONE_TASK, **changes):
    """Return an engine with one endpoint and one job, and the job's first task."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info(**changes))
    job = engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    return engine, job.task(0, 0)


def test_task_that_the_next_plan_starts_has_no_reason_to_wait():
    engine, task = make_engine()
    assert waiting.reason(engine, task, 1.0) is Reason.NONE
    assert [order.task for order in engine.plan(1.0)] == [task]


def test_line_names_the_endpoints_that_a_new_term_waits_for():
    engine, _task = make_engine()
    meter = load.TermLoad(
        engine, StartWindow(), 1.0, ManualClock(), factory.quiet_log()
    )
    assert "awaited" not in meter.line(1.0)
    for endpoint_id in ("e9", "e1"):
        engine.inherited_endpoints.expect(endpoint_id, "a")
    engine.inherited_endpoints.mark_reported("e1")
    line = meter.line(1.0)
    assert (line["awaited"], line["awaited_first"]) == (1, ["e9"])


def test_line_tells_how_long_a_new_term_may_still_wait_for_an_endpoint():
    engine = factory.make_engine(term=1, inherited_until=8.0)
    engine.inherited_endpoints.expect("e9", "a")
    meter = load.TermLoad(
        engine, StartWindow(), 1.0, ManualClock(), factory.quiet_log()
    )
    assert meter.line(3.0)["awaited_ms"] == 5000.0


def inherit(engine, task):
    engine.inherited_endpoints.expect("gone", "a")
    task.job.inherited_domains = frozenset("a")


def lose_exclusivity(engine, _task):
    engine.exclusive_until = -1.0


def lose_endpoint(engine, _task):
    engine.endpoints["e1"].unreachable_since = 0.5


def pin_elsewhere(_engine, task):
    task.pinned_endpoint, task.pinned_until = object(), 9.0


def restart_endpoint(engine, _task):
    engine.endpoints["e1"].open_jobs = frozenset()


def fill_endpoint(engine, _task):
    engine.endpoints["e1"].processors_used = 7500


def probe_endpoint(engine, _task):
    for endpoint_id in ("e2", "e3"):
        sound = factory.connect_endpoint(engine, factory.make_info(endpoint_id))
        sound.processors_used = 8000
    endpoint = engine.endpoints["e1"]
    endpoint.health.probation = True
    other = engine.add_job(factory.make_spec("f" * 16), factory.QUEUE, 0.0)
    other.task(0, 0).place(endpoint, 1, "running", 0.0)


def suspect(engine, task):
    task.job.crashes = task.job.stored_crashes = {task.name: ["c1/1", "c2/1"]}
    engine.suspects.restore(task.job)
    other = engine.add_job(factory.make_spec("f" * 16), factory.QUEUE, 0.0)
    other.task(0, 0).place(engine.endpoints["e1"], 1, "running", 0.0)


def suspect_without_a_write(engine, task):
    suspect(engine, task)
    task.job.stored_crashes = {task.name: ["c1/1"]}


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (inherit, Reason.INHERITED),
        (lose_exclusivity, Reason.NOT_EXCLUSIVE),
        (lose_endpoint, Reason.NO_ENDPOINT),
        (pin_elsewhere, Reason.PINNED),
        (restart_endpoint, Reason.JOB_NOT_STORED),
        (fill_endpoint, Reason.NO_ROOM),
        (probe_endpoint, Reason.SPREAD),
        (suspect, Reason.ISOLATION),
        (suspect_without_a_write, Reason.CRASH_NOT_STORED),
    ],
)
def test_reason_of_a_task_that_no_plan_starts(change, reason):
    engine, task = make_engine()
    change(engine, task)
    assert waiting.reason(engine, task, 1.0) is reason
    assert task not in [order.task for order in engine.plan(1.0)]


def test_reason_of_a_task_of_another_service():
    engine, task = make_engine(service="x")
    assert waiting.reason(engine, task, 1.0) is Reason.NO_ENDPOINT


def test_reason_of_a_task_whose_label_no_endpoint_has():
    engine, task = make_engine(steps=(Step(required_label="gpu-kind"),))
    assert waiting.reason(engine, task, 1.0) is Reason.NO_LABEL


def test_reason_of_a_task_that_fits_only_where_its_job_is_not_open():
    engine, task = make_engine(failure_domain="b")
    assert waiting.reason(engine, task, 1.0) is Reason.DOMAIN
    assert engine.plan(1.0) == []


def test_reason_of_a_task_that_waits_for_a_better_domain():
    engine, task = make_engine()
    engine.endpoints["e1"].processors_used = 6000
    factory.connect_endpoint(engine, factory.make_info("e2", failure_domain="b"))
    assert engine.plan(1.0) == []
    assert waiting.reason(engine, task, 1.1) is Reason.DOMAIN
    later = 1.1 + planning.DOMAIN_OPENING_SECONDS
    assert waiting.reason(engine, task, later) is Reason.NONE


def test_reason_of_a_filler_that_waits_for_a_better_endpoint():
    engine, task = make_engine(steps=(Step(processors_milli=8000, filler=True),))
    replica = Step(count=1, processors_milli=5000, replica=True)
    spec = factory.make_spec("f" * 16, steps=(replica,))
    engine.add_job(spec, factory.QUEUE, 0.0)
    engine.plan(0.0)
    assert dispatch.may_wait("s", engine.endpoints.values())
    assert waiting.reason(engine, task, 0.0) is Reason.FILLER_WAITS


def test_task_is_due_since_its_step_opened():
    engine, task = make_engine(steps=TWO_STEPS)
    [order] = engine.plan(1.0)
    engine.start_answered(order, 1.0)
    assert waiting.due_tasks(engine, 2.0) == []
    end = (1, order.task.name, order.run, "done")
    endpoint = engine.endpoints["e1"]
    engine.process_report(endpoint, factory.report(ended=[end]), 4.0, 4.0)
    [later] = waiting.due_tasks(engine, 5.0)
    assert (later, later.due_at) == (task.job.task(1, 0), 4.0)


def test_refused_task_is_due_once_its_wait_is_over():
    engine, task = make_engine()
    [order] = engine.plan(1.0)
    engine.start_refused(order, 2.0, 0.5)
    assert waiting.due_tasks(engine, 2.2) == []
    assert waiting.due_tasks(engine, 2.5) == [task]
    assert task.due_at == 2.5


def test_line_tells_of_the_time_since_the_line_before():
    engine, task = make_engine()
    clock = ManualClock(10.0)
    meter = load.TermLoad(engine, StartWindow(), 0.5, clock, engine.log)
    meter.record_lag(0.02)
    meter.record_lag(0.01)
    meter.record_plan(0.004)
    meter.record_plan(0.006)
    line = meter.line(11.0)
    assert line["lag_ms"] == 20
    assert (line["plans"], line["plan_ms"], line["max_plan_ms"]) == (2, 10, 6)
    assert (line["due"], line["oldest"], line["reason"]) == (1, task.name, "none")
    assert line["oldest_ms"] == 11_000
    assert (line["active"], line["endpoints"], line["usable"]) == (1, 1, 1)
    assert line["processors"] == 0.5
    meter.reset()
    engine.plan(11.0)
    line = meter.line(11.0)
    assert (line["lag_ms"], line["plans"], line["due"]) == (0, 0, 0)
    assert "oldest" not in line
