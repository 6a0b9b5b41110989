import threading

import httpx

from standins.cluster import Cluster, wait_for
from tests.system import helpers

REPLICAS = 4


class Caller:
    """Sends requests one after another from a thread and keeps the outcomes."""

    def __init__(self, daemon):
        self.daemon = daemon
        self.outcomes = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()

    def run(self):
        with httpx.Client(timeout=20) as client:
            while not self.ended.wait(0.02):
                answer = helpers.request(self.daemon, client=client)
                self.outcomes.append(helpers.outcome(answer))


def running(cluster):
    """Return the running replicas by domain."""
    found = {"a": 0, "b": 0}
    for run in cluster.runs():
        if run["service"] and run["state"] == "running":
            found[run["endpoint"][0]] += 1
    return found


def test_replicas_go_home_after_an_outage_while_requests_go_on():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=2, processors=8, extra=helpers.SHORT
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], REPLICAS)
        wait_for("the replicas", lambda: running(cluster) == {"a": 2, "b": 2})
        with Caller(cluster.daemons[0]) as one, Caller(cluster.daemons[-1]) as two:
            helpers.set_domain(cluster.daemons[0], "b", "out")
            wait_for("all away", lambda: running(cluster) == {"a": 4, "b": 0})
            helpers.set_domain(cluster.daemons[0], "b", "in")
            least = []

            def back():
                now = running(cluster)
                least.append(sum(now.values()))
                return now == {"a": 2, "b": 2}

            wait_for("all at home", back, 60)
            helpers.pause(2.0)
        assert running(cluster) == {"a": 2, "b": 2}
        assert min(least) >= REPLICAS and max(least) <= REPLICAS + 1
        for caller in (one, two):
            assert set(caller.outcomes) == {"done"}
        assert not cluster.violations()
