"""Demo: a small system on loopback, with operator commands and client requests."""

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
#: Requests in each phase: before, during and after the drain of a domain.
REQUESTS = 150
CLIENTS = 8


class DemoFailedError(Exception):
    """A step of the demo gave an unexpected result."""


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


class RequestResult:
    """Outcome, latency in seconds and trace id of one request."""

    __slots__ = ("outcome", "seconds", "trace_id")

    def __init__(self, outcome, seconds, trace_id):
        self.outcome = outcome
        self.seconds = seconds
        self.trace_id = trace_id


def send(client, daemon, number):
    """Send one request and return a `RequestResult`."""
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
        raise DemoFailedError(f"request {number} got the response of another request")
    fields = response.headers.get("traceparent", "").split("-")
    return RequestResult(outcome, seconds, fields[1] if len(fields) > 1 else "")


def measure_phase(cluster, phase):
    """Send requests through all daemons; return a table row and the last trace id."""
    with (
        httpx.Client(timeout=30.0) as client,
        concurrent.futures.ThreadPoolExecutor(CLIENTS) as pool,
    ):
        daemons = cluster.daemons
        results = list(
            pool.map(
                lambda n: send(client, daemons[n % len(daemons)], n), range(REQUESTS)
            )
        )
    done = sorted(r.seconds for r in results if r.outcome == "done")
    if not done:
        raise DemoFailedError(f"{phase}: no request succeeded")
    row = {
        "phase": phase,
        "done": len(done),
        "not run": sum(r.outcome == "not-run" for r in results),
        "unknown": sum(r.outcome == "unknown" for r in results),
        "p50 ms": round(statistics.median(done) * 1000, 1),
        "p99 ms": round(done[int(len(done) * 0.99)] * 1000, 1),
    }
    return row, results[-1].trace_id


def running(daemon, kind, name):
    """Return the number of running tasks of a job or service."""
    rows = tool(daemon, kind, "list")
    return next((row["running"] for row in rows if row["name"] == name), 0)


def evictions(cluster):
    """Return the number of evictions over all daemons."""
    total = 0.0
    for daemon in cluster.daemons:
        for line in cluster.http.get(f"{daemon.url}/metrics").text.splitlines():
            if line.startswith("clementine_evictions_total"):
                total += float(line.split()[-1])
    return int(total)


def first_success(cluster, started):
    """Wait for the first successful request; return the seconds since ``started``."""
    with httpx.Client(timeout=30.0) as client:

        def succeeds():
            return send(client, cluster.daemons[0], 0).outcome == "done"

        wait_for("the first answered request", succeeds)
    return time.perf_counter() - started


def scenario(cluster, started):
    """Run the steps of the demo and print the results."""
    operator = cluster.daemons[0]
    tool(operator, "service", "submit", SERVICE, "--count", "6", "--processors", "2")
    seconds = first_success(cluster, started)
    print(f"first answered request after {seconds:.1f} s")
    wait_for("six replicas", lambda: running(operator, "service", SERVICE) == 6)
    tool(operator, "job", "submit", JOB, "--count", "24", "--run-seconds", "6")
    wait_for("a running task of the job", lambda: running(operator, "job", JOB) > 0)

    rows = [measure_phase(cluster, "all domains in")[0]]
    out = cluster.domains[-1]
    tool(operator, "domain", "out", out)
    wait_for(f"domain {out} empty", lambda: is_empty(cluster, out))
    rows.append(measure_phase(cluster, f"domain {out} out")[0])
    tool(operator, "domain", "in", out)
    wait_for(f"domain {out} in", lambda: domain_state(operator, out) == "in")
    row, trace_id = measure_phase(cluster, f"domain {out} back in")
    rows.append(row)

    wait_for("the job to finish", lambda: done_tasks(operator) == 24)
    print_table(rows)
    print(f"\nbatch tasks completed: {done_tasks(operator)} of 24")
    print(f"evictions: {evictions(cluster)}")
    print("\nspans of the last request:")
    print_trace(operator, trace_id)
    if violations := cluster.violations():
        raise DemoFailedError(f"violations: {violations}")


def domain_state(daemon, name):
    """Return the state of a domain, "in" or "out"."""
    return {row["name"]: row["state"] for row in tool(daemon, "domain", "list")}[name]


def is_empty(cluster, domain):
    """Return whether no task runs in ``domain``."""
    return not any(
        run["state"] == "running" and run["endpoint"].startswith(domain)
        for run in cluster.runs()
    )


def done_tasks(daemon):
    """Return the number of completed tasks of the demo's job."""
    rows = tool(daemon, "job", "list")
    return sum(row["done"] for row in rows if row["name"] == JOB)


def print_trace(daemon, trace_id):
    """Print the spans of one request."""
    command = [sys.executable, "-m", "clementinebay.cmdline"]
    subprocess.run(
        [*command, "--daemon", daemon.url, "trace", trace_id], cwd=ROOT, check=True
    )


def print_table(rows):
    """Print rows that share one set of keys as a table."""
    cells = [list(rows[0])] + [[str(value) for value in row.values()] for row in rows]
    for row in cells:
        print(f"{row[0]:20}" + "".join(f"{cell:>10}" for cell in row[1:]))


def main():
    """Run the demo; return the exit status."""
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
