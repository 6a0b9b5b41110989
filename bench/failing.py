"""Task health with one of 24 endpoints, or all, failing every task immediately.

Run ``python -m bench.failing [--seed N]``; prints the failing endpoints' share of task
starts, measured from the fifth second on, and writes it to out/failing.csv.
"""

import argparse
import random
import time

from bench.colocated import metric, print_table, submit, write_csv
from standins.cluster import Cluster

ENDPOINTS = 24
PROCESSORS = 4
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 12.0
RUN_SECONDS = 3.0

#: Variant -> (scheduler settings, number of failing endpoints).
VARIANTS = {
    "off": ("task_health = off", 1),
    "on": ("task_health = on", 1),
    "on, all fail": ("task_health = on", ENDPOINTS),
}


def measure(variant, seed):
    """Return the table row of one variant."""
    settings, failing = VARIANTS[variant]
    with Cluster(
        domains=("a",),
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\n{settings}\n",
        sample=1.0,
    ) as cluster:
        failing_endpoints = random.Random(seed).sample(
            sorted(cluster.endpoints), failing
        )
        for name in failing_endpoints:
            cluster.endpoint_faults(name, fail_tasks=["*"])
        attempts = 1000 if failing == ENDPOINTS else 5
        submit(
            cluster,
            "minutes",
            count=900,
            run_seconds=RUN_SECONDS,
            max_attempts=attempts,
        )
        time.sleep(SETTLE_SECONDS)
        measured_from = time.time()
        time.sleep(MEASURE_SECONDS)
        runs = [run for run in cluster.runs() if run["started"] >= measured_from]
        failing_starts = sum(run["endpoint"] in failing_endpoints for run in runs)
        return {
            "task health": variant,
            "starts": len(runs),
            "at failing %": 100.0 * failing_starts / max(1, len(runs)),
            "parked": int(metric(cluster, "clementine_parked_total")),
            "barred": int(metric(cluster, "clementine_barred")),
            "violations": len(cluster.violations()),
        }


def main():
    """Measure all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    rows = [measure(variant, seed) for variant in VARIANTS]
    print_table(rows)
    write_csv("failing.csv", rows)


if __name__ == "__main__":
    main()
