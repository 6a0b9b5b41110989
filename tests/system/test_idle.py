import time

from bench.colocated import metric, submit
from standins.cluster import Cluster
from standins.process import wait_for

IDLE_SECONDS = 2.5
#: An unchanged shard decides once a second; one more allows for a late change.
MAX_DECISIONS = 4


def decisions(cluster):
    return metric(cluster, "clementine_decision_seconds_count")


def test_idle_shard_writes_nothing_and_decides_rarely():
    with Cluster(domains=("a",), daemons=1, endpoints=2) as cluster:
        submit(cluster, "call-in", service=True, count=2, urgency="urgent")
        wait_for("replicas", lambda: len(cluster.runs()) == 2)
        time.sleep(2.0)
        written, decided = (
            metric(cluster, "clementine_records_total"),
            decisions(cluster),
        )
        time.sleep(IDLE_SECONDS)
        assert metric(cluster, "clementine_records_total") == written
        assert decisions(cluster) - decided <= MAX_DECISIONS
