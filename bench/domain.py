"""Drain and return of a failure domain under batch load, by policy.

Run ``python -m bench.domain [--seed N]``: three domains are full of batch work; one
is drained and returned.  "balanced" moves work according to the free capacity of the
other domains and moves work back afterwards; "even" divides the work of the drained
domain equally and moves nothing else; "no checkpoints" is "balanced" with endpoints
that cannot checkpoint.  Meanwhile requests arrive at a service with replicas in all
domains.  Results are printed and written to out/domain.csv, and the work of each second
to out/domain-seconds.csv.
"""

import argparse
import asyncio
import random
import threading
import time

from bench.colocated import (
    Arrivals,
    metric,
    print_table,
    submit,
    work_done,
    write_csv,
)
from standins.cluster import Cluster

DOMAINS = ("a", "b", "c")
ENDPOINTS = 3
PROCESSORS = 8
JOBS = 40
TASKS = 24
RUN_SECONDS = 5.0
BEFORE_SECONDS = 6
OUT_SECONDS = 12
AFTER_SECONDS = 12
REPLICAS = 6
#: Requests per second.
RATE = 50.0
#: A returned domain has recovered at this fraction of its work rate before the outage.
RECOVERED_SHARE = 0.9
#: Checkpoint interval longer than the whole run.
NEVER_SECONDS = 10_000.0

#: Variant -> (scheduler settings, endpoint faults).
VARIANTS = {
    "even": ("balance = off", {}),
    "balanced": ("balance = on", {}),
    "no checkpoints": (
        "balance = on",
        {"checkpoint_seconds": NEVER_SECONDS},
    ),
}


def set_domain_state(cluster, domain, state):
    """Set a domain to "in" or "out"."""
    url = f"{cluster.daemons[0].url}/v1/domains/{domain}"
    body = {"state": state, "author": "bench"}
    cluster.http.put(url, json=body).raise_for_status()


def sample_work(cluster, seconds, samples):
    """Append (time, work by domain, starts by domain) to ``samples`` every second."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(min(1.0, max(0.0, until - time.monotonic())))
        runs = cluster.runs()
        starts = dict.fromkeys(DOMAINS, 0)
        for run in runs:
            starts[run["endpoint"].rpartition("-")[0]] += 1
        samples.append((time.monotonic(), work_done(runs), starts))


def work_rate(first, last, domains=DOMAINS):
    """Return the work per second between two samples."""
    gained = sum(last[1].get(d, 0.0) - first[1].get(d, 0.0) for d in domains)
    return gained / (last[0] - first[0])


def measure(variant, seed):
    """Return the table row of one variant and a row for each second of its run."""
    settings, faults = VARIANTS[variant]
    with Cluster(
        domains=DOMAINS,
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\n{settings}\n",
        sample=1.0,
    ) as cluster:
        for name in cluster.endpoints:
            cluster.endpoint_faults(name, wrong_factor=2.0, **faults)
        rng = random.Random(seed)
        for number in range(JOBS):
            seconds = RUN_SECONDS * rng.uniform(0.5, 1.5)
            submit(cluster, f"b-{number:02d}", count=TASKS, run_seconds=seconds)
        submit(cluster, "call-in", count=REPLICAS, service=True, urgency="urgent")
        samples = []
        sample_work(cluster, 4.0, [])
        arrivals = Arrivals(cluster.daemons, "call-in", RATE, seed)
        seconds = BEFORE_SECONDS + OUT_SECONDS + AFTER_SECONDS
        sender = threading.Thread(target=asyncio.run, args=(arrivals.run(seconds),))
        sender.start()
        sample_work(cluster, BEFORE_SECONDS, samples)
        set_domain_state(cluster, "c", "out")
        out_index = len(samples) - 1
        sample_work(cluster, OUT_SECONDS, samples)
        set_domain_state(cluster, "c", "in")
        in_index = len(samples) - 1
        sample_work(cluster, AFTER_SECONDS, samples)
        replicas = replicas_in(cluster, "c")
        sender.join()
        before = work_rate(samples[0], samples[out_index])
        remaining = work_rate(samples[0], samples[out_index], ("a", "b"))
        outage = work_rate(samples[out_index], samples[in_index])
        return {
            "policy": variant,
            "before work/s": before,
            "outage work/s": outage,
            "of remaining": outage / remaining,
            "after work/s": work_rate(samples[in_index], samples[-1]),
            "back after s": recovery_seconds(samples, out_index, in_index),
            "starts/s at most": max_starts(samples, in_index),
            "replicas home": replicas,
            "p50 ms": arrivals.quantile_ms(0.5),
            "p99 ms": arrivals.quantile_ms(0.99),
            "not done": len(arrivals.failed),
            "evictions": int(metric(cluster, "clementine_evictions_total")),
            "violations": len(cluster.violations()),
        }, list(rows_by_second(variant, samples))


def replicas_in(cluster, domain):
    """Return the number of running replicas in a domain."""
    return sum(
        run["service"]
        and run["state"] == "running"
        and run["endpoint"].startswith(f"{domain}-")
        for run in cluster.runs()
    )


def recovery_seconds(samples, out_index, in_index):
    """Return the seconds from the domain's return until its work rate recovers."""
    baseline = work_rate(samples[0], samples[out_index], ("c",))
    for index in range(in_index + 1, len(samples)):
        if (
            work_rate(samples[index - 1], samples[index], ("c",))
            >= RECOVERED_SHARE * baseline
        ):
            return samples[index][0] - samples[in_index][0]
    return float("inf")


def max_starts(samples, in_index):
    """Return the most task starts in one second in the returned domain."""
    starts = [sample[2]["c"] for sample in samples[in_index:]]
    return max(b - a for a, b in zip(starts, starts[1:], strict=False))


def rows_by_second(variant, samples):
    """Yield a row for each second."""
    start = samples[0][0]
    for first, last in zip(samples, samples[1:], strict=False):
        row = {"policy": variant, "second": round(last[0] - start, 2)}
        yield row | {d: round(work_rate(first, last, (d,)), 2) for d in DOMAINS}


def main():
    """Measure the selected variants and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", choices=list(VARIANTS))
    arguments = parser.parse_args()
    rows, seconds = [], []
    for variant in arguments.only or VARIANTS:
        row, second_rows = measure(variant, arguments.seed)
        rows.append(row)
        seconds += second_rows
    print_table(rows)
    write_csv("domain.csv", rows)
    write_csv("domain-seconds.csv", seconds)


if __name__ == "__main__":
    main()
