"""Slopes of whole daemons in a small system: idle control, and task starts."""

import os
import resource
import time

import httpx

from bench.slopes_parts import Part
from standins.cluster import Cluster
from standins.process import wait_for

#: Tasks a worker at the target: 2,500 of services and 5,200 of batch on 730.
SERVICE_TASKS = 3.4
BATCH_TASKS = 7.1
#: Run time of tasks that do not end while they are measured, in seconds.
ENDLESS_SECONDS = 100_000.0
#: Run time of tasks whose starts are measured, in seconds.
SHORT_SECONDS = 5.0
#: Wait until nothing is left of the start, in seconds.
SETTLE_SECONDS = 12.0


class Reading:
    """Counters of the daemons and the platform at one time."""

    def __init__(self, cluster):
        self.time = time.monotonic()
        self.cpu = [cpu_seconds(d.process.child.pid) for d in cluster.daemons]
        self.platform = cluster.http.get(f"{cluster.platform_url}/control/counts")


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
    """One domain with two daemons: one schedules, the other follows."""

    whole = True

    def point(self, size, seconds):
        """Return a row of one fresh system."""
        with Cluster(domains=("a",), daemons=2, endpoints=self.endpoints(size)) as c:
            self.prepare(c, size)
            time.sleep(SETTLE_SECONDS)
            before = Reading(c)
            self.load(c, size, seconds)
            row = self.row(c, before, Reading(c))
            return {"size": size, **row, **self.afterwards(c)}

    def endpoints(self, size):
        """Return how many endpoints there are."""
        return size

    def prepare(self, cluster, size):
        """Bring the system to where it is measured."""

    def load(self, cluster, size, seconds):
        """Do for ``seconds`` what is measured."""
        time.sleep(seconds)

    def afterwards(self, cluster):
        """Return what else is measured."""
        return {}

    @staticmethod
    def row(cluster, before, after):
        """Return what a second cost, the scheduler's and the follower's part."""
        elapsed = after.time - before.time
        row = {}
        for number, daemon in enumerate(cluster.daemons):
            schedules = status(cluster, daemon)["scheduler"]
            role = "scheduler" if schedules else "follower"
            cpu = (after.cpu[number] - before.cpu[number]) * 1000 / elapsed
            row[f"{role} cpu ms/s"] = cpu
            row[f"{role} rss MB"] = resident_mb(daemon.process.child.pid)
        counts = before.platform.json()
        for kind, count in after.platform.json().items():
            row[f"platform {kind}/s"] = (count - counts[kind]) / elapsed
        return dict(sorted(row.items()))


class Idle(Domain):
    """Control alone: tasks run and nothing changes."""

    name = "daemon-idle"
    what = "10.5 running tasks an endpoint, nothing changes; size is endpoints"
    sizes = (18, 73, 146)

    def prepare(self, cluster, size):
        """Have services and batch tasks run."""
        services, batch = round(size * SERVICE_TASKS), round(size * BATCH_TASKS)
        submit(cluster, "service", services, service=True)
        submit(cluster, "batch", batch, run_seconds=ENDLESS_SECONDS)
        wait_for("all tasks", lambda: running(cluster) >= services + batch, 60.0)

    def afterwards(self, cluster):
        """Replace the daemon that follows; return the seconds until it is useful."""
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
    """Task starts: one job a second of tasks that run a few seconds."""

    name = "daemon-starts"
    what = "64 endpoints; size is task starts a second"
    sizes = (4, 14, 28)

    def endpoints(self, size):
        """Return how many endpoints there are."""
        return 64

    def load(self, cluster, size, seconds):
        """Submit one job a second."""
        start = time.monotonic()
        for number in range(round(seconds)):
            submit(cluster, f"job-{number}", size, run_seconds=SHORT_SECONDS)
            time.sleep(max(0.0, start + number + 1 - time.monotonic()))


def status(cluster, daemon):
    """Return what a daemon says of itself."""
    return cluster.http.get(f"{daemon.url}/v1/status").json()


def submit(cluster, name, count, **rest):
    """Submit a job."""
    url = f"{cluster.daemons[0].url}/v1/jobs"
    body = {"name": name, "count": count, "memory_mb": 100, "processors": 0.5, **rest}
    httpx.post(url, json=body, timeout=20.0).raise_for_status()


def running(cluster):
    """Return how many tasks run."""
    rows = cluster.http.get(f"{cluster.daemons[0].url}/v1/jobs").json()
    return sum(row["running"] for row in rows)


DAEMON_PARTS = (Idle(), Starts())
