"""Moves between domains while the scheduler of either domain is killed at each step."""

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

TASKS = 4
#: A successor that wrongly repeats a move does so within this time.
REPEATED_MOVE_SECONDS = 1.0
#: Step of a move -> the log write to hold: domain, record, whether it takes effect.
STEPS = {
    "before-move": ("a", "move", False),
    "move-to-submission": ("b", "submit", False),
    "submission-to-confirmation": ("a", "moved", False),
    "confirmation-to-start": ("a", "moved", True),
}


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


@pytest.fixture
def cluster(system):
    """A cluster with domain a in and b out, so that all work starts in a."""
    operator = system.daemons[0]
    set_domains(system, operator, a="in", b="out")
    yield system
    helpers.restore(system)


def set_domains(cluster, operator, **states):
    for domain, state in states.items():
        revision = helpers.set_domain(operator, domain, state)
    wait_for(
        "all daemons to have the domain states",
        lambda: all_have_revision(cluster, revision),
    )


def all_have_revision(cluster, revision):
    statuses = [cluster.status(daemon) for daemon in cluster.daemons]
    return all(status["config_revision"] >= revision for status in statuses)


def leader(cluster, domain):
    return wait_for(f"the scheduler of {domain}", lambda: cluster.leader(domain))


@pytest.mark.parametrize("killed_domain", ["a", "b"])
@pytest.mark.parametrize("step", STEPS)
def test_scheduler_killed_at_each_step(cluster, step, killed_domain):
    """The held write is released after the job is done and must then change nothing."""
    name = f"{step}-{killed_domain}"
    killed = leader(cluster, killed_domain)
    operator = next(d for d in cluster.daemons if d.domain == "b" and d is not killed)
    leader(cluster, "a")
    helpers.submit(operator, name, TASKS, run_seconds=3)
    wait_for("runs", lambda: helpers.job_counts(operator, name)["running"] == TASKS)
    set_domains(cluster, operator, b="in")
    domain, record, effect = STEPS[step]
    if step == "confirmation-to-start":
        cluster.proxy("endpoint:b-0", cut="up")
    cluster.hold_write(domain, record, effect)
    helpers.set_domain(operator, "a", "out")
    wait_for(f"the write of {record}", cluster.write_held)
    killed.process.kill()
    cluster.proxy("endpoint:b-0", cut="")
    helpers.wait_done(operator, name, TASKS, seconds=40)
    leader(cluster, killed_domain)
    helpers.pause(REPEATED_MOVE_SECONDS)
    cluster.platform_faults(hold=None)
    helpers.pause(REPEATED_MOVE_SECONDS)
    helpers.assert_each_done_once(cluster, name, TASKS)
    assert_moved_and_resumed(cluster, name)


def assert_moved_and_resumed(cluster, name):
    """Check that each task began in a and resumed in b from its checkpoint.

    The last run must be the one that is done; a later run means that the move was
    repeated.
    """
    for (origin, _index), runs in helpers.runs_by_task(cluster.runs()).items():
        if origin == name:
            first, last = runs[0], runs[-1]
            assert (first["endpoint"], last["endpoint"]) == ("a-0", "b-0")
            assert last["state"] == "done", runs
            assert last["begun_with"] > 0.0, "the task restarted without its checkpoint"
            assert last["begun_with"] <= first["progress"] + 0.01
