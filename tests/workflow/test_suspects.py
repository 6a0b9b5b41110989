"""Tasks that crash their endpoints: counted, run alone, given up; others are not."""

import asyncio

import pytest

from clementinebay.policy import crashes
from clementinebay.workflow.job import JobState
from clementinebay.workflow.model import Step
from tests.workflow import factory, virtualtime
from tests.workflow.testbed import TestBed

ONE_TASK = (Step(count=1, processors_milli=1000, memory_mb=100),)
ONE_REPLICA = (Step(count=1, processors_milli=500, replica=True),)
#: Age of the endpoints, in milliseconds: they have proved sound.
AGE_MS = 10_000
#: Starts of a deadly task that no crash of a scheduler or outage of the store may
#: exceed: the platform allows two after the third crash.
MAX_STARTS = 5


def make_engine(steps=ONE_TASK, endpoints=1):
    """Return an engine with endpoints and one job, and the job's first task."""
    engine = factory.make_engine()
    for number in range(endpoints):
        info = factory.make_info(f"e{number}")
        factory.connect_endpoint(engine, info, clock_ms=AGE_MS)
    job = engine.add_job(factory.make_spec(steps=steps), factory.QUEUE, 0.0)
    return engine, job.task(0, 0)


def crash(engine, task, now, successor):
    """Crash the endpoint of a task at ``now``; it is back as ``successor`` later."""
    endpoint = task.endpoint
    endpoint.unreachable_since = now
    engine.end_incarnation(endpoint, now + 3.0)
    factory.connect_endpoint(engine, factory.make_info(successor), now + 3.0)


def crash_alone(engine, task, times, first=0):
    """Start a task and crash its endpoint, several times."""
    for number in range(first, first + times):
        now = 10.0 * number
        factory.store(engine)
        assert [order.task for order in factory.start_all(engine, now)] == [task]
        crash(engine, task, now + 0.01, f"s{number}")


# The engine


@pytest.mark.parametrize("steps", [ONE_TASK, ONE_REPLICA])
def test_task_is_given_up_after_the_third_crash_alone(steps):
    engine, task = make_engine(steps)
    crash_alone(engine, task, 2)
    assert not task.job.ended
    crash_alone(engine, task, 1, first=2)
    assert task.job.state is JobState.FAILED
    assert factory.store(engine)[task.job.id].state is JobState.FAILED
    assert not engine.suspects.tasks


def test_restart_under_the_same_id_counts_as_a_crash():
    engine, task = make_engine()
    for born_ms in (2, 3, 4):
        factory.store(engine)
        now = 10.0 * born_ms
        factory.start_all(engine, now)
        info = factory.make_info("e0", born_ms=born_ms)
        engine.register_endpoint(info, now + 0.1)
        endpoint = factory.connect_endpoint(engine, info, now + 0.2, born_ms=born_ms)
        # The next incarnation may have taken the order; its stop rules that out.
        for stop in engine.stops.due(now + 0.3, engine.endpoints):
            engine.stop_answered(stop, now + 0.3)
        factory.connect_endpoint(engine, info, now + 0.5, born_ms=born_ms)
        assert not endpoint.tasks
    assert task.job.state is JobState.FAILED


def test_one_crash_counts_once():
    engine, task = make_engine()
    factory.start_all(engine, 0.0)
    endpoint = task.endpoint
    crash(engine, task, 0.01, "s0")
    engine.end_incarnation(endpoint, 4.0)
    assert task.job.crashes == {task.name: ["e0/1"]}
    assert task.job.record_crash(task, "e0/1") == 1


def lapse(engine, endpoint):
    endpoint.mark_silent(1.0)
    engine.unlist_endpoint(endpoint.id)
    engine.expire(60.0)


def leave(engine, endpoint):
    engine.register_endpoint(factory.make_info("e0", leaving=True), 0.0)
    engine.end_incarnation(endpoint, 1.0)


@pytest.mark.parametrize("end", [lapse, leave])
def test_end_of_an_endpoint_that_is_no_proven_crash_is_not_counted(end):
    engine, task = make_engine()
    [order] = factory.start_all(engine, 0.0)
    end(engine, order.endpoint)
    assert task.endpoint is None
    assert not task.job.crashes


def test_run_that_has_lasted_is_not_counted_for_a_crash():
    engine, task = make_engine()
    factory.start_all(engine, 0.0)
    crash(engine, task, crashes.SOUND_SECONDS, "s0")
    assert not task.job.crashes


@pytest.mark.parametrize("steps", [ONE_TASK, ONE_REPLICA])
def test_run_that_lasts_clears_its_task(steps):
    engine, task = make_engine(steps)
    crash_alone(engine, task, 2)
    factory.store(engine)
    [order] = factory.start_all(engine, 20.0)
    row = (task.name, order.run)
    report = factory.report(running=[row])
    engine.process_report(order.endpoint, report, 22.0, 22.0)
    # Two proved, and one presumed.
    assert len(task.job.crashes[task.name]) == 3
    engine.process_report(order.endpoint, report, 23.0, 23.0)
    assert not engine.suspects.tasks
    assert not factory.store(engine)[task.job.id].crashes


@pytest.mark.parametrize("outcome", ["done", "failed"])
def test_run_that_ends_clears_its_task(outcome):
    engine, task = make_engine()
    crash_alone(engine, task, 1)
    factory.store(engine)
    [order] = factory.start_all(engine, 20.0)
    report = factory.report(ended=[(1, task.name, order.run, outcome)])
    engine.process_report(order.endpoint, report, 20.1, 20.1)
    assert not task.job.crashes
    assert not engine.suspects.tasks


@pytest.mark.parametrize("steps", [ONE_TASK, ONE_REPLICA])
def test_crashes_are_known_to_a_successor(steps):
    engine, task = make_engine(steps)
    crash_alone(engine, task, 2)
    progress = factory.reload(factory.store(engine)[task.job.id])
    successor = factory.make_engine(1)
    info = factory.make_info("s1")
    factory.connect_endpoint(successor, info, clock_ms=AGE_MS)
    job = successor.add_job(task.job.spec, factory.QUEUE, 20.0, progress)
    [order] = factory.start_all(successor, 20.0)
    crash(successor, order.task, 20.01, "s2")
    assert job.state is JobState.FAILED


def test_suspect_is_not_started_before_its_crashes_are_stored():
    engine, task = make_engine()
    crash_alone(engine, task, 2)
    assert engine.plan(20.0) == []
    assert engine.plan(60.0) == []
    factory.store(engine)
    assert [order.task for order in engine.plan(60.0)] == [task]


def test_crash_counted_during_a_write_is_not_taken_for_stored():
    engine, task = make_engine()
    crash_alone(engine, task, 1)
    factory.store(engine)
    engine.mark_changed(task.job)
    jobs, _ends = engine.drain_changes()
    records = [(job, job.progress()) for job in jobs]
    factory.start_all(engine, 10.0)
    crash(engine, task, 10.01, "s9")
    engine.mark_stored(records, ())
    assert engine.plan(20.0) == []


def make_suspect(engine, task):
    """Make a task a stored suspect."""
    task.job.crashes = {task.name: ["c1/1", "c2/1"]}
    factory.store(engine)
    task.job.stored_crashes = task.job.crashes
    engine.suspects.restore(task.job)


def test_suspect_runs_alone_until_it_has_proved_sound():
    engine, task = make_engine(endpoints=5)
    make_suspect(engine, task)
    engine.add_job(
        factory.make_spec("f" * 16, steps=(Step(count=30, processors_milli=1000),)),
        factory.QUEUE,
        0.0,
    )
    orders = factory.start_all(engine, 0.0)
    assert len(orders) == 31
    assert list(task.endpoint.tasks) == [task.name]
    later = factory.start_all(engine, 0.1)
    assert not [order for order in later if order.endpoint is task.endpoint]


@pytest.mark.parametrize("now", [1.0, 9.0])
def test_endpoint_is_held_back_until_a_suspect_has_room(now):
    engine, task = make_engine(steps=(Step(count=1, processors_milli=8000),))
    for number in range(1, 5):
        info = factory.make_info(f"e{number}")
        factory.connect_endpoint(engine, info, clock_ms=AGE_MS)
    steps = (Step(count=5, processors_milli=1000, max_per_endpoint=1),)
    first = engine.add_job(factory.make_spec("e" * 16, steps), factory.QUEUE, 0.0)
    start = engine.active.pop(task.job.id)
    factory.start_all(engine, 0.0)
    engine.active[task.job.id] = start
    make_suspect(engine, task)
    steps = (Step(count=99, processors_milli=1000),)
    engine.add_job(factory.make_spec("f" * 16, steps), factory.QUEUE, 0.0)
    factory.start_all(engine, now)
    [held] = [e for e in engine.endpoints.values() if len(e.tasks) == 1]
    [other] = held.tasks.values()
    assert other.job is first
    ended = [(1, other.name, other.run, "done")]
    report = factory.report(ended=ended, clock_ms=2 * AGE_MS)
    engine.process_report(held, report, 10.0, 10.0)
    orders = factory.start_all(engine, 10.0)
    assert task.endpoint is held
    assert [order.task for order in orders] == [task]


def test_no_endpoint_is_held_for_a_suspect_that_has_no_room_beside_its_replicas():
    engine, task = make_engine((Step(count=1, processors_milli=8000),), endpoints=5)
    start_later = engine.active.pop(task.job.id)
    steps = (Step(count=5, processors_milli=1000, replica=True, max_per_endpoint=1),)
    engine.add_job(factory.make_spec("e" * 16, steps), factory.QUEUE, 0.0)
    factory.start_all(engine, 0.0)
    engine.active[task.job.id] = start_later
    make_suspect(engine, task)
    steps = (Step(count=99, processors_milli=1000),)
    engine.add_job(factory.make_spec("f" * 16, steps), factory.QUEUE, 0.0)
    factory.start_all(engine, 1.0)
    assert all(len(e.tasks) == 8 for e in engine.endpoints.values())


def test_suspect_does_not_wait_for_long_if_no_endpoint_becomes_free():
    engine, task = make_engine(endpoints=5)
    start_later = engine.active.pop(task.job.id)
    steps = (Step(count=5, processors_milli=1000, replica=True, max_per_endpoint=1),)
    engine.add_job(factory.make_spec("e" * 16, steps), factory.QUEUE, 0.0)
    factory.start_all(engine, 0.0)
    engine.active[task.job.id] = start_later
    make_suspect(engine, task)
    wait = crashes.MAX_ISOLATION_WAIT_SECONDS
    assert engine.plan(wait - 0.1) == []
    assert [order.task for order in engine.plan(wait)] == [task]


def test_last_start_before_a_crash_is_suspected_first():
    engine, task = make_engine(endpoints=1)
    factory.start_all(engine, 0.0)
    spec = factory.make_spec("f" * 16, steps=ONE_TASK)
    other = engine.add_job(spec, factory.QUEUE, 1.0).task(0, 0)
    factory.start_all(engine, 1.0)
    for number in range(1, 5):
        info = factory.make_info(f"e{number}")
        factory.connect_endpoint(engine, info, clock_ms=AGE_MS)
    crash(engine, task, 1.01, "s0")
    assert set(engine.suspects.tasks) == {other}
    factory.store(engine)
    factory.start_all(engine, 5.0)
    assert list(other.endpoint.tasks) == [other.name]


def test_tasks_are_not_suspected_for_a_crash_of_many_endpoints():
    engine, task = make_engine((Step(count=8, processors_milli=8000),), endpoints=8)
    for round_number in range(5):
        now = 10.0 * round_number
        factory.store(engine)
        orders = factory.start_all(engine, now)
        assert len(orders) == 8
        crashed = [order.endpoint for order in orders]
        for endpoint in crashed:
            endpoint.unreachable_since = now + 0.5
        for number, endpoint in enumerate(crashed):
            back_at = now + 2.0 + number / 10
            engine.end_incarnation(endpoint, back_at)
            engine.unlist_endpoint(endpoint.id)
            engine.expire(back_at)
            info = factory.make_info(f"e{round_number}-{number}")
            factory.connect_endpoint(engine, info, back_at)
    assert not task.job.crashes
    assert not task.job.ended


def test_endpoint_that_crashes_again_and_again_is_no_evidence_against_a_task():
    """A job was failed for three crashes of the one endpoint that may run it."""
    engine, task = make_engine()
    factory.start_all(engine, 0.0)
    now = 0.1
    for number in range(12):
        if task.endpoint is None:
            factory.store(engine)
            factory.start_all(engine, now)
        endpoint = engine.endpoints["e0" if not number else f"s{number - 1}"]
        endpoint.unreachable_since = now
        engine.end_incarnation(endpoint, now + 1.0)
        engine.unlist_endpoint(endpoint.id)
        info = factory.make_info(f"s{number}")
        factory.connect_endpoint(engine, info, now + 1.0)
        now += 3.5
    assert not task.job.ended
    factory.store(engine)
    assert [order.task for order in engine.plan(now + 1.0)] == [task]


def test_start_without_an_answer_is_no_evidence_beside_other_runs():
    """Orders that were never executed were counted, and their jobs failed."""
    engine, task = make_engine((Step(count=2, processors_milli=1000),))
    for order in engine.plan(0.0):
        engine.start_unanswered(order, 0.1)
    crash(engine, task, 0.2, "s0")
    assert not task.job.crashes


@pytest.mark.parametrize("others, is_given_up", [(0, True), (40, False)])
def test_task_is_given_up_unless_all_endpoints_crash_often(others, is_given_up):
    """Of tasks hit by chance, some are hit several times in a row."""
    engine, task = make_engine(endpoints=1)
    for number in range(others):
        engine.suspects.crashed_at[f"o{number}/1"] = 25.0 - number / 4
    crash_alone(engine, task, 3)
    assert (task.job.state is JobState.FAILED) is is_given_up


# Crashes before a start that the next incarnation has taken


def restart_under(engine, task, confirm):
    """Start a task that two endpoints crashed under; its endpoint has restarted.

    ``confirm`` records the answer to the start.  Returns the endpoint and the order.
    """
    crash_alone(engine, task, 2)
    factory.store(engine)
    [order] = engine.plan(20.0)
    confirm(order, 20.1)
    endpoint = order.endpoint
    endpoint.mark_silent(20.2)
    info = factory.make_info(endpoint.id, born_ms=2)
    engine.register_endpoint(info, 20.5)
    return endpoint, order


@pytest.mark.parametrize("outcome", ["start_answered", "start_unanswered"])
@pytest.mark.parametrize("is_stopped", [False, True])
def test_crash_before_a_start_that_the_next_incarnation_took_is_not_counted(
    outcome, is_stopped
):
    """A job was failed for it, though its run went on."""
    engine, task = make_engine()
    endpoint, order = restart_under(engine, task, getattr(engine, outcome))
    assert not task.job.ended
    row = (task.name, order.run)
    if is_stopped:
        report = factory.report(ended=[(1, *row, "stopped")], born_ms=2)
    else:
        report = factory.report(running=[row], born_ms=2)
    engine.process_report(endpoint, report, 20.6, 20.7)
    assert not task.job.ended
    # Two proved, and one presumed while the run goes on.
    presumed = [] if is_stopped else [endpoint.incarnation]
    assert factory.store(engine)[task.job.id].crashes[task.name][2:] == presumed


def test_crash_before_a_start_that_the_next_incarnation_refused_is_not_counted():
    engine, task = make_engine()
    endpoint, order = restart_under(engine, task, lambda order, now: None)
    engine.start_refused(order, 20.6)
    assert not task.job.ended
    assert len(factory.store(engine)[task.job.id].crashes[task.name]) == 2


@pytest.mark.parametrize("outcome", ["start_answered", "start_unanswered"])
def test_crash_is_counted_once_the_next_incarnation_has_no_run(outcome):
    engine, task = make_engine()
    endpoint, order = restart_under(engine, task, getattr(engine, outcome))
    report = factory.report(born_ms=2)
    engine.process_report(endpoint, report, 20.6, 20.7)
    assert engine.plan(20.8) == []
    [stop] = engine.stops.due(20.8, engine.endpoints)
    engine.stop_answered(stop, 20.9)
    engine.process_report(endpoint, report, 21.0, 21.1)
    assert task.job.state is JobState.FAILED


def test_presumed_crash_is_that_of_the_incarnation_that_has_the_run():
    """The endpoint was leaving, so its crash was not counted."""
    engine, task = make_engine()

    def leave_unanswered(order, now):
        engine.start_unanswered(order, now)
        info = factory.make_info(order.endpoint.id, leaving=True)
        engine.register_endpoint(info, now)

    endpoint, order = restart_under(engine, task, leave_unanswered)
    report = factory.report(running=[(task.name, order.run)], born_ms=2)
    engine.process_report(endpoint, report, 20.6, 20.7)
    stored = factory.store(engine)[task.job.id].crashes
    assert stored[task.name][2:] == [endpoint.incarnation]


def test_task_is_not_given_up_if_nothing_tells_which_incarnation_had_its_run():
    """The next incarnation took the start and was cut off."""
    engine, task = make_engine()
    endpoint, _order = restart_under(engine, task, engine.start_answered)
    endpoint.mark_silent(20.6)
    engine.expire(60.0)
    assert task.endpoint is None
    assert not task.job.ended
    assert len(factory.store(engine)[task.job.id].crashes[task.name]) == 3


def test_run_at_the_next_incarnation_counts_for_the_crash_of_that_one():
    engine, task = make_engine(endpoints=8)
    endpoint, order = restart_under(engine, task, engine.start_answered)
    row = (task.name, order.run)
    report = factory.report(running=[row], clock_ms=AGE_MS, born_ms=2)
    engine.process_report(endpoint, report, 20.6, 20.7)
    crash(engine, task, 20.8, "s9")
    assert task.job.state is JobState.FAILED


# Terms of the real scheduler


async def submit_neighbours(bed):
    """Submit jobs all the time."""
    while True:
        await asyncio.sleep(0.4)
        bed.submit(bed.random.choice("ab"), list(ONE_TASK))


async def run_deadly(seed, steps, disturb, seconds=40.0):
    """Run a deadly task among others; return the runs lost beside each of its runs."""
    async with TestBed(seed, endpoints=8, daemons=2) as bed:
        clients = asyncio.create_task(submit_neighbours(bed))
        await bed.run(3.0)
        task = bed.submit(steps=list(steps))
        bed.deadly[task] = []
        disturbing = asyncio.create_task(disturb(bed))
        await bed.run(seconds)
        await disturbing
        clients.cancel()
        assert bed.is_given_up(task.partition(".")[0])
        for job_id in bed.specs:
            if not task.startswith(job_id):
                assert bed.job_state(job_id) != JobState.FAILED
        return bed.deadly[task]


async def disturb_nothing(bed):
    """Leave the bed alone."""


async def kill_schedulers(bed):
    """Kill the scheduler once the endpoints of the first and second crash are back."""
    for count in (1, 2):
        while bed.active_disturbances or sum(map(len, bed.deadly.values())) < count:
            await asyncio.sleep(0.05)
        await asyncio.sleep(bed.random.uniform(0.0, 0.5))
        await bed.kill_scheduler()


async def kill_schedulers_before_proof(bed):
    """Kill the scheduler before the first and the second crash are known."""
    for count in (1, 2):
        while sum(map(len, bed.deadly.values())) < count:
            await asyncio.sleep(0.05)
        await asyncio.sleep(bed.random.uniform(0.3, 1.0))
        await bed.kill_scheduler()


async def kill_scheduler_before_second_proof(bed):
    """Kill the scheduler before the second crash is known."""
    while not bed.deadly or len(next(iter(bed.deadly.values()))) < 2:
        await asyncio.sleep(0.05)
    await asyncio.sleep(bed.random.uniform(0.3, 1.0))
    await bed.kill_scheduler()


async def take_store_away(bed):
    """Take the store away from all daemons, then kill the scheduler."""
    await asyncio.sleep(bed.random.uniform(1.0, 6.0))
    async with asyncio.TaskGroup() as group:
        for daemon in bed.daemons:
            group.create_task(bed.disturb_store(daemon, "away", 7.0))
    await bed.kill_scheduler()


@pytest.mark.parametrize("steps", [ONE_TASK, ONE_REPLICA])
@pytest.mark.parametrize("seed", range(2))
def test_task_that_crashes_its_endpoints_is_not_started_forever(seed, steps):
    lost = virtualtime.run(run_deadly(seed, steps, disturb_nothing))
    assert len(lost) <= crashes.MAX_CRASHES
    assert not any(lost[1:])


@pytest.mark.parametrize("seed", range(4))
def test_crashes_under_a_task_are_not_forgotten_with_the_scheduler(seed):
    lost = virtualtime.run(run_deadly(seed, ONE_TASK, kill_schedulers, 60.0))
    assert len(lost) <= MAX_STARTS


@pytest.mark.parametrize("seed", range(4))
def test_unproved_crash_under_a_suspect_is_not_forgotten_with_the_scheduler(seed):
    disturb = kill_scheduler_before_second_proof
    lost = virtualtime.run(run_deadly(seed, ONE_TASK, disturb, 60.0))
    assert len(lost) <= crashes.MAX_CRASHES


@pytest.mark.parametrize("seed", range(4))
def test_task_is_given_up_in_time_though_schedulers_die_before_crashes_are_known(seed):
    disturb = kill_schedulers_before_proof
    lost = virtualtime.run(run_deadly(seed, ONE_TASK, disturb, 60.0))
    assert len(lost) <= MAX_STARTS


def start_suspect(engine, task):
    """Start a task again after one stored crash; return its start order."""
    crash_alone(engine, task, 1)
    factory.store(engine)
    [order] = factory.start_all(engine, 20.0)
    return order


def test_start_of_a_suspect_counts_for_a_successor_before_its_crash_is_proved():
    engine, task = make_engine()
    order = start_suspect(engine, task)
    stored = factory.store(engine)[task.job.id].crashes
    assert stored[task.name][1:] == [order.endpoint.incarnation]


@pytest.mark.parametrize("end", ["refused", "stopped"])
def test_start_of_a_suspect_without_a_crash_does_not_count(end):
    engine, task = make_engine()
    order = start_suspect(engine, task)
    if end == "refused":
        engine.start_refused(order, 20.1)
    else:
        report = factory.report(ended=[(1, task.name, order.run, end)])
        engine.process_report(order.endpoint, report, 20.1, 20.1)
    assert len(factory.store(engine)[task.job.id].crashes[task.name]) == 1


@pytest.mark.parametrize("seed", range(4))
def test_crashes_under_a_task_are_not_forgotten_while_the_store_is_away(seed):
    lost = virtualtime.run(run_deadly(seed, ONE_TASK, take_store_away, 60.0))
    assert len(lost) <= MAX_STARTS


@pytest.mark.parametrize("seed", range(2))
def test_innocent_tasks_survive_repeated_crashes_of_all_endpoints(seed):
    async def main():
        async with TestBed(seed, endpoints=6, daemons=2) as bed:
            clients = asyncio.create_task(submit_neighbours(bed))
            names = [bed.submit(steps=list(ONE_REPLICA)) for _number in range(4)]
            await bed.run(2.0)
            for _crash in range(4):
                await asyncio.gather(
                    *(bed.replace(model, 2.0) for model in list(bed.endpoints))
                )
                await bed.run(1.0)
            await bed.run(12.0)
            clients.cancel()
            assert all(bed.running_at(name) for name in names)
            for job_id in bed.specs:
                assert bed.job_state(job_id) != JobState.FAILED

    virtualtime.run(main())
