import threading
from concurrent.futures import ThreadPoolExecutor

from standins.cluster import Cluster, wait_for
from tests.system import helpers

REPLICAS = 4


def call(daemon, ended):
    """Send requests one after another; return their outcomes."""
    outcomes = set()
    while not ended.wait(0.02):
        outcomes.add(helpers.outcome(helpers.request(daemon)))
    return outcomes


def running(cluster):
    """Return the running replicas by domain."""
    found = {"a": 0, "b": 0}
    for run in cluster.runs():
        if run["service"] and run["state"] == "running":
            found[run["endpoint"][0]] += 1
    return found


def leave_and_return(cluster):
    """Take a domain out and in; return the numbers of replicas seen on the way back."""
    helpers.set_domain(cluster.daemons[0], "b", "out")
    wait_for("all away", lambda: running(cluster) == {"a": 4, "b": 0})
    helpers.set_domain(cluster.daemons[0], "b", "in")
    seen = set()

    def back():
        now = running(cluster)
        seen.add(sum(now.values()))
        return now == {"a": 2, "b": 2}

    wait_for("all at home", back, 60)
    helpers.pause(2.0)
    return seen


def test_replicas_go_home_after_an_outage_while_requests_go_on():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=2, processors=8, extra=helpers.SHORT_SETTINGS
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], REPLICAS)
        wait_for("the replicas", lambda: running(cluster) == {"a": 2, "b": 2})
        ended = threading.Event()
        with ThreadPoolExecutor() as pool:
            ends = (cluster.daemons[0], cluster.daemons[-1])
            calls = [pool.submit(call, daemon, ended) for daemon in ends]
            try:
                seen = leave_and_return(cluster)
            finally:
                ended.set()
        assert running(cluster) == {"a": 2, "b": 2}
        assert seen <= {REPLICAS, REPLICAS + 1}
        assert [each.result() for each in calls] == [{"done"}, {"done"}]
        assert not cluster.violations()
