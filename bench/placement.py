"""Colocation: tail latency of a service and batch throughput, by policy.

Run ``python -m bench.placement [--seed N]``: runs batch work alone, then a service
together with the same batch work under each policy, with the same arrivals.  Results
are printed and written to out/placement.csv.
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
#: Largest factor by which declared sizes and run times differ from the actual ones.
WRONG_FACTOR = 5.0
JOBS = 60
TASKS = 10
RUN_SECONDS = 6.0
#: Slowdown of the service per core of each kind of batch work.
SLOWDOWNS = {"transcode": 0.3, "minutes": 0.03, "summary": 0.0}
SETTLE_SECONDS = 1.0
ALONE_SECONDS = 6.0
WARM_UP_SECONDS = 12.0
MEASURE_SECONDS = 12.0

#: Variant -> scheduler settings.
VARIANTS = {
    "least-declared": "placement = least-declared\ncolocation = off",
    "spread": "placement = spread\ncolocation = off",
    "balanced": "placement = balanced\ncolocation = on",
}


def make_cluster(variant):
    """Return a cluster of one domain with the settings of ``variant``."""
    return Cluster(
        domains=("a",),
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\n{VARIANTS[variant]}\n",
        sample=1.0,
    )


def set_endpoint_model(cluster):
    """Set service time, errors and interference of all endpoints."""
    for name in cluster.endpoints:
        cluster.endpoint_faults(
            name,
            service_seconds=SERVICE_SECONDS,
            wrong_factor=WRONG_FACTOR,
            interference={f"call-in|{kind}": s for kind, s in SLOWDOWNS.items()},
        )


def submit_batch(cluster):
    """Submit the batch jobs, cycling through the kinds."""
    kinds = list(SLOWDOWNS)
    for number in range(JOBS):
        kind = kinds[number % len(kinds)]
        submit(
            cluster, f"b-{number:02d}", kind=kind, count=TASKS, run_seconds=RUN_SECONDS
        )


def throughput(cluster, action):
    """Return the processor-seconds of batch work per second during ``action``."""
    before, start = sum(work_done(cluster.runs()).values()), time.monotonic()
    action()
    gained = sum(work_done(cluster.runs()).values()) - before
    return gained / (time.monotonic() - start)


def measure_batch_alone():
    """Return the throughput of batch work without the service."""
    with make_cluster("least-declared") as cluster:
        set_endpoint_model(cluster)
        submit_batch(cluster)
        time.sleep(WARM_UP_SECONDS)
        return throughput(cluster, lambda: time.sleep(MEASURE_SECONDS))


def measure(variant, batch_alone, seed):
    """Return the table row of one variant."""
    with make_cluster(variant) as cluster:
        set_endpoint_model(cluster)
        submit(
            cluster,
            "call-in",
            service=True,
            count=REPLICAS,
            processors=2.0,
            urgency="urgent",
        )
        wait_for("the replicas", lambda: running_replicas(cluster) == REPLICAS)
        time.sleep(SETTLE_SECONDS)
        service_alone = Arrivals(cluster.daemons, "call-in", RATE, seed)
        asyncio.run(service_alone.run(ALONE_SECONDS))
        submit_batch(cluster)
        warm_up = Arrivals(cluster.daemons, "call-in", RATE, seed + 1)
        asyncio.run(warm_up.run(WARM_UP_SECONDS))
        colocated = Arrivals(cluster.daemons, "call-in", RATE, seed + 2)
        batch_work = throughput(
            cluster, lambda: asyncio.run(colocated.run(MEASURE_SECONDS))
        )
        for arrivals in (service_alone, warm_up, colocated):
            print(arrivals.failed) if arrivals.failed else None
        return {
            "policy": variant,
            "alone p50 ms": service_alone.quantile_ms(0.5),
            "alone p99 ms": service_alone.quantile_ms(0.99),
            "p50 ms": colocated.quantile_ms(0.5),
            "p99 ms": colocated.quantile_ms(0.99),
            "p99 ratio": colocated.quantile_ms(0.99) / service_alone.quantile_ms(0.99),
            "batch ratio": batch_work / batch_alone,
            "evictions": int(metric(cluster, "clementine_evictions_total")),
            "failed": sum(len(a.failed) for a in (service_alone, warm_up, colocated)),
            "violations": len(cluster.violations()),
        }


def running_replicas(cluster):
    """Return the number of running replicas."""
    return sum(run["service"] and run["state"] == "running" for run in cluster.runs())


def main():
    """Measure the selected variants and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", choices=list(VARIANTS))
    arguments = parser.parse_args()
    batch_alone = measure_batch_alone()
    print(f"batch alone: {batch_alone:.1f} processor-seconds a second")
    variants = arguments.only or VARIANTS
    rows = [measure(variant, batch_alone, arguments.seed) for variant in variants]
    print_table(rows)
    write_csv("placement.csv", rows)


if __name__ == "__main__":
    main()
