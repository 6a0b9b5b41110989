"""A failure domain leaves and returns under batch load, by policy.

Run ``python -m bench.domain [--seed N]``: three domains full of batch work; one is
taken out and brought back.  "balanced" moves work by what targets have free and brings
work back; "even" sends all of it away in equal parts and moves nothing else; "no
checkpoints" is "balanced" with endpoints that cannot checkpoint.  Requests to a service
with replicas in all domains arrive all the time.  Results are printed and written to
out/domain.csv, with the work of each second in out/domain-seconds.csv.
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
#: Requests a second.
RATE = 50.0
#: Part of the work of a second before the outage from which a domain counts as back.
BACK_PART = 0.9
NEVER_SECONDS = 10_000.0

#: Variant -> (settings, faults of the endpoints).
VARIANTS = {
    "even": ("balance = off", {}),
    "balanced": ("balance = on", {}),
    "no checkpoints": ("balance = on", {"checkpoint_seconds": NEVER_SECONDS}),
}


def change(cluster, domain, state):
    """Take a domain out or in."""
    url = f"{cluster.daemons[0].url}/v1/domains/{domain}"
    body = {"state": state, "author": "bench"}
    cluster.http.put(url, json=body).raise_for_status()


def watch(cluster, seconds, samples):
    """Add (time, work by domain, starts by domain) to ``samples`` every second."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(min(1.0, max(0.0, until - time.monotonic())))
        runs = cluster.runs()
        starts = dict.fromkeys(DOMAINS, 0)
        for run in runs:
            starts[run["endpoint"].rpartition("-")[0]] += 1
        samples.append((time.monotonic(), work_done(runs), starts))


def rate(first, last, domains=DOMAINS):
    """Return the work a second between two samples."""
    gained = sum(last[1].get(d, 0.0) - first[1].get(d, 0.0) for d in domains)
    return gained / (last[0] - first[0])


def measure(variant, seed):
    """Return the row of one variant, and the rows of its seconds."""
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
        watch(cluster, 4.0, [])
        calls = Arrivals(cluster.daemons, "call-in", RATE, seed)
        seconds = BEFORE_SECONDS + OUT_SECONDS + AFTER_SECONDS
        caller = threading.Thread(target=asyncio.run, args=(calls.run(seconds),))
        caller.start()
        watch(cluster, BEFORE_SECONDS, samples)
        change(cluster, "c", "out")
        taken_out = len(samples) - 1
        watch(cluster, OUT_SECONDS, samples)
        change(cluster, "c", "in")
        brought_in = len(samples) - 1
        watch(cluster, AFTER_SECONDS, samples)
        at_home = replicas_in(cluster, "c")
        caller.join()
        before = rate(samples[0], samples[taken_out])
        remaining = rate(samples[0], samples[taken_out], ("a", "b"))
        outage = rate(samples[taken_out], samples[brought_in])
        return {
            "policy": variant,
            "before work/s": before,
            "outage work/s": outage,
            "of remaining": outage / remaining,
            "after work/s": rate(samples[brought_in], samples[-1]),
            "back after s": back_after(samples, taken_out, brought_in),
            "starts/s at most": most_starts(samples, brought_in),
            "replicas home": at_home,
            "p50 ms": calls.quantile_ms(0.5),
            "p99 ms": calls.quantile_ms(0.99),
            "not done": len(calls.failed),
            "evictions": int(metric(cluster, "clementine_evictions_total")),
            "violations": len(cluster.violations()),
        }, list(by_second(variant, samples))


def replicas_in(cluster, domain):
    """Return how many replicas run in a domain."""
    return sum(
        run["service"]
        and run["state"] == "running"
        and run["endpoint"].startswith(f"{domain}-")
        for run in cluster.runs()
    )


def back_after(samples, taken_out, brought_in):
    """Return the seconds from the return until the domain works as before."""
    usual = rate(samples[0], samples[taken_out], ("c",))
    for index in range(brought_in + 1, len(samples)):
        if rate(samples[index - 1], samples[index], ("c",)) >= BACK_PART * usual:
            return samples[index][0] - samples[brought_in][0]
    return float("inf")


def most_starts(samples, brought_in):
    """Return the most task starts of a second in the domain that came back."""
    starts = [sample[2]["c"] for sample in samples[brought_in:]]
    return max(b - a for a, b in zip(starts, starts[1:], strict=False))


def by_second(variant, samples):
    """Yield the rows of each second."""
    begun = samples[0][0]
    for first, last in zip(samples, samples[1:], strict=False):
        row = {"policy": variant, "second": round(last[0] - begun, 2)}
        yield row | {d: round(rate(first, last, (d,)), 2) for d in DOMAINS}


def main():
    """Measure all variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", action="append", choices=list(VARIANTS))
    arguments = parser.parse_args()
    rows, seconds = [], []
    for variant in arguments.only or VARIANTS:
        row, found = measure(variant, arguments.seed)
        rows.append(row)
        seconds += found
    print_table(rows)
    write_csv("domain.csv", rows)
    write_csv("domain-seconds.csv", seconds)


if __name__ == "__main__":
    main()
