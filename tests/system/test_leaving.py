"""An endpoint that the live list marks as leaving gets no new work."""

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

#: Covers one read of the live list, one scheduler tick and one log write.
SETTLE_SECONDS = 3.0
LIST_LAG_SECONDS = 1.0


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a",), daemons=2, endpoints=3, extra=helpers.SHORT_SETTINGS, processors=8
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 3)
        wait_for("all replicas", lambda: len(endpoints_serving_requests(cluster)) == 3)
        yield cluster


@pytest.fixture
def cluster(system):
    yield system
    system.platform_faults(store_down=False, list_lag=0.0)


def endpoints_serving_requests(cluster):
    """Send some requests and return the endpoints that executed them."""
    before = request_counts(cluster)
    for number in range(16):
        helpers.request(cluster.daemons[number % 2])
    after = request_counts(cluster)
    return [name for name in after if after[name] > before[name]]


def request_counts(cluster):
    return {
        name: len(cluster.http.get(f"http://{address}/control/requests").json())
        for name, address in cluster.endpoints.items()
    }


def mark_leaving(cluster, name):
    cluster.update_live_list([{**cluster.endpoint_vm(name), "leaving": True}])


def test_leaving_endpoint_gets_no_requests_and_no_tasks(cluster):
    cluster.platform_faults(list_lag=LIST_LAG_SECONDS)
    helpers.submit(cluster.daemons[0], "wave", 120, run_seconds=0.4)
    wait_for("starts", lambda: len(cluster.runs()) > 8)
    mark_leaving(cluster, "a-0")
    helpers.pause(LIST_LAG_SECONDS + SETTLE_SECONDS)
    assert "a-0" not in endpoints_serving_requests(cluster)
    starts = len(runs_on(cluster, "a-0"))
    helpers.submit(cluster.daemons[0], "after", 16, run_seconds=0.1)
    helpers.wait_done(cluster.daemons[0], "after", 16)
    assert len(runs_on(cluster, "a-0")) == starts
    assert not cluster.violations()


def test_leaving_endpoint_gets_no_requests_while_the_store_is_down(cluster):
    """The live list is then the only source that says that the endpoint leaves."""
    wait_for("replicas", lambda: endpoints_serving_requests(cluster) == ["a-1", "a-2"])
    cluster.platform_faults(store_down=True)
    mark_leaving(cluster, "a-1")
    helpers.pause(SETTLE_SECONDS)
    assert endpoints_serving_requests(cluster) == ["a-2"]


def runs_on(cluster, endpoint):
    return [run for run in cluster.runs() if run["endpoint"] == endpoint]
