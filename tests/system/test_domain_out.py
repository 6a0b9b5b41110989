"""No task starts in a domain later than a fixed time after it was taken out."""

import signal
import time

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

#: Latest start after a domain is taken out: start_grace_seconds plus
#: clock_skew_seconds of `helpers.SHORT_SETTINGS`.
LATEST_START_SECONDS = 2.0 + 0.2


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


def start_times(cluster, domain):
    return [r["started"] for r in cluster.runs() if r["endpoint"].startswith(domain)]


def assert_no_late_start(cluster, out_at):
    late = [
        s - out_at
        for s in start_times(cluster, "a")
        if s > out_at + LATEST_START_SECONDS
    ]
    assert not late
    assert not cluster.violations()


def test_domain_taken_out_while_cut_off_from_the_platform(cluster):
    operator = next(d for d in cluster.daemons if d.domain == "b")
    # Start orders are delayed in the proxy, and no daemon is left that could stop them.
    cluster.proxy("endpoint:a-*", cut="up")
    helpers.submit(operator, "cut", 32)
    wait_for("bindings", lambda: helpers.job_counts(operator, "cut")["bound"] >= 16)
    cluster.cut_from_platform("a-*")
    cluster.cut_from_domains("a")
    helpers.set_domain(operator, "a", "out")
    out_at = time.time()
    helpers.pause(LATEST_START_SECONDS + 0.3)
    cluster.proxy("endpoint:a-*", cut="")
    helpers.pause(1.0)
    assert_no_late_start(cluster, out_at)
    cluster.clear_faults()
    wait_for(
        "domain a to know that it is out",
        lambda: cluster.status(cluster.daemons[0])["domain_out"],
    )
    assert_no_late_start(cluster, out_at)
    helpers.set_domain(operator, "a", "in")
    wait_for(
        "domain a to be in",
        lambda: not cluster.status(cluster.daemons[0])["domain_out"],
    )


def test_scheduler_paused_while_its_domain_is_taken_out(cluster):
    operator = next(d for d in cluster.daemons if d.domain == "b")
    before = len(start_times(cluster, "a"))
    helpers.submit(operator, "paused", 600, run_seconds=0.5)
    wait_for("starts", lambda: len(start_times(cluster, "a")) > before + 20)
    paused = wait_for("the scheduler", lambda: cluster.leader("a"))
    # Its start orders are delayed in the proxy while it is paused.
    cluster.proxy("endpoint:a-*", cut="up")
    helpers.pause(0.5)
    paused.process.signal(signal.SIGSTOP)
    helpers.set_domain(operator, "a", "out")
    out_at = time.time()
    helpers.pause(LATEST_START_SECONDS + 0.3)
    paused.process.signal(signal.SIGCONT)
    cluster.clear_faults()
    helpers.pause(1.0)
    assert_no_late_start(cluster, out_at)
    helpers.set_domain(operator, "a", "in")
