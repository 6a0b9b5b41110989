"""Two daemons that both act as scheduler never over-commit an endpoint."""

import signal

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

TASKS = 10
SETTINGS = helpers.SHORT_SETTINGS.replace(
    "start_grace_seconds = 2", "start_grace_seconds = 8"
).replace("leader_seconds = 2", "leader_seconds = 6")


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a",), daemons=2, endpoints=1, extra=SETTINGS, proxied=True, processors=4
    ) as cluster:
        yield cluster


def test_scheduler_paused_during_a_write(cluster):
    """A paused scheduler's bindings reach the platform after their job was cancelled.

    The successor has filled the endpoint by then.  The start leases outlast the pause,
    so only the log prevents the stale bindings from being started.  Only one daemon
    writes at a time: a faulty log that accepts two writes at one index still accepts
    every submission, so the checks below see the fault.
    """
    paused = wait_for("a scheduler", lambda: cluster.leader("a"))
    other = next(daemon for daemon in cluster.daemons if daemon is not paused)
    helpers.submit(paused, "first", 1, run_seconds=0.1)
    helpers.wait_done(paused, "first", 1)
    wait_for("both daemons to have the same log index", lambda: logs_agree(cluster))
    cluster.cut_from_platform(paused.name, "up")
    helpers.submit(other, "late", 4, processors=1, run_seconds=5)
    helpers.pause(0.4)
    paused.process.signal(signal.SIGSTOP)
    helpers.cancel(other, "late")
    cluster.expire_leader_lease("a")
    helpers.submit(other, "next", 4, processors=1, run_seconds=4)
    wait_for("four runs", lambda: len(cluster.runs()) == 5)
    cluster.clear_faults()
    paused.process.signal(signal.SIGCONT)
    helpers.pause(3.0)
    assert not cluster.violations()
    assert {run["origin"] for run in cluster.runs()} == {"first", "next"}
    wait_for("both daemons to have the same log index", lambda: logs_agree(cluster))
    helpers.wait_done(other, "next", 4)
    helpers.assert_each_done_once(cluster, "next", 4)
    assert {run["origin"] for run in cluster.runs()} == {"first", "next"}


def logs_agree(cluster):
    statuses = [cluster.status(daemon) for daemon in cluster.daemons]
    return len({status["log_index"] for status in statuses}) == 1


def test_two_daemons_write_concurrently(cluster):
    for number, daemon in enumerate(cluster.daemons):
        helpers.submit(daemon, f"wave-{number}", TASKS, processors=1, run_seconds=0.3)
    cluster.platform_faults(lose=0.3)
    leader = wait_for("a scheduler", lambda: cluster.leader("a"))
    for _round in range(2):
        # Its lease expires while it is paused, so afterwards both daemons write.
        leader.process.signal(signal.SIGSTOP)
        cluster.expire_leader_lease("a")
        helpers.pause(0.5)
        leader.process.signal(signal.SIGCONT)
    cluster.clear_faults()
    for number, daemon in enumerate(cluster.daemons):
        helpers.wait_done(daemon, f"wave-{number}", TASKS)
        helpers.assert_each_done_once(cluster, f"wave-{number}", TASKS)
