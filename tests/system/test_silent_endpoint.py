"""An endpoint hangs while the live list still shows it as live."""

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a",), daemons=2, endpoints=3, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


def test_tasks_of_a_hung_endpoint_run_elsewhere_until_it_returns(cluster):
    operator = cluster.daemons[0]
    helpers.submit(operator, "plans", 9, run_seconds=4)
    wait_for("runs", lambda: helpers.job_counts(operator, "plans")["running"] == 9)
    cluster.proxy("endpoint:a-0", cut="both")
    helpers.wait_done(operator, "plans", 9, seconds=30)
    assert not cluster.violations()
    assert lost(operator) == {"a-0"}
    cluster.clear_faults()
    wait_for("a-0 to be usable again", lambda: not lost(operator))
    helpers.submit(operator, "more", 60, run_seconds=1)
    helpers.wait_done(operator, "more", 60, seconds=30)
    used = {run["endpoint"] for run in cluster.runs() if run["origin"] == "more"}
    assert used == {"a-0", "a-1", "a-2"}
    assert not cluster.violations()


def lost(daemon):
    rows = helpers.CLIENT.get(f"{daemon.url}/v1/endpoints").json()
    return {row["id"] for row in rows if row["lost"]}
