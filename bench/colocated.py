"""Helpers for benchmarks: jobs, request load, cluster metrics and result tables."""

import asyncio
import csv
import os
import random
import time

import aiohttp

from standins.workload import quantile

REQUEST_TIMEOUT_SECONDS = 20.0
OUTPUT_FOLDER = "out"


def submit(cluster, name, **fields):
    """Submit a job or service through the first daemon."""
    body = {"name": name, "run_seconds": 0.0, **fields}
    answer = cluster.http.post(f"{cluster.daemons[0].url}/v1/jobs", json=body)
    answer.raise_for_status()


def job_total(cluster, name, key):
    """Return the sum of one field of a job or service over all domains."""
    answer = cluster.http.get(f"{cluster.daemons[0].url}/v1/jobs")
    return sum(row[key] for row in answer.json() if row["origin"] == name)


def metric(cluster, name):
    """Return the sum of a metric over all daemons and labels."""
    total = 0.0
    for daemon in cluster.daemons:
        for line in cluster.http.get(f"{daemon.url}/metrics").text.splitlines():
            if line.startswith(name):
                total += float(line.split()[-1])
    return total


def work_done(runs):
    """Return the processor-seconds of batch progress, by domain of the run.

    Progress that was lost with a run and repeated by a later one counts once.
    """
    progress = {}
    work = {}
    for run in sorted(runs, key=lambda run: run["started"]):
        if run["service"]:
            continue
        key = (run["origin"], run["index"])
        gained = max(0.0, min(1.0, run["progress"]) - progress.get(key, 0.0))
        progress[key] = progress.get(key, 0.0) + gained
        domain = run["endpoint"].rpartition("-")[0]
        work[domain] = work.get(domain, 0.0) + gained * run["seconds"]
    return work


class Arrivals:
    """Poisson arrivals of requests to a service.

    ``completed`` holds (start time, latency in seconds), ``failed`` (number, outcome).
    """

    def __init__(self, daemons, service, rate, seed):
        self.urls = [f"{d.url}/v1/services/{service}/requests" for d in daemons]
        self.rate = rate
        self.rng = random.Random(seed)
        self.completed = []
        self.failed = []

    async def run(self, seconds):
        """Send requests for ``seconds`` and wait for their responses."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
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
        """Send one request and record its result."""
        start = time.monotonic()
        headers = {"X-Client": f"client-{number % 16}", "X-Repeatable": "true"}
        url = self.urls[number % len(self.urls)]
        try:
            async with http.post(url, data=b"pump-out", headers=headers) as answer:
                await answer.read()
                outcome = answer.headers.get("X-Outcome")
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = repr(error)
        if outcome == "done":
            self.completed.append((start, time.monotonic() - start))
        else:
            self.failed.append((number, outcome))

    def quantile_ms(self, fraction, since=0.0):
        """Return a latency quantile of the requests that started after ``since``."""
        return quantile([s for at, s in self.completed if at >= since], fraction) * 1000


def write_csv(name, rows):
    """Write rows that share one set of keys to a file under out/."""
    os.makedirs(OUTPUT_FOLDER, exist_ok=True)
    with open(
        os.path.join(OUTPUT_FOLDER, name), "w", newline="", encoding="utf-8"
    ) as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)


def print_table(rows):
    """Print rows that share one set of keys as a table."""
    cells = [list(rows[0])] + [[format_value(v) for v in row.values()] for row in rows]
    for row in cells:
        print(f"{row[0]:18}" + "".join(f"{cell:>16}" for cell in row[1:]), flush=True)


def format_value(value):
    """Return the text of a table cell."""
    return f"{value:.2f}" if isinstance(value, float) else str(value)
