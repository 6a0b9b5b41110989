"""A restarted endpoint refuses start orders issued before its restart."""

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

#: First leases outlast a restart, so only the endpoint's refusal prevents a late start.
GRACE_SECONDS = 16.0
SETTINGS = helpers.SHORT_SETTINGS.replace(
    "start_grace_seconds = 2", f"start_grace_seconds = {GRACE_SECONDS}"
)
#: Duration of a first lease plus twice the clock skew of 0.2 s.
BAR_SECONDS = GRACE_SECONDS + 0.4


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a",),
        daemons=2,
        endpoints=1,
        extra=SETTINGS,
        proxied=True,
        processors=4,
        boot_bar_seconds=BAR_SECONDS,
    ) as cluster:
        yield cluster


def endpoint_report(cluster):
    address = cluster.endpoints["a-0"]
    return cluster.http.get(f"http://{address}/control/runs").json()


def running(cluster, name):
    runs = [run for run in cluster.runs() if run["origin"] == name]
    return [run["state"] for run in runs].count("running")


def test_start_of_a_stopped_attempt_reaches_a_restarted_endpoint(cluster):
    """The endpoint lost its record of the stop; the start's lease is still valid."""
    daemon = cluster.daemons[0]
    helpers.pause(1.0)
    cluster.proxy("endpoint:a-0", park=True, sever=True)
    helpers.submit(daemon, "late", 4, processors=1, run_seconds=60)
    wait_for("bindings", lambda: helpers.job_counts(daemon, "late")["bound"] == 4)
    helpers.pause(0.5)
    # The daemon gives up the parked orders and repeats them on new connections.
    cluster.proxy("endpoint:a-0", park=False)
    wait_for("runs", lambda: running(cluster, "late") == 4)
    helpers.cancel(daemon, "late")
    wait_for("stops", lambda: running(cluster, "late") == 0)
    cluster.restart_endpoints("a")
    helpers.pause(2.0)
    helpers.submit(daemon, "next", 4, processors=1, run_seconds=3)
    wait_for("runs", lambda: running(cluster, "next") == 4)
    cluster.proxy("endpoint:a-0", unpark=True)
    wait_for("the late start", lambda: late_start_arrived(cluster))
    assert not cluster.violations()
    assert {run["origin"] for run in cluster.runs()} == {"next"}
    helpers.wait_done(daemon, "next", 4)
    helpers.assert_each_done_once(cluster, "next", 4)


def late_start_arrived(cluster):
    """Return whether the endpoint refused the late start or executed it."""
    return "late" in endpoint_report(cluster)["barred"] or cluster.violations()
