"""Start delay of urgent jobs on full endpoints, with and without eviction.

Run ``python -m bench.urgent [--seed N]``; prints the seconds from submission to start
and writes them to out/urgent.csv.
"""

import argparse
import random
import time

from bench.colocated import metric, print_table, quantile, submit, write_csv
from standins.cluster import Cluster
from standins.process import wait_for

ENDPOINTS = 6
PROCESSORS = 8
ROUNDS = 5
TASKS = 4
#: Target for the time from submission to the start of the last task.
TARGET_SECONDS = 2.4
BATCH_SECONDS = 12.0
WAIT_SECONDS = 30.0

#: Variant -> scheduler settings.
VARIANTS = {"wait": "eviction = off", "evict": "eviction = on"}


def last_start(cluster, name):
    """Return the time when the last task of a job started; None if some have not."""
    starts = [r["started"] for r in cluster.runs() if r["origin"] == name]
    return max(starts) if len(starts) >= TASKS else None


def measure(variant, seed):
    """Return the table row of one variant."""
    rng = random.Random(seed)
    with Cluster(
        domains=("a",),
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\n{VARIANTS[variant]}\n",
        sample=1.0,
    ) as cluster:
        submit(cluster, "minutes", count=500, run_seconds=BATCH_SECONDS)
        capacity = ENDPOINTS * PROCESSORS
        wait_for("full machines", lambda: running_tasks(cluster) == capacity)
        delays = []
        for number in range(ROUNDS):
            time.sleep(rng.uniform(0.2, 0.8))
            name = f"crew-{number}"
            submitted_at = time.time()
            submit(
                cluster,
                name,
                count=TASKS,
                processors=2.0,
                urgency="urgent",
                run_seconds=1.0,
            )
            started_at = wait_for(
                name, lambda n=name: last_start(cluster, n), WAIT_SECONDS
            )
            delays.append(started_at - submitted_at)
        return {
            "policy": variant,
            "p50 s": quantile(delays, 0.5),
            "longest s": max(delays),
            "within target": sum(s <= TARGET_SECONDS for s in delays) / ROUNDS,
            "evictions": int(metric(cluster, "clementine_evictions_total")),
            "violations": len(cluster.violations()),
        }


def running_tasks(cluster):
    """Return the number of running tasks."""
    return sum(run["state"] == "running" for run in cluster.runs())


def main():
    """Measure both variants and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    rows = [measure(variant, parser.parse_args().seed) for variant in VARIANTS]
    print_table(rows)
    write_csv("urgent.csv", rows)


if __name__ == "__main__":
    main()
