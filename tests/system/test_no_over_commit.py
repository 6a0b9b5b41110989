import signal

import pytest

from standins.cluster import Cluster, wait_for
from tests.system import helpers

TASKS = 10


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a",), daemons=2, endpoints=1, extra=helpers.SHORT, proxied=True, processors=4
    ) as cluster:
        yield cluster


def test_scheduler_paused_in_mid_write_commits_nothing_twice(cluster):
    paused = wait_for("a scheduler", lambda: cluster.leader("a"))
    other = next(daemon for daemon in cluster.daemons if daemon is not paused)
    # The paused daemon's bindings wait in the proxy until its successor has bound.
    cluster.cut_from_platform(paused.name, "up")
    helpers.submit(other, "plans", TASKS, processors=1)
    helpers.pause(0.5)
    paused.process.signal(signal.SIGSTOP)
    wait_for("the other to schedule", lambda: cluster.status(other)["scheduler"])
    wait_for("runs", lambda: len(cluster.runs()) >= 4)
    cluster.heal()
    paused.process.signal(signal.SIGCONT)
    helpers.wait_done(other, "plans", TASKS)
    helpers.assert_each_done_once(cluster, "plans", TASKS)
    cluster.wait_ready(paused)


def test_both_may_write_at_once(cluster):
    for number, daemon in enumerate(cluster.daemons):
        helpers.submit(daemon, f"wave-{number}", TASKS, processors=1, run_seconds=0.3)
    cluster.platform_faults(lose=0.3)
    leader = wait_for("a scheduler", lambda: cluster.leader("a"))
    for _round in range(2):
        # Past its lease, so that the other writes too when it goes on.
        leader.process.signal(signal.SIGSTOP)
        helpers.pause(2.2)
        leader.process.signal(signal.SIGCONT)
    cluster.heal()
    for number, daemon in enumerate(cluster.daemons):
        helpers.wait_done(daemon, f"wave-{number}", TASKS)
        helpers.assert_each_done_once(cluster, f"wave-{number}", TASKS)
