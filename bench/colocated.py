"""Helpers of the benches: a cluster with a load of requests and of batch jobs."""

import asyncio
import csv
import os
import random
import time

import aiohttp

from standins.workload import quantile

#: Longest wait for one answer, in seconds.
ANSWER_SECONDS = 20.0
OUT = "out"


def submit(cluster, name, **fields):
    """Submit a job or service through the first daemon."""
    body = {"name": name, "run_seconds": 0.0, **fields}
    answer = cluster.http.post(f"{cluster.daemons[0].url}/v1/jobs", json=body)
    answer.raise_for_status()


def count(cluster, name, key):
    """Return a number of one job or service, over all domains."""
    answer = cluster.http.get(f"{cluster.daemons[0].url}/v1/jobs")
    return sum(part[key] for part in answer.json() if part["origin"] == name)


def metric(cluster, name):
    """Return the sum of a metric over all daemons and labels."""
    total = 0.0
    for daemon in cluster.daemons:
        for line in cluster.http.get(f"{daemon.url}/metrics").text.splitlines():
            if line.startswith(name):
                total += float(line.split()[-1])
    return total


def work_done(runs):
    """Return the processor-seconds of progress that last, by domain of the run.

    Progress that was lost with its run and made again counts once.
    """
    best = {}
    domains = {}
    for run in sorted(runs, key=lambda run: run["started"]):
        if run["service"]:
            continue
        key = (run["origin"], run["index"])
        gained = max(0.0, min(1.0, run["progress"]) - best.get(key, 0.0))
        best[key] = best.get(key, 0.0) + gained
        domain = run["endpoint"].rpartition("-")[0]
        domains[domain] = domains.get(domain, 0.0) + gained * run["seconds"]
    return domains


class Arrivals:
    """Poisson arrivals of requests to a service; ``sent`` holds (time, seconds)."""

    def __init__(self, daemons, service, rate, seed):
        self.urls = [f"{d.url}/v1/services/{service}/requests" for d in daemons]
        self.rate = rate
        self.rng = random.Random(seed)
        self.sent = []
        self.failed = []

    async def run(self, seconds):
        """Send requests for a time and wait for their answers."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as http:
            tasks = []
            due = time.monotonic()
            until = due + seconds
            while due < until:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                tasks.append(asyncio.create_task(self.send(http, len(tasks))))
                due += self.rng.expovariate(self.rate)
            await asyncio.gather(*tasks)

    async def send(self, http, number):
        """Send one request."""
        begun = time.monotonic()
        headers = {"X-Client": f"client-{number % 16}", "X-Repeatable": "true"}
        url = self.urls[number % len(self.urls)]
        try:
            async with http.post(url, data=b"pump-out", headers=headers) as answer:
                await answer.read()
                outcome = answer.headers.get("X-Outcome")
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = repr(error)
        if outcome == "done":
            self.sent.append((begun, time.monotonic() - begun))
        else:
            self.failed.append((number, outcome))

    def milliseconds(self, part, since=0.0):
        """Return a quantile of the latencies of requests sent after ``since``."""
        return quantile([s for at, s in self.sent if at >= since], part) * 1000


def write_csv(name, rows):
    """Write rows with the same keys to a file under out/."""
    os.makedirs(OUT, exist_ok=True)
    with open(os.path.join(OUT, name), "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def print_table(rows):
    """Print rows with the same keys."""
    cells = [list(rows[0])] + [[shown(v) for v in row.values()] for row in rows]
    for row in cells:
        print(f"{row[0]:18}" + "".join(f"{cell:>16}" for cell in row[1:]), flush=True)


def shown(value):
    """Return a value as text."""
    return f"{value:.2f}" if isinstance(value, float) else str(value)
