"""Recovery at scale: what restarts, outages and waves cost.

Real daemons and stand-ins on loopback.  Prints one table a scenario: time to steady
state, task starts a second, the platform's calls a second over all daemons, and bytes
of the peer link a second and daemon.
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

#: Limits of the platform over all daemons, in calls a second.
WRITES_LIMIT, READS_LIMIT = 300, 2_000
#: Time between two samples, in seconds.
SAMPLE_SECONDS = 1.0
#: The metric of bytes sent by kind of message.
KIND_BYTES = re.compile(r'clementine_peer_sent_bytes_total\{kind="(\w+)"\} (\S+)')
#: Run time of the tasks of paced starts, and how long they are measured, in seconds.
PACED_RUN_SECONDS, PACED_SECONDS = 5.0, 30
#: Requests of the bench in progress at once.
CONCURRENCY = 64
#: Share of the rate before a fault that counts as recovered.
STEADY_SHARE = 0.8


class Sampler:
    """Samples the platform's counts and the peers' bytes; a context manager."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.samples = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *exc):
        self.ended.set()
        self.thread.join()

    def run(self):
        """Sample until ended."""
        with httpx.Client(timeout=5.0) as client:
            while not self.ended.wait(SAMPLE_SECONDS):
                try:
                    url = f"{self.cluster.platform_url}/control/counts"
                    counts = client.get(url).json()
                    counts["at"] = time.time()
                    counts.update(self.peer_bytes(client))
                    self.samples.append(counts)
                except httpx.HTTPError:
                    continue

    def peer_bytes(self, client):
        """Return the peer bytes that all daemons sent and received, and by kind."""
        found = Counter(bytes=0.0)
        for daemon in self.cluster.daemons:
            for line in client.get(f"{daemon.url}/metrics").text.splitlines():
                if line.startswith("clementine_peer_bytes_total"):
                    found["bytes"] += float(line.split()[-1])
                elif match := KIND_BYTES.match(line):
                    found[f"{match[1]} bytes"] += float(match[2])
        return found

    def rates(self, key):
        """Return the changes a second of ``key`` between samples."""
        pairs = zip(self.samples, self.samples[1:], strict=False)
        changes = [
            (b.get(key, 0.0) - a.get(key, 0.0)) / (b["at"] - a["at"]) for a, b in pairs
        ]
        return changes or [0.0]

    def grown(self, key):
        """Return by how much ``key`` grew from the first sample to the last."""
        return self.samples[-1][key] - self.samples[0][key] if self.samples else 0

    def mean_rates(self, suffix):
        """Return {key: change a second} of the keys that end in ``suffix``."""
        first, last = self.samples[0], self.samples[-1]
        elapsed = last["at"] - first["at"]
        return {
            key: (last[key] - first.get(key, 0.0)) / elapsed
            for key in sorted(last)
            if key.endswith(suffix)
        }

    def row(self):
        """Return median and highest rates."""
        peer_bytes = statistics.median(self.rates("bytes"))
        return {
            "writes/s": f"{statistics.median(self.rates('write')):.0f}",
            "writes/s max": f"{max(self.rates('write')):.0f}",
            "reads/s": f"{statistics.median(self.rates('read')):.0f}",
            "reads/s max": f"{max(self.rates('read')):.0f}",
            "peer B/s/daemon": f"{peer_bytes / len(self.cluster.daemons):.0f}",
        }


async def call_all(cluster, calls):
    """Make HTTP calls, (method, path, body), spread over the daemons; count codes."""
    slots = asyncio.Semaphore(CONCURRENCY)
    codes = {}

    async def one(client, number, method, path, body):
        daemon = cluster.daemons[number % len(cluster.daemons)]
        async with slots:
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
        await asyncio.gather(*(one(client, n, *call) for n, call in enumerate(calls)))
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


def starts(cluster):
    """Return the times of all task starts, sorted."""
    return sorted(run["started"] for run in cluster.runs())


def rate(times, since, until):
    """Return starts a second in a span of time."""
    return sum(since <= at < until for at in times) / (until - since)


def recovered(times, since, wanted):
    """Return the seconds from ``since`` to the first second at rate ``wanted``."""
    for second in range(90):
        if rate(times, since + second, since + second + 1) >= wanted:
            return second + 1
    return None


def steady_load(cluster):
    """Submit more short tasks than fit, so that starts go on all the time."""
    submit(cluster, "load", 40_000, 2.0, 0.5)
    wait_for("starts", lambda: len(starts(cluster)) > 100, 30)
    time.sleep(8)


def run_starts(cluster, _options):
    """Measure task starts a second over 20 seconds."""
    submit(cluster, "load", 40_000, 2.0, 0.25)
    wait_for("starts", lambda: len(starts(cluster)) > 100, 30)
    time.sleep(5)
    since = time.time()
    with Sampler(cluster) as sampler:
        time.sleep(20)
    found = rate(starts(cluster), since, since + 20)
    return {"starts/s": f"{found:.0f}", **sampler.row()}


def run_replace(cluster, _options):
    """Kill all daemons at once under load and start them again."""
    steady_load(cluster)
    at = time.time()
    before = rate(starts(cluster), at - 6, at)
    for daemon in cluster.daemons:
        daemon.process.kill()
    for daemon in cluster.daemons:
        daemon.process.start()
    with Sampler(cluster) as sampler:
        time.sleep(30)
    times = starts(cluster)
    return {
        "starts/s before": f"{before:.0f}",
        "steady after s": recovered(times, at, before * STEADY_SHARE),
        "starts/s after": f"{rate(times, at + 24, at + 30):.0f}",
        **sampler.row(),
    }


def run_outage(cluster, _options):
    """Take the platform away for a minute under load."""
    steady_load(cluster)
    at = time.time()
    before = rate(starts(cluster), at - 6, at)
    cluster.platform_faults(down=True)
    time.sleep(60)
    cluster.platform_faults(down=False)
    back = time.time()
    with Sampler(cluster) as sampler:
        time.sleep(30)
    times = starts(cluster)
    return {
        "starts/s before": f"{before:.0f}",
        "last start in outage s": f"{max(t for t in times if t < back) - at:.1f}",
        "steady after s": recovered(times, back, before * STEADY_SHARE),
        **sampler.row(),
    }


def run_paced(cluster, options):
    """Measure peer bytes by kind at the wanted task starts a second."""
    per_second = options.starts

    def pace(seconds, first):
        begin = time.monotonic()
        for number in range(seconds):
            name = f"paced-{first + number}"
            submit(cluster, name, per_second, PACED_RUN_SECONDS, 0.25)
            time.sleep(max(0.0, begin + number + 1 - time.monotonic()))

    # Daemons that have just started may not have read the list of VMs yet.
    wait_for("a job", lambda: submit(cluster, "first", 1, 1.0, 0.25) or True)
    pace(round(2 * PACED_RUN_SECONDS), 0)
    since = time.time()
    with Sampler(cluster) as sampler:
        pace(PACED_SECONDS, 1_000)
    found = rate(starts(cluster), since, since + PACED_SECONDS)
    daemons = len(cluster.daemons)
    return {
        "starts/s": f"{found:.0f}",
        **sampler.row(),
        **{
            f"{kind}/s/daemon": f"{value / daemons:.0f}"
            for kind, value in sampler.mean_rates("bytes").items()
        },
    }


def run_cancel(cluster, options):
    """Cancel a wave of jobs, each by a call of its own."""
    count = options.jobs
    names = [f"wave-{number}" for number in range(count)]
    body = {"count": 1, "run_seconds": 600.0, "processors": 1.0}
    at = time.time()
    with Sampler(cluster) as sampler:
        submits = [("POST", "/v1/jobs", {"name": name, **body}) for name in names]
        submitted = asyncio.run(call_all(cluster, submits))
    submit_row = {f"submit {key}": value for key, value in sampler.row().items()}
    written = sampler.grown("write")
    middle = time.time()
    with Sampler(cluster) as sampler:
        cancels = [("DELETE", f"/v1/jobs/{name}", None) for name in names]
        cancelled = asyncio.run(call_all(cluster, cancels))
        answered = time.time()
        wait_for("an empty system", lambda: not running(cluster), 60)
    return {
        "submit s": f"{middle - at:.1f}",
        "submit writes a job": f"{written / count:.2f}",
        **submit_row,
        "codes": f"{submitted} {cancelled}",
        "cancel s": f"{answered - middle:.1f}",
        "cancel writes a job": f"{sampler.grown('write') / count:.2f}",
        "all stopped s": f"{time.time() - middle:.1f}",
        **sampler.row(),
    }


def running(cluster):
    """Return the runs that go on."""
    return [run for run in cluster.runs() if run["state"] == "running"]


SCENARIOS = {
    "starts": run_starts,
    "replace": run_replace,
    "outage": run_outage,
    "cancel": run_cancel,
    "paced": run_paced,
}


def main():
    """Run the scenarios that are named; return 0, or 1 after a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+", choices=sorted(SCENARIOS))
    parser.add_argument("--endpoints", type=int, default=4, help="in each domain")
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=5_000, help="of a wave")
    parser.add_argument("--starts", type=int, default=140, help="paced, a second")
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
