"""The demo: a small system on loopback, used as an operator and a client would."""

import concurrent.futures
import json
import statistics
import subprocess
import sys
import time

import httpx

from standins.cluster import Cluster
from standins.process import ROOT, wait_for

SERVICE = "call-in"
JOB = "route-plans"
#: Requests that the demo sends before, during and after the domain is out.
REQUESTS = 150
CLIENTS = 8


class DemoFailedError(Exception):
    """A step of the demo did not do what it should."""


def tool(daemon, *words):
    """Run ``clementinectl`` and return its JSON output."""
    command = [sys.executable, "-m", "clementinebay.cmdline", "--json"]
    command += ["--daemon", daemon.url, *words]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=60, check=False
    )
    if done.returncode:
        raise DemoFailedError(f"clementinectl {' '.join(words)}: {done.stderr.strip()}")
    return json.loads(done.stdout)


class Sent:
    """What became of one request."""

    __slots__ = ("outcome", "seconds", "trace")

    def __init__(self, outcome, seconds, trace):
        self.outcome = outcome
        self.seconds = seconds
        self.trace = trace


def send(client, daemon, number):
    """Send one request and return a `Sent`."""
    body = f"pump-out {number}".encode()
    start = time.perf_counter()
    response = client.post(
        f"{daemon.url}/v1/services/{SERVICE}/requests",
        content=body,
        headers={"X-Client": f"client-{number % CLIENTS}", "X-Repeatable": "true"},
    )
    seconds = time.perf_counter() - start
    outcome = response.headers["X-Outcome"]
    if outcome == "done" and response.content != body:
        raise DemoFailedError(f"request {number} got the answer of another")
    trace = response.headers.get("traceparent", "").split("-")
    return Sent(outcome, seconds, trace[1] if len(trace) > 1 else "")


def load(cluster, phase):
    """Send requests through all daemons and return a row of the table."""
    with (
        httpx.Client(timeout=30.0) as client,
        concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool,
    ):
        daemons = cluster.daemons
        sent = list(
            pool.map(
                lambda n: send(client, daemons[n % len(daemons)], n), range(REQUESTS)
            )
        )
    done = sorted(s.seconds for s in sent if s.outcome == "done")
    if not done:
        raise DemoFailedError(f"{phase}: no request was done")
    row = {
        "phase": phase,
        "done": len(done),
        "not run": sum(s.outcome == "not-run" for s in sent),
        "unknown": sum(s.outcome == "unknown" for s in sent),
        "p50 ms": round(statistics.median(done) * 1000, 1),
        "p99 ms": round(done[int(len(done) * 0.99)] * 1000, 1),
    }
    return row, sent[-1].trace


def running(daemon, kind, name):
    """Return how many tasks of a job or service run."""
    rows = tool(daemon, kind, "list")
    return next((row["running"] for row in rows if row["name"] == name), 0)


def evictions(cluster):
    """Return how many releases the daemons counted."""
    total = 0.0
    for daemon in cluster.daemons:
        for line in cluster.http.get(f"{daemon.url}/metrics").text.splitlines():
            if line.startswith("clementine_evictions_total"):
                total += float(line.split()[-1])
    return int(total)


def first_answer(cluster, started):
    """Return the seconds from ``started`` to the first request that was done."""
    with httpx.Client(timeout=30.0) as client:

        def answered():
            return send(client, cluster.daemons[0], 0).outcome == "done"

        wait_for("the first answered request", answered)
    return time.perf_counter() - started


def scenario(cluster, started):
    """Run the demo's steps and print what happened."""
    operator = cluster.daemons[0]
    tool(operator, "service", "submit", SERVICE, "--count", "6", "--processors", "2")
    seconds = first_answer(cluster, started)
    print(f"first answered request after {seconds:.1f} s")
    wait_for("six replicas", lambda: running(operator, "service", SERVICE) == 6)
    tool(operator, "job", "submit", JOB, "--count", "24", "--run-seconds", "6")
    wait_for("the job", lambda: running(operator, "job", JOB) > 0)

    rows = [load(cluster, "all domains in")[0]]
    out = cluster.domains[-1]
    tool(operator, "domain", "out", out)
    wait_for(f"domain {out} empty", lambda: empty(cluster, out))
    rows.append(load(cluster, f"domain {out} out")[0])
    tool(operator, "domain", "in", out)
    wait_for(f"domain {out} in", lambda: domain_state(operator, out) == "in")
    row, trace = load(cluster, f"domain {out} back in")
    rows.append(row)

    wait_for("the job's end", lambda: done_tasks(operator) == 24)
    print_table(rows)
    print(f"\nbatch tasks completed: {done_tasks(operator)} of 24")
    print(f"evictions: {evictions(cluster)}")
    print("\nspans of the last request:")
    print_trace(operator, trace)
    if violations := cluster.violations():
        raise DemoFailedError(f"violations: {violations}")


def domain_state(daemon, name):
    """Return whether a domain is in or out."""
    return {row["name"]: row["state"] for row in tool(daemon, "domain", "list")}[name]


def empty(cluster, domain):
    """Return whether nothing runs at the endpoints of ``domain``."""
    return not any(
        run["state"] == "running" and run["endpoint"].startswith(domain)
        for run in cluster.runs()
    )


def done_tasks(daemon):
    """Return how many tasks of the job are done."""
    rows = tool(daemon, "job", "list")
    return sum(row["done"] for row in rows if row["name"] == JOB)


def print_trace(daemon, trace):
    """Print the spans of one request."""
    command = [sys.executable, "-m", "clementinebay.cmdline"]
    subprocess.run(
        [*command, "--daemon", daemon.url, "trace", trace], cwd=ROOT, check=True
    )


def print_table(rows):
    """Print rows with the same keys."""
    cells = [list(rows[0])] + [[str(value) for value in row.values()] for row in rows]
    for row in cells:
        print(f"{row[0]:20}" + "".join(f"{cell:>10}" for cell in row[1:]))


def main():
    """Run the demo; return 0, or 1 with the place of the failure."""
    started = time.perf_counter()
    cluster = Cluster()
    try:
        with cluster:
            scenario(cluster, started)
    except Exception as error:
        print(f"demo failed: {error!r}", file=sys.stderr)
        print(f"logs are in {cluster.folder}", file=sys.stderr)
        return 1
    print(f"demo took {time.perf_counter() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
