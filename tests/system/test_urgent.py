"""Urgent work evicts batch tasks, which resume from their checkpoints."""

import time

from bench.colocated import submit
from standins.cluster import Cluster
from standins.process import wait_for

#: Time limit for urgent work to start, in seconds.
START_SECONDS = 2.4


def runs_of(cluster, name):
    return [run for run in cluster.runs() if run["origin"] == name]


def test_urgent_work_starts_in_time_and_evicted_work_resumes():
    with Cluster(domains=("a",), daemons=1, endpoints=1, processors=2) as cluster:
        submit(cluster, "minutes", count=2, run_seconds=4.0)
        wait_for(
            "the endpoint to be full", lambda: len(runs_of(cluster, "minutes")) == 2
        )
        time.sleep(1.0)
        submitted_at = time.time()
        submit(cluster, "crew", urgency="urgent", processors=1.0, run_seconds=0.5)
        started = wait_for("crew", lambda: runs_of(cluster, "crew"))[0]["started"]
        assert started - submitted_at <= START_SECONDS
        wait_for("the resumed task", lambda: len(runs_of(cluster, "minutes")) == 3)
        resumed = max(runs_of(cluster, "minutes"), key=lambda run: run["started"])
        assert resumed["begun_with"] > 0.1
        assert not cluster.violations()
