"""A team whose work is uneven over the domains, with its quota split in two ways.

Run ``python -m bench.quotas [--seed N]``: all work of the team is in one of three
domains, then in another as well; beside it runs a job of tasks that are larger than an
equal share.  "equal" splits the quota equally over the domains, "lent" lends parts to
those that need them.  Results are printed and written to out/quotas.csv.
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
#: Processors of a task that is larger than an equal share.
LARGE = 6.0
TASKS = 150
RUN_SECONDS = 1.5
PHASE_SECONDS = 10.0
SAMPLE_SECONDS = 0.2


def names_in(domain):
    """Yield names of jobs whose only task begins in ``domain``."""
    for number in range(100_000):
        name = f"u-{number}"
        if registry.split(name, 1, DOMAINS)[0].domain == domain:
            yield name


def used(cluster, team):
    """Return the processors of a team's running tasks, by domain."""
    found = dict.fromkeys(DOMAINS, 0.0)
    for run in cluster.runs():
        if run["state"] == "running" and run["origin"].startswith(team):
            size = LARGE if team == "large" else 1.0
            found[run["endpoint"].rpartition("-")[0]] += size
    return found


def watch(cluster, seconds):
    """Return the mean and the largest sum of what the uneven team used."""
    sums = []
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        sums.append(sum(used(cluster, "u-").values()))
        time.sleep(SAMPLE_SECONDS)
    return sum(sums) / len(sums), max(sums)


def fill(cluster, domain, rng):
    """Submit the uneven team's tasks to one domain."""
    names = names_in(domain)
    for _number in range(TASKS):
        seconds = RUN_SECONDS * rng.uniform(0.5, 1.5)
        submit(cluster, next(names), count=1, run_seconds=seconds, team="uneven")


def measure(variant, seed):
    """Return the row of one variant."""
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
        wait_for("the quotas", lambda: all_know(cluster))
        fill(cluster, "a", rng)
        time.sleep(2.0)
        before = writes(cluster)
        alone, most = watch(cluster, PHASE_SECONDS)
        fill(cluster, "b", rng)
        fields = {"run_seconds": 1.0, "processors": LARGE, "team": "large"}
        submit(cluster, "large", count=6, **fields)
        time.sleep(2.0)
        both, most_both = watch(cluster, PHASE_SECONDS)
        return {
            "quotas": variant,
            "used alone": alone,
            "used by two": both,
            "used at most": max(most, most_both),
            "large done of 6": job_total(cluster, "large", "done"),
            "writes/s": (writes(cluster) - before) / (2 * PHASE_SECONDS + 2.0),
            "violations": len(cluster.violations()),
        }


def writes(cluster):
    """Return the platform's writes so far."""
    return metric(cluster, 'clementine_platform_calls_total{kind="write"}')


def all_know(cluster):
    """Return whether every daemon has the configuration."""
    return all(cluster.status(d)["config_revision"] >= 1 for d in cluster.daemons)


def main():
    """Measure both variants."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    rows = [measure(variant, seed) for variant in ("equal", "lent")]
    print_table(rows)
    write_csv("quotas.csv", rows)


if __name__ == "__main__":
    main()
