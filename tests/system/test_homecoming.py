"""Replicas return to a domain that is put back in, and no request fails."""

import threading
from concurrent.futures import ThreadPoolExecutor

from standins.cluster import Cluster, wait_for
from tests.system import helpers

REPLICAS = 4


def send_until(daemon, stop):
    """Send requests one after another until ``stop`` is set; return their outcomes."""
    outcomes = set()
    while not stop.wait(0.02):
        outcomes.add(helpers.outcome(helpers.request(daemon)))
    return outcomes


def running(cluster):
    """Return the number of running replicas by domain."""
    found = {"a": 0, "b": 0}
    for run in cluster.runs():
        if run["service"] and run["state"] == "running":
            found[run["endpoint"][0]] += 1
    return found


def take_out_and_back_in(cluster):
    """Take domain b out and back in; return the replica counts seen on its return."""
    helpers.set_domain(cluster.daemons[0], "b", "out")
    wait_for("all replicas to move to a", lambda: running(cluster) == {"a": 4, "b": 0})
    helpers.set_domain(cluster.daemons[0], "b", "in")
    seen = set()

    def replicas_are_back():
        by_domain = running(cluster)
        seen.add(sum(by_domain.values()))
        return by_domain == {"a": 2, "b": 2}

    wait_for("both domains to have two replicas", replicas_are_back, 60)
    helpers.pause(2.0)
    return seen


def test_replicas_return_after_an_outage_under_load():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=2, processors=8, extra=helpers.SHORT_SETTINGS
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], REPLICAS)
        wait_for("the replicas", lambda: running(cluster) == {"a": 2, "b": 2})
        stop = threading.Event()
        with ThreadPoolExecutor() as pool:
            entry_daemons = (cluster.daemons[0], cluster.daemons[-1])
            calls = [pool.submit(send_until, daemon, stop) for daemon in entry_daemons]
            try:
                seen = take_out_and_back_in(cluster)
            finally:
                stop.set()
        assert running(cluster) == {"a": 2, "b": 2}
        assert seen <= {REPLICAS, REPLICAS + 1}
        assert [each.result() for each in calls] == [{"done"}, {"done"}]
        assert not cluster.violations()
