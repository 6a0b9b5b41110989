"""Slopes of complete daemons in a small cluster: idle control and task starts."""

import os
import resource
import time

import httpx

from bench.slopes_parts import Part
from standins.cluster import Cluster
from standins.process import wait_for

#: Tasks per endpoint at the target size: 2,500 of services and 5,200 of batch on 730.
SERVICE_TASKS = 3.4
BATCH_TASKS = 7.1
#: Run time of tasks that outlast the measurement, in seconds.
ENDLESS_SECONDS = 100_000.0
#: Run time of tasks whose starts are measured, in seconds.
SHORT_SECONDS = 5.0
#: Wait before a measurement, so that startup work is over, in seconds.
SETTLE_SECONDS = 12.0


class CounterReading:
    """Counters of the daemons and the platform at one point in time."""

    def __init__(self, cluster):
        self.time = time.monotonic()
        self.cpu = [cpu_seconds(d.process.child.pid) for d in cluster.daemons]
        self.platform_calls = cluster.http.get(f"{cluster.platform_url}/control/counts")


def cpu_seconds(pid):
    """Return the processor time of a process, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Return the resident memory of a process, in MB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


class Domain(Part):
    """One domain with two daemons: a scheduler and a follower."""

    measures_cluster = True

    def measure_cluster(self, size, seconds):
        """Return the row measured in a fresh cluster."""
        with Cluster(
            domains=("a",), daemons=2, endpoints=self.endpoint_count(size)
        ) as cluster:
            self.prepare(cluster, size)
            time.sleep(SETTLE_SECONDS)
            before = CounterReading(cluster)
            self.run_load(cluster, size, seconds)
            row = self.rates(cluster, before, CounterReading(cluster))
            return {"size": size, **row, **self.measure_extra(cluster)}

    def endpoint_count(self, size):
        """Return the number of endpoints of the cluster."""
        return size

    def prepare(self, cluster, size):
        """Set up the state that is measured."""

    def run_load(self, cluster, size, seconds):
        """Run the measured load for ``seconds``."""
        time.sleep(seconds)

    def measure_extra(self, cluster):
        """Return further columns, measured after the load."""
        return {}

    @staticmethod
    def rates(cluster, before, after):
        """Return the rates of each daemon's processor time and of platform calls."""
        elapsed = after.time - before.time
        row = {}
        for number, daemon in enumerate(cluster.daemons):
            is_scheduler = status(cluster, daemon)["scheduler"]
            role = "scheduler" if is_scheduler else "follower"
            cpu = (after.cpu[number] - before.cpu[number]) * 1000 / elapsed
            row[f"{role} cpu ms/s"] = cpu
            row[f"{role} rss MB"] = resident_mb(daemon.process.child.pid)
        counts = before.platform_calls.json()
        for kind, count in after.platform_calls.json().items():
            row[f"platform {kind}/s"] = (count - counts[kind]) / elapsed
        return dict(sorted(row.items()))


class Idle(Domain):
    """Control overhead while tasks run and nothing changes."""

    name = "daemon-idle"
    description = "10.5 running tasks an endpoint, nothing changes; size is endpoints"
    sizes = (18, 73, 146)

    def prepare(self, cluster, size):
        """Start services and batch tasks, and wait until all run."""
        services, batch = round(size * SERVICE_TASKS), round(size * BATCH_TASKS)
        submit(cluster, "service", services, service=True)
        submit(cluster, "batch", batch, run_seconds=ENDLESS_SECONDS)
        wait_for("all tasks", lambda: running_tasks(cluster) >= services + batch, 60.0)

    def measure_extra(self, cluster):
        """Restart the follower; return the seconds until it is ready and up to date."""
        daemon = next(d for d in cluster.daemons if not status(cluster, d)["scheduler"])
        index = status(cluster, daemon)["log_index"]
        daemon.process.kill()
        start = time.monotonic()
        cluster.start_daemon(daemon)
        cluster.wait_ready(daemon)
        ready = time.monotonic() - start
        wait_for("the state", lambda: status(cluster, daemon)["log_index"] >= index)
        return {"ready after s": ready, "has state after s": time.monotonic() - start}


class Starts(Domain):
    """Task starts: one job per second, with tasks that run for a few seconds."""

    name = "daemon-starts"
    description = "64 endpoints; size is task starts a second"
    sizes = (4, 14, 28)

    def endpoint_count(self, size):
        """Return the number of endpoints of the cluster."""
        return 64

    def run_load(self, cluster, size, seconds):
        """Submit one job per second."""
        start = time.monotonic()
        for number in range(round(seconds)):
            submit(cluster, f"job-{number}", size, run_seconds=SHORT_SECONDS)
            time.sleep(max(0.0, start + number + 1 - time.monotonic()))


def status(cluster, daemon):
    """Return the status that a daemon reports."""
    return cluster.http.get(f"{daemon.url}/v1/status").json()


def submit(cluster, name, count, **fields):
    """Submit a job."""
    url = f"{cluster.daemons[0].url}/v1/jobs"
    body = {"name": name, "count": count, "memory_mb": 100, "processors": 0.5, **fields}
    httpx.post(url, json=body, timeout=20.0).raise_for_status()


def running_tasks(cluster):
    """Return the number of running tasks."""
    rows = cluster.http.get(f"{cluster.daemons[0].url}/v1/jobs").json()
    return sum(row["running"] for row in rows)


DAEMON_PARTS = (Idle(), Starts())
