"""Recovery at scale: cost of restarts, platform outages and bursts of jobs.

Runs real daemons and stand-ins on loopback.  Prints one table per scenario: time to
steady state, task starts per second, platform calls per second over all daemons, and
peer-link bytes per second and daemon.
"""

import argparse
import asyncio
import re
import statistics
import sys
import threading
import time
from collections import Counter

import httpx

from standins.cluster import Cluster
from standins.process import wait_for

#: Limits on platform calls per second, over all daemons.
WRITES_LIMIT, READS_LIMIT = 300, 2_000
SAMPLE_SECONDS = 1.0
#: Metric line of the bytes sent per kind of peer message.
KIND_BYTES_LINE = re.compile(r'clementine_peer_sent_bytes_total\{kind="(\w+)"\} (\S+)')
#: Run time of the tasks of the paced scenario, and duration of its measurement.
PACED_RUN_SECONDS, PACED_SECONDS = 5.0, 30
#: Limit on the benchmark's own HTTP calls in progress.
CONCURRENCY = 64
#: Task starts count as recovered at this share of their rate before the fault.
RECOVERED_SHARE = 0.8


class Sampler:
    """Context manager that samples platform calls and peer bytes in a thread."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.samples = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.stopping.set()
        self.thread.join()

    def run(self):
        """Sample until the context ends."""
        with httpx.Client(timeout=5.0) as client:
            while not self.stopping.wait(SAMPLE_SECONDS):
                try:
                    url = f"{self.cluster.platform_url}/control/counts"
                    counts = client.get(url).json()
                    counts["at"] = time.time()
                    counts.update(self.peer_bytes(client))
                    self.samples.append(counts)
                except httpx.HTTPError:
                    continue

    def peer_bytes(self, client):
        """Return the bytes on all peer links, in total and sent per kind of message."""
        counts = Counter(bytes=0.0)
        for daemon in self.cluster.daemons:
            for line in client.get(f"{daemon.url}/metrics").text.splitlines():
                if line.startswith("clementine_peer_bytes_total"):
                    counts["bytes"] += float(line.split()[-1])
                elif match := KIND_BYTES_LINE.match(line):
                    counts[f"{match[1]} bytes"] += float(match[2])
        return counts

    def rates(self, key):
        """Return the growth of ``key`` per second between consecutive samples."""
        pairs = zip(self.samples, self.samples[1:], strict=False)
        per_second = [
            (b.get(key, 0.0) - a.get(key, 0.0)) / (b["at"] - a["at"]) for a, b in pairs
        ]
        return per_second or [0.0]

    def growth(self, key):
        """Return the growth of ``key`` from the first sample to the last."""
        return self.samples[-1][key] - self.samples[0][key] if self.samples else 0

    def mean_rates(self, suffix):
        """Return {key: mean growth per second} of the keys that end in ``suffix``."""
        first, last = self.samples[0], self.samples[-1]
        elapsed = last["at"] - first["at"]
        return {
            key: (last[key] - first.get(key, 0.0)) / elapsed
            for key in sorted(last)
            if key.endswith(suffix)
        }

    def row(self):
        """Return the median and maximum rates as table cells."""
        peer_bytes = statistics.median(self.rates("bytes"))
        return {
            "writes/s": f"{statistics.median(self.rates('write')):.0f}",
            "writes/s max": f"{max(self.rates('write')):.0f}",
            "reads/s": f"{statistics.median(self.rates('read')):.0f}",
            "reads/s max": f"{max(self.rates('read')):.0f}",
            "peer B/s/daemon": f"{peer_bytes / len(self.cluster.daemons):.0f}",
        }


async def call_all(cluster, calls):
    """Send calls (method, path, body) to all daemons in turn; return {code: count}."""
    semaphore = asyncio.Semaphore(CONCURRENCY)
    codes = {}

    async def call(client, number, method, path, body):
        daemon = cluster.daemons[number % len(cluster.daemons)]
        async with semaphore:
            for _attempt in range(5):
                try:
                    url = f"{daemon.url}{path}"
                    answer = await client.request(method, url, json=body)
                    code = answer.status_code
                except httpx.HTTPError as error:
                    code = type(error).__name__
                if code in (200, 201):
                    break
                await asyncio.sleep(0.5)
            codes[code] = codes.get(code, 0) + 1

    async with httpx.AsyncClient(timeout=30.0) as client:
        await asyncio.gather(
            *(call(client, n, *parts) for n, parts in enumerate(calls))
        )
    return codes


def submit(cluster, name, count, run_seconds, processors):
    """Submit one job."""
    body = {
        "name": name,
        "count": count,
        "run_seconds": run_seconds,
        "processors": processors,
        "memory_mb": 64,
    }
    answer = cluster.http.post(f"{cluster.daemons[0].url}/v1/jobs", json=body)
    answer.raise_for_status()


def start_times(cluster):
    """Return the sorted times of all task starts."""
    return sorted(run["started"] for run in cluster.runs())


def start_rate(times, since, until):
    """Return starts per second between ``since`` and ``until``."""
    return sum(since <= at < until for at in times) / (until - since)


def recovery_seconds(times, since, wanted_rate):
    """Return the seconds until starts reach ``wanted_rate``; None after 90 s."""
    for second in range(90):
        if start_rate(times, since + second, since + second + 1) >= wanted_rate:
            return second + 1
    return None


def start_steady_load(cluster):
    """Submit more short tasks than fit, so that tasks start continuously."""
    submit(cluster, "load", 40_000, 2.0, 0.5)
    wait_for("starts", lambda: len(start_times(cluster)) > 100, 30)
    time.sleep(8)


def run_starts(cluster, _options):
    """Measure task starts per second over 20 seconds."""
    submit(cluster, "load", 40_000, 2.0, 0.25)
    wait_for("starts", lambda: len(start_times(cluster)) > 100, 30)
    time.sleep(5)
    since = time.time()
    with Sampler(cluster) as sampler:
        time.sleep(20)
    measured_rate = start_rate(start_times(cluster), since, since + 20)
    return {"starts/s": f"{measured_rate:.0f}", **sampler.row()}


def run_replace(cluster, _options):
    """Kill all daemons at once under load and restart them."""
    start_steady_load(cluster)
    killed_at = time.time()
    rate_before = start_rate(start_times(cluster), killed_at - 6, killed_at)
    for daemon in cluster.daemons:
        daemon.process.kill()
    for daemon in cluster.daemons:
        daemon.process.start()
    with Sampler(cluster) as sampler:
        time.sleep(30)
    times = start_times(cluster)
    return {
        "starts/s before": f"{rate_before:.0f}",
        "steady after s": recovery_seconds(
            times, killed_at, rate_before * RECOVERED_SHARE
        ),
        "starts/s after": f"{start_rate(times, killed_at + 24, killed_at + 30):.0f}",
        **sampler.row(),
    }


def run_outage(cluster, _options):
    """Make the platform unavailable for a minute under load."""
    start_steady_load(cluster)
    down_at = time.time()
    rate_before = start_rate(start_times(cluster), down_at - 6, down_at)
    cluster.platform_faults(down=True)
    time.sleep(60)
    cluster.platform_faults(down=False)
    up_at = time.time()
    with Sampler(cluster) as sampler:
        time.sleep(30)
    times = start_times(cluster)
    return {
        "starts/s before": f"{rate_before:.0f}",
        "last start in outage s": f"{max(t for t in times if t < up_at) - down_at:.1f}",
        "steady after s": recovery_seconds(times, up_at, rate_before * RECOVERED_SHARE),
        **sampler.row(),
    }


def run_paced(cluster, options):
    """Measure peer bytes per kind of message at a fixed rate of task starts."""
    per_second = options.starts

    def submit_paced(seconds, first_number):
        start = time.monotonic()
        for number in range(seconds):
            name = f"paced-{first_number + number}"
            submit(cluster, name, per_second, PACED_RUN_SECONDS, 0.25)
            time.sleep(max(0.0, start + number + 1 - time.monotonic()))

    # Daemons that have just started may not have read the live list yet.
    wait_for("a job", lambda: submit(cluster, "first", 1, 1.0, 0.25) or True)
    submit_paced(round(2 * PACED_RUN_SECONDS), 0)
    since = time.time()
    with Sampler(cluster) as sampler:
        submit_paced(PACED_SECONDS, 1_000)
    measured_rate = start_rate(start_times(cluster), since, since + PACED_SECONDS)
    daemons = len(cluster.daemons)
    return {
        "starts/s": f"{measured_rate:.0f}",
        **sampler.row(),
        **{
            f"{kind}/s/daemon": f"{value / daemons:.0f}"
            for kind, value in sampler.mean_rates("bytes").items()
        },
    }


def run_cancel(cluster, options):
    """Submit and cancel a burst of jobs, with one call for each job."""
    count = options.jobs
    names = [f"wave-{number}" for number in range(count)]
    body = {"count": 1, "run_seconds": 600.0, "processors": 1.0}
    start = time.time()
    with Sampler(cluster) as sampler:
        submits = [("POST", "/v1/jobs", {"name": name, **body}) for name in names]
        submitted = asyncio.run(call_all(cluster, submits))
    submit_row = {f"submit {key}": value for key, value in sampler.row().items()}
    submit_writes = sampler.growth("write")
    cancel_start = time.time()
    with Sampler(cluster) as sampler:
        cancels = [("DELETE", f"/v1/jobs/{name}", None) for name in names]
        cancelled = asyncio.run(call_all(cluster, cancels))
        cancel_end = time.time()
        wait_for("an empty system", lambda: not running(cluster), 60)
    return {
        "submit s": f"{cancel_start - start:.1f}",
        "submit writes a job": f"{submit_writes / count:.2f}",
        **submit_row,
        "codes": f"{submitted} {cancelled}",
        "cancel s": f"{cancel_end - cancel_start:.1f}",
        "cancel writes a job": f"{sampler.growth('write') / count:.2f}",
        "all stopped s": f"{time.time() - cancel_start:.1f}",
        **sampler.row(),
    }


def running(cluster):
    """Return the active runs."""
    return [run for run in cluster.runs() if run["state"] == "running"]


SCENARIOS = {
    "starts": run_starts,
    "replace": run_replace,
    "outage": run_outage,
    "cancel": run_cancel,
    "paced": run_paced,
}


def main():
    """Run the named scenarios; return 0, or 1 if there were violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+", choices=sorted(SCENARIOS))
    parser.add_argument("--endpoints", type=int, default=4, help="in each domain")
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=5_000, help="for cancel")
    parser.add_argument("--starts", type=int, default=140, help="per second, for paced")
    arguments = parser.parse_args()
    print(f"limits: {WRITES_LIMIT} writes/s, {READS_LIMIT} reads/s")
    code = 0
    for name in arguments.scenarios:
        domains = tuple("abcdefgh"[: arguments.domains])
        with Cluster(domains, endpoints=arguments.endpoints, sample=1.0) as cluster:
            row = SCENARIOS[name](cluster, arguments)
            violations = cluster.violations()
        print(f"\n{name}")
        for key, value in {**row, "violations": len(violations)}.items():
            print(f"  {key:24} {value}")
        code = code or bool(violations)
    return int(code)


if __name__ == "__main__":
    sys.exit(main())
