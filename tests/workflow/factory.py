"""Builders of jobs, endpoints and reports for tests."""

from clementinebay.clock import ManualClock
from clementinebay.eventlog import ERROR, EventLog
from clementinebay.workflow.engine import Engine
from clementinebay.workflow.job import Progress
from clementinebay.workflow.model import Endpoint, JobSpec, Queue, Step
from clementinebay.workflow.orders import Report, RunEnd, RunReport
from clementinebay.workflow.starting import StartingJobs

MAX_LEASE = 6.0

#: A step of one task, of which an endpoint has room for several.
SMALL = Step(count=1, processors_milli=1000)

QUEUE = Queue("q", "h", "/q/", "s", attempts=3, stretch=2.0, slack_ms=1000)


def quiet_log():
    """Return a log that discards all events."""
    return EventLog(level=ERROR + 1)


class NamedJobs(StartingJobs):
    """Jobs that count as named in the store."""

    def is_named(self, job_id, endpoint_id):
        return True


def make_engine(term=0, inherited_until=0.0, max_lease=MAX_LEASE):
    """Return an engine with a clock that does not advance.

    It has no limit of leases, and its jobs count as named in the store.
    """
    engine = Engine(term, quiet_log(), ManualClock(), max_lease, inherited_until)
    engine.leases.limit = engine.leases.until = float("inf")
    engine.starting = NamedJobs(engine)
    return engine


def make_info(id="e1", **changes):
    """Return an endpoint as listed in the registry."""
    fields = {
        "born_ms": 1,
        "service": "s",
        "address": f"{id}:1",
        "failure_domain": "a",
        "leaving": False,
        "cold_ms": 0,
        "processors_milli": 8000,
        "memory_mb": 16000,
        "accelerators": 0,
        "labels": ("k", "r1"),
        "rack": "r1",
    }
    return Endpoint(id, **fields | changes)


def make_spec(
    id="0123456789abcdef", steps=None, domain="a", attempts=3, organisation=""
):
    """Return a job as stored."""
    steps = steps or (Step(count=2, processors_milli=1000, memory_mb=100),)
    return JobSpec(
        id, "q", "s", "payload", tuple(steps), 0.0, domain, attempts, organisation
    )


def report(running=(), ended=(), clock_ms=0, born_ms=1, has_all_ends=True):
    """Return an endpoint's report.

    Rows are tuples with the first fields of `RunReport` and `RunEnd`; the other fields
    get defaults.
    """
    return Report(
        born_ms,
        clock_ms,
        [RunReport(*(row + ("", 0, 0)[len(row) - 2 :])) for row in running],
        [RunEnd(*(row + ("",) * (5 - len(row)))) for row in ended],
        has_all_ends,
    )


def connect_endpoint(engine, info, now=0.0, **rest):
    """Register and record an endpoint and process a report; return its state."""
    endpoint = engine.register_endpoint(info, now)
    endpoint.recorded = True
    engine.process_report(endpoint, report(**rest), now, now)
    return endpoint


def start_all(engine, now=0.0):
    """Plan and confirm all start orders; return them."""
    orders = engine.plan(now)
    for order in orders:
        engine.start_answered(order, now)
    return orders


def plan_start(now, endpoints=("e1",)):
    """Return an engine with a job of one task, and the order that starts the task."""
    engine = make_engine()
    for endpoint_id in endpoints:
        connect_endpoint(engine, make_info(endpoint_id))
    engine.add_job(make_spec(steps=(SMALL,)), QUEUE, 0.0)
    [order] = engine.plan(now)
    return engine, order


def report_end(engine, endpoint, order, outcome, number, now):
    """Report the end of a run."""
    row = (number, order.task.name, order.run, outcome)
    engine.process_report(endpoint, report(ended=[row]), now, now)


def store(engine):
    """Store the engine's changes; return the records by job id."""
    jobs, ends = engine.drain_changes()
    records = [(job, job.progress()) for job in jobs]
    engine.mark_stored(records, ends)
    return {job.id: progress for job, progress in records}


def reload(progress):
    """Return a copy of a `Progress`, as another scheduler would read it."""
    return Progress(
        **{name: getattr(progress, name) for name in progress.__struct_fields__}
    )
