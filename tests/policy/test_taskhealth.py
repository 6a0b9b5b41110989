from clementinebay.policy import planner, taskhealth
from clementinebay.policy.taskhealth import TaskHealth
from clementinebay.shard.entities import Phase
from clementinebay.shard.wire import ttypes as wire
from tests.policy import factory

TICK_SECONDS = 0.1


class Simulation:
    """Plans once per tick; endpoints report failures at the next tick."""

    def __init__(self, state, fails, run_seconds=3.0):
        self.state = state
        self.fails = fails
        self.run_seconds = run_seconds
        self.health = TaskHealth()
        self.now = 100.0
        self.starts = []

    def tick(self):
        self.now += TICK_SECONDS
        for endpoint in list(self.state.endpoints.values()):
            for name, index in sorted(endpoint.held):
                self.finish(endpoint.seen.id, name, index)
        self.health.review(self.now)
        plan = planner.plan(self.state, self.now, self.now + 3.0, health=self.health)
        for bind in plan.binds:
            self.starts.append((self.now, bind.endpoint))
        factory.bind_all(self.state, plan)

    def finish(self, endpoint, name, index):
        task = self.state.jobs[name].tasks[index]
        failed = self.fails(endpoint, name)
        if not failed and self.now < task.bound_at + self.run_seconds:
            return
        outcome = wire.Outcome.FAILED if failed else wire.Outcome.DONE
        finish = wire.Finish(name, index, task.attempt, outcome, "fault", self.now)
        record = wire.Record(finish=finish)
        self.state.apply(self.health.attribute_failure(self.state, record, self.now))

    def run(self, seconds):
        for _tick in range(round(seconds / TICK_SECONDS)):
            self.tick()
        self.state.check()


def phases(state, name):
    return {task.phase for task in state.jobs[name].tasks.values()}


def test_endpoint_on_which_all_tasks_fail_gets_few_starts():
    state = factory.fleet(count=24)
    factory.submit(state, "minutes", 2000)
    simulation = Simulation(state, lambda endpoint, _job: endpoint == "e-007")
    simulation.run(40)
    later = [e for at, e in simulation.starts if at > 105.0]
    assert later.count("e-007") < 0.02 * len(later)
    assert Phase.PARKED not in phases(state, "minutes")


def test_job_that_always_fails_is_parked_and_bars_no_endpoint():
    state = factory.fleet(count=24)
    factory.submit(state, "minutes", 2000)
    factory.submit(state, "broken", 3, max_attempts=4)
    simulation = Simulation(state, lambda _endpoint, job: job == "broken")
    simulation.run(30)
    assert phases(state, "broken") == {Phase.PARKED}
    reasons = {task.reason for task in state.jobs["broken"].tasks.values()}
    assert reasons == {f"{taskhealth.ParkReason.FAILS_EVERYWHERE}: fault"}
    assert not any(h.bars for h in simulation.health.endpoints.values())


def test_fault_of_all_endpoints_bars_none():
    state = factory.fleet(count=24)
    factory.submit(state, "minutes", 2000, max_attempts=1000)
    simulation = Simulation(state, lambda _endpoint, _job: True)
    simulation.run(20)
    assert not any(h.bars for h in simulation.health.endpoints.values())


def test_endpoint_that_recovers_is_used_again():
    state = factory.fleet(count=24)
    factory.submit(state, "minutes", 5000)
    bad = {"e-007"}
    simulation = Simulation(state, lambda endpoint, _job: endpoint in bad)
    simulation.run(8)
    bad.clear()
    simulation.run(30)
    recent = [e for at, e in simulation.starts if at > 130.0]
    assert recent.count("e-007") > 0.02 * len(recent)


def test_failure_of_a_suspect_job_does_not_bar_an_endpoint_on_probation():
    state = factory.fleet(count=4)
    factory.submit(state, "broken", 1)
    health = TaskHealth()
    health.failed_on["broken"] = {"e-001", "e-002", "e-003"}
    health.endpoints["e-000"] = taskhealth.EndpointHealth()
    health.endpoints["e-000"].probation = True
    state.apply(wire.Record(bind=wire.Bind("broken", 0, 1, "e-000", 1e9, 1.0)))
    failed = wire.Finish("broken", 0, 1, wire.Outcome.FAILED, "fault", 2.0)
    health.observe(state, failed, 2.0)
    assert not health.barred("e-000", 2.0)
