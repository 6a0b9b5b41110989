"""Work of a team spread unevenly over the domains, under two ways to split its quota.

Run ``python -m bench.quotas [--seed N]``: all work of the team is in one of three
domains, then in a second one as well; in that phase another team runs a job whose tasks
are larger than an equal share of its quota.  "equal" splits a quota equally over the
domains, "lent" lends parts of it to the domains that need them.  Results are
printed and written to out/quotas.csv.
"""

import argparse
import random
import time

from bench.colocated import job_total, metric, print_table, submit, write_csv
from clementinebay import registry
from standins.cluster import Cluster
from standins.process import wait_for

DOMAINS = ("a", "b", "c")
ENDPOINTS = 3
PROCESSORS = 64
#: Quota of each team, in processors.
QUOTA = 12.0
#: Processors of a task that is larger than an equal share of the quota.
LARGE_TASK = 6.0
TASKS = 150
RUN_SECONDS = 1.5
PHASE_SECONDS = 10.0
SAMPLE_SECONDS = 0.2


def names_in(domain):
    """Yield job names whose single task is first assigned to ``domain``."""
    for number in range(100_000):
        name = f"u-{number}"
        if registry.split(name, 1, DOMAINS)[0].domain == domain:
            yield name


def used_processors(cluster, job_prefix):
    """Return the processors of the running tasks of some jobs, by domain."""
    by_domain = dict.fromkeys(DOMAINS, 0.0)
    for run in cluster.runs():
        if run["state"] == "running" and run["origin"].startswith(job_prefix):
            size = LARGE_TASK if job_prefix == "large" else 1.0
            by_domain[run["endpoint"].rpartition("-")[0]] += size
    return by_domain


def sample_usage(cluster, seconds):
    """Return the mean and the largest number of processors of the uneven team."""
    totals = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        totals.append(sum(used_processors(cluster, "u-").values()))
        time.sleep(SAMPLE_SECONDS)
    return sum(totals) / len(totals), max(totals)


def submit_uneven(cluster, domain, rng):
    """Submit the tasks of the uneven team, all of them for one domain."""
    names = names_in(domain)
    for _number in range(TASKS):
        seconds = RUN_SECONDS * rng.uniform(0.5, 1.5)
        submit(cluster, next(names), count=1, run_seconds=seconds, team="uneven")


def measure(variant, seed):
    """Return the table row of one variant."""
    rng = random.Random(seed)
    with Cluster(
        domains=DOMAINS,
        daemons=1,
        endpoints=ENDPOINTS,
        processors=PROCESSORS,
        extra=f"[scheduler]\nquotas = {variant}\n",
    ) as cluster:
        texts = {f"team:{t}": f"processors = {QUOTA}\n" for t in ("uneven", "large")}
        body = {"sections": texts, "base": 0, "author": "bench"}
        url = f"{cluster.daemons[0].url}/v1/config"
        cluster.http.post(url, json=body).raise_for_status()
        wait_for("the quotas", lambda: all_configured(cluster))
        submit_uneven(cluster, "a", rng)
        time.sleep(2.0)
        writes_before = platform_writes(cluster)
        mean_one, max_one = sample_usage(cluster, PHASE_SECONDS)
        submit_uneven(cluster, "b", rng)
        fields = {"run_seconds": 1.0, "processors": LARGE_TASK, "team": "large"}
        submit(cluster, "large", count=6, **fields)
        time.sleep(2.0)
        mean_two, max_two = sample_usage(cluster, PHASE_SECONDS)
        return {
            "quotas": variant,
            "used alone": mean_one,
            "used by two": mean_two,
            "used at most": max(max_one, max_two),
            "large done of 6": job_total(cluster, "large", "done"),
            "writes/s": (platform_writes(cluster) - writes_before)
            / (2 * PHASE_SECONDS + 2.0),
            "violations": len(cluster.violations()),
        }


def platform_writes(cluster):
    """Return the number of writes to the platform so far."""
    return metric(cluster, 'clementine_platform_calls_total{kind="write"}')


def all_configured(cluster):
    """Return whether all daemons have the configuration with the quotas."""
    return all(cluster.status(d)["config_revision"] >= 1 for d in cluster.daemons)


def main():
    """Measure both variants and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    rows = [measure(variant, seed) for variant in ("equal", "lent")]
    print_table(rows)
    write_csv("quotas.csv", rows)


if __name__ == "__main__":
    main()
