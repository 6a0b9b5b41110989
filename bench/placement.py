"""Colocation: tail latency of a service and batch throughput, by policy.

Run ``python -m bench.placement [--seed N]``: batch work alone, then a service with the
same batch work under each policy, with the same arrivals.  Results are printed and
written to out/placement.csv.
"""

import argparse
import asyncio
import time

from bench.colocated import Arrivals, metric, print_table, submit, work_done, write_csv
from standins.cluster import Cluster
from standins.process import wait_for

ENDPOINTS = 6
PROCESSORS = 8
REPLICAS = 3
RATE = 120.0
SERVICE_SECONDS = 0.02
#: Bound of the factor by which sizes and run times are wrong.
WRONG_FACTOR = 5.0
JOBS = 60
TASKS = 10
RUN_SECONDS = 6.0
#: Slowdown of the service by one core of each kind.
WEIGHTS = {"transcode": 0.3, "minutes": 0.03, "summary": 0.0}
SETTLE_SECONDS = 1.0
ALONE_SECONDS = 6.0
WARM_SECONDS = 12.0
MEASURE_SECONDS = 12.0

#: Variant -> settings of the daemon.
VARIANTS = {
    "least-declared": "placement = least-declared\ncolocation = off",
    "spread": "placement = spread\ncolocation = off",
    "balanced": "placement = balanced\ncolocation = on",
}


def cluster_of(variant):
    """Return a cluster of one domain with the settings of ``variant``."""
    return Cluster(
        domains=("a",),
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\n{VARIANTS[variant]}\n",
        sample=1.0,
    )


def set_up(cluster):
    """Set the endpoints' model."""
    for name in cluster.endpoints:
        cluster.endpoint_faults(
            name,
            service_seconds=SERVICE_SECONDS,
            wrong_factor=WRONG_FACTOR,
            interference={f"call-in|{kind}": w for kind, w in WEIGHTS.items()},
        )


def submit_batch(cluster):
    """Submit the batch jobs, the kinds in turn."""
    kinds = list(WEIGHTS)
    for number in range(JOBS):
        kind = kinds[number % len(kinds)]
        submit(
            cluster, f"b-{number:02d}", kind=kind, count=TASKS, run_seconds=RUN_SECONDS
        )


def throughput(cluster, action):
    """Return the processor-seconds of batch work done a second during ``action``."""
    before, at = sum(work_done(cluster.runs()).values()), time.monotonic()
    action()
    gained = sum(work_done(cluster.runs()).values()) - before
    return gained / (time.monotonic() - at)


def batch_alone():
    """Return the throughput of batch work alone."""
    with cluster_of("least-declared") as cluster:
        set_up(cluster)
        submit_batch(cluster)
        time.sleep(WARM_SECONDS)
        return throughput(cluster, lambda: time.sleep(MEASURE_SECONDS))


def measure(variant, alone, seed):
    """Return the row of one variant."""
    with cluster_of(variant) as cluster:
        set_up(cluster)
        submit(
            cluster,
            "call-in",
            service=True,
            count=REPLICAS,
            processors=2.0,
            urgency="urgent",
        )
        wait_for("the replicas", lambda: running(cluster) == REPLICAS)
        time.sleep(SETTLE_SECONDS)
        quiet = Arrivals(cluster.daemons, "call-in", RATE, seed)
        asyncio.run(quiet.run(ALONE_SECONDS))
        submit_batch(cluster)
        warm = Arrivals(cluster.daemons, "call-in", RATE, seed + 1)
        asyncio.run(warm.run(WARM_SECONDS))
        loaded = Arrivals(cluster.daemons, "call-in", RATE, seed + 2)
        done = throughput(cluster, lambda: asyncio.run(loaded.run(MEASURE_SECONDS)))
        for arrivals in (quiet, warm, loaded):
            print(arrivals.failed) if arrivals.failed else None
        return {
            "policy": variant,
            "alone p50 ms": quiet.quantile_ms(0.5),
            "alone p99 ms": quiet.quantile_ms(0.99),
            "p50 ms": loaded.quantile_ms(0.5),
            "p99 ms": loaded.quantile_ms(0.99),
            "p99 ratio": loaded.quantile_ms(0.99) / quiet.quantile_ms(0.99),
            "batch ratio": done / alone,
            "evictions": int(metric(cluster, "clementine_evictions_total")),
            "failed": sum(len(a.failed) for a in (quiet, warm, loaded)),
            "violations": len(cluster.violations()),
        }


def running(cluster):
    """Return how many replicas run."""
    return sum(run["service"] and run["state"] == "running" for run in cluster.runs())


def main():
    """Measure all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", choices=list(VARIANTS))
    arguments = parser.parse_args()
    alone = batch_alone()
    print(f"batch alone: {alone:.1f} processor-seconds a second")
    variants = arguments.only or VARIANTS
    rows = [measure(variant, alone, arguments.seed) for variant in variants]
    print_table(rows)
    write_csv("placement.csv", rows)


if __name__ == "__main__":
    main()
