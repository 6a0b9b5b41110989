import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

#: First leases outlast a restart, so that only the worker's refusal keeps a start out.
GRACE_SECONDS = 16.0
SETTINGS = helpers.SHORT_SETTINGS.replace(
    "start_grace_seconds = 2", f"start_grace_seconds = {GRACE_SECONDS}"
)
#: A first lease and twice the skew of clocks.
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


def standins_word(cluster):
    address = cluster.endpoints["a-0"]
    return cluster.http.get(f"http://{address}/control/runs").json()


def running(cluster, name):
    runs = [run for run in cluster.runs() if run["origin"] == name]
    return [run["state"] for run in runs].count("running")


def test_start_of_a_stopped_attempt_reaches_a_restarted_endpoint(cluster):
    """The endpoint has forgotten the stop, and the start's lease has not run out."""
    daemon = cluster.daemons[0]
    helpers.pause(1.0)
    cluster.proxy("endpoint:a-0", park=True, sever=True)
    helpers.submit(daemon, "late", 4, processors=1, run_seconds=60)
    wait_for("bindings", lambda: helpers.job_counts(daemon, "late")["bound"] == 4)
    helpers.pause(0.5)
    # The orders that wait are given up; they are repeated on other connections.
    cluster.proxy("endpoint:a-0", park=False)
    wait_for("runs", lambda: running(cluster, "late") == 4)
    helpers.cancel(daemon, "late")
    wait_for("stops", lambda: running(cluster, "late") == 0)
    cluster.restart_endpoints("a")
    helpers.pause(2.0)
    helpers.submit(daemon, "next", 4, processors=1, run_seconds=3)
    wait_for("runs", lambda: running(cluster, "next") == 4)
    cluster.proxy("endpoint:a-0", unpark=True)
    wait_for("the late start", lambda: came(cluster))
    assert not cluster.violations()
    assert {run["origin"] for run in cluster.runs()} == {"next"}
    helpers.wait_done(daemon, "next", 4)
    helpers.assert_each_done_once(cluster, "next", 4)


def came(cluster):
    """Return whether the late start was refused or carried out."""
    return "late" in standins_word(cluster)["barred"] or cluster.violations()
