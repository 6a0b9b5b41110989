"""Policies for requests beside their baseline, under the same arrivals.

Run as ``python -m bench.requests SCENARIO...``; prints a table for each scenario and
writes out/requests-SCENARIO.csv.  The baseline is round robin without limits of its
own, ejection or budget: each failed attempt is retried.
"""

import argparse
import asyncio
import concurrent.futures
import csv
import os
import random
import time
import uuid

import aiohttp

from bench import demo, roundtrip
from standins.cluster import Cluster
from standins.process import ROOT, wait_for

SERVICE = "call-in"
SEED = 1
FLOOD_RATE = 1000
FLOOD_SECONDS = 6.0
FLOOD_SEEDS = (1, 2, 3)
BASELINE = {
    "policy": "round-robin",
    "slot_percent": 1_000_000,
    "daemons_per_domain": 1,
    "eject_percent": 0,
    "retry_percent": 100,
    "queue_limit": 1_000_000,
}
POLICIES = (
    "random",
    "round-robin",
    "power-of-two",
    "two-expected",
    "least-expected",
    "least-in-flight",
)


class Result:
    """Outcome, arrival and latency of one request; times in seconds."""

    __slots__ = ("client", "at", "seconds", "outcome")

    def __init__(self, client, at, seconds, outcome):
        self.client = client
        self.at = at
        self.seconds = seconds
        self.outcome = outcome


class Bed:
    """A cluster of one domain and one daemon with a service on every endpoint."""

    def __init__(self, endpoints, router):
        options = "".join(f"{key} = {value}\n" for key, value in router.items())
        self.count = endpoints
        self.cluster = Cluster(
            domains=("a",),
            daemons=1,
            endpoints=endpoints,
            extra="[router]\n" + options,
            sample=0.0,
        )

    def __enter__(self):
        self.cluster.__enter__()
        daemon = self.daemon = self.cluster.daemons[0]
        self.url = f"{daemon.url}/v1/services/{SERVICE}/requests"
        size = ["--count", str(self.count), "--processors", "30"]
        demo.tool(daemon, "service", "submit", SERVICE, *size)

        def complete():
            return demo.running(daemon, "service", SERVICE) == self.count

        wait_for("all replicas", complete)
        return self

    def __exit__(self, *exc):
        self.cluster.__exit__(*exc)

    def faults(self, name=None, **faults):
        """Set faults of one endpoint or of all."""
        for endpoint in [name] if name else self.cluster.endpoints:
            self.cluster.endpoint_faults(endpoint, **faults)

    def counter(self, name, labels=""):
        """Return a counter of the daemon."""
        for line in self.cluster.http.get(f"{self.daemon.url}/metrics").text.split(
            "\n"
        ):
            if line.startswith(f"clementine_{name}_total{labels} "):
                return float(line.split()[-1])
        return 0.0

    def send(self, arrivals, seconds, actions=(), **options):
        """Send {client: rate} for ``seconds``; return the results."""
        return asyncio.run(send_all(self.url, arrivals, seconds, actions, **options))


def send_apart(url, arrivals, seconds, seed):
    """Send from a process of its own, so that other clients are not held up."""
    asyncio.run(send_all(url, arrivals, seconds, seed=seed))


async def send_all(
    url, arrivals, seconds, actions=(), key=None, seed=SEED, repeatable=False
):
    """Send at arrival times fixed by the seed; run (time, action) meanwhile.

    ``key`` is a coroutine function of (session, url) that returns a once-only key.
    """
    plan = sorted(
        (at, client)
        for client, rate in arrivals.items()
        for at in poisson(rate, seconds, f"{seed}-{client}")
    )
    results = []
    tasks = []
    loop = asyncio.get_running_loop()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start = time.perf_counter()
        for at, action in actions:
            tasks.append(asyncio.create_task(run_at(start + at, action, loop)))
        for at, client in plan:
            delay = start + at - time.perf_counter()
            if delay > 0:
                await asyncio.sleep(delay)
            sending = send(session, url, client, at, results, key, repeatable)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return results


async def send(session, url, client, at, results, key=None, repeatable=False):
    """Send one request that has two seconds."""
    deadline = time.time() + 2.0
    headers = {"X-Client": client, "X-Deadline": f"{deadline:.3f}"}
    start = time.perf_counter()
    if repeatable:
        headers["X-Repeatable"] = "true"
    if key is not None:
        headers["Idempotency-Key"] = await key(session, url)
    async with session.post(url, data=b"x" * 200, headers=headers) as answer:
        await answer.read()
        outcome = answer.headers["X-Outcome"]
    results.append(Result(client, at, time.perf_counter() - start, outcome))


def poisson(rate, seconds, seed):
    """Yield arrival times."""
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


async def run_at(at, action, loop):
    """Run blocking ``action`` at a time of the performance counter."""
    await asyncio.sleep(at - time.perf_counter())
    await loop.run_in_executor(None, action)


def milliseconds(results, share):
    """Return a quantile of the latencies of what was done, in milliseconds."""
    done = sorted(r.seconds for r in results if r.outcome == "done")
    return round(done[int(len(done) * share)] * 1000, 1) if done else None


def count(results, outcome):
    """Return how many results have ``outcome``."""
    return sum(r.outcome == outcome for r in results)


def routing():
    """Yield a row a policy: 4 endpoints, one of them four times as slow, 70% load."""
    for policy in POLICIES:
        with Bed(4, {"policy": policy}) as bed:
            bed.faults(service_seconds=0.05)
            bed.faults("a-0", service_seconds=0.2)
            bed.send({"warm": 100}, 1.0)
            results = bed.send({f"c{n}": 46 for n in range(8)}, 5.0)
            yield {
                "policy": policy,
                "sent": len(results),
                "done": count(results, "done"),
                "p50_ms": milliseconds(results, 0.5),
                "p99_ms": milliseconds(results, 0.99),
            }


def flood():
    """Yield rows of four quiet clients with and without one that floods.

    A row for each of three seeds and one for them together.
    """
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with Bed(4, options) as bed:
            bed.faults(service_seconds=0.05)
            bed.send({"warm": 100}, 1.0)
            for rate in (0, FLOOD_RATE):
                together = []
                for seed in FLOOD_SEEDS:
                    results, used = beside_flood(bed, rate, seed)
                    together += results
                    yield flood_row(name, rate, seed, results, used)
                yield flood_row(name, rate, "all", together, "")


def flood_row(name, rate, seed, results, used):
    """Return a row; ``used`` is the daemon's processor time a second."""
    return {
        "way": name,
        "flood_rps": rate,
        "seed": seed,
        "quiet_sent": len(results),
        "quiet_done": count(results, "done"),
        "quiet_p50_ms": milliseconds(results, 0.5),
        "quiet_p99_ms": milliseconds(results, 0.99),
        "daemon_cores": used,
    }


def beside_flood(bed, rate, seed):
    """Return the results of quiet clients and the processors the daemon used.

    The flood comes from a process of its own.
    """
    quiet = {f"quiet-{n}": 20 for n in range(4)}
    with concurrent.futures.ProcessPoolExecutor(1) as pool:
        if rate:
            pool.submit(send_apart, bed.url, {"flood": rate}, FLOOD_SECONDS, seed)
            time.sleep(1.0)
        process = bed.daemon.process
        before = roundtrip.processor_seconds(process), time.perf_counter()
        results = bed.send(quiet, FLOOD_SECONDS - 2.0, seed=seed)
        used = roundtrip.processor_seconds(process) - before[0]
    return results, round(used / (time.perf_counter() - before[1]), 2)


def outage():
    """Yield rows of a fault of all endpoints from 2 s to 5 s, under 300 a second."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with Bed(4, options) as bed:
            bed.faults(service_seconds=0.02)
            bed.send({"warm": 100}, 1.0)
            seen = {}

            def begin(bed=bed, seen=seen):
                seen["before"] = bed.counter("retries")
                bed.faults(fail_requests=True)

            def end(bed=bed, seen=seen):
                seen["after"] = bed.counter("retries")
                bed.faults(fail_requests=False)

            actions = ((2.0, begin), (5.0, end))
            results = bed.send({"c": 300}, 9.0, actions)
            during = sum(2.0 <= r.at < 5.0 for r in results)
            retries = seen["after"] - seen["before"]
            failed = [r.at for r in results if r.outcome != "done"]
            yield {
                "way": name,
                "arrivals": during,
                "offered_ratio": round((during + retries) / during, 2),
                "not_run": count(results, "not-run"),
                "unknown": count(results, "unknown"),
                "last_failure_s_after_end": round(max(failed) - 5.0, 2),
                "ejections": bed.counter("ejections"),
            }


def bad_endpoint():
    """Yield rows of one endpoint of 24 that refuses everything at once."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with Bed(24, options) as bed:
            bed.faults(service_seconds=0.02)
            bed.faults("a-0", fail_requests=True)
            bed.send({"c": 300}, 5.0)
            before = bed.counter("retries")
            results = bed.send({"c": 300}, 8.0)
            refused = bed.counter("retries") - before + count(results, "not-run")
            yield {
                "way": name,
                "sent": len(results),
                "drawn_percent_after_5_s": round(100 * refused / len(results), 2),
                "not_run": count(results, "not-run"),
                "p99_ms": milliseconds(results, 0.99),
            }


def hang():
    """Yield rows of 24 endpoints of which one, then all hang from 2 s to 5 s."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        for hanging in ("a-0", None):
            with Bed(24, options) as bed:
                bed.faults(service_seconds=0.02)
                bed.send({"warm": 100}, 1.0)
                for repeatable in (False, True):
                    yield {
                        "way": name,
                        "hanging": "one" if hanging else "all",
                        "repeatable": repeatable,
                        **hang_row(bed, hanging, repeatable),
                    }


def hang_row(bed, hanging, repeatable):
    """Return what 300 requests a second see while ``hanging``, or all, hang."""
    names = ("retries", "hedges", "ejections")
    before = [bed.counter(name) for name in names]
    actions = (
        (2.0, lambda: bed.faults(hanging, hang_requests=True)),
        (5.0, lambda: bed.faults(hanging, hang_requests=False)),
    )
    results = bed.send({"c": 300}, 9.0, actions, repeatable=repeatable)
    retries, hedges, ejections = (
        bed.counter(name) - earlier for name, earlier in zip(names, before, strict=True)
    )
    failed = [r.at for r in results if r.outcome != "done"]
    during = sum(2.0 <= r.at < 5.0 for r in results)
    return {
        "arrivals": during,
        "offered_ratio": round((during + retries + hedges) / during, 2),
        "not_run": count(results, "not-run"),
        "unknown": count(results, "unknown"),
        "last_failure_s_after_end": round(max(failed) - 5.0, 2) if failed else None,
        "p50_ms": milliseconds(results, 0.5),
        "p99_ms": milliseconds(results, 0.99),
        "ejections": ejections,
    }


async def new_key(_session, _url):
    """Return a key of the client's own."""
    return uuid.uuid4().hex


async def new_ticket(session, url):
    """Return a ticket of the daemon."""
    async with session.post(url.replace("/requests", "/tickets")) as answer:
        return (await answer.json(content_type=None))["key"]


def once_only():
    """Yield rows of plain requests, keys and tickets at 200 a second."""
    ways = {"plain": None, "key": new_key, "ticket": new_ticket}
    with Bed(4, {}) as bed:
        bed.faults(service_seconds=0.02)
        for name, key in ways.items():
            labels = '{kind="write"}'
            before = bed.counter("platform_calls", labels)
            results = bed.send({"c": 200}, 5.0, key=key)
            writes = bed.counter("platform_calls", labels) - before
            yield {
                "way": name,
                "sent": len(results),
                "done": count(results, "done"),
                "p50_ms": milliseconds(results, 0.5),
                "p99_ms": milliseconds(results, 0.99),
                "writes_per_s": round(writes / 5.0, 1),
            }


SCENARIOS = {
    "once-only": once_only,
    "routing": routing,
    "flood": flood,
    "outage": outage,
    "bad-endpoint": bad_endpoint,
    "hang": hang,
}


def main():
    """Run scenarios and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="+", choices=SCENARIOS)
    for name in parser.parse_args().scenarios:
        rows = []
        for row in SCENARIOS[name]():
            rows.append(row)
            print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)
        os.makedirs(os.path.join(ROOT, "out"), exist_ok=True)
        path = os.path.join(ROOT, "out", f"requests-{name}.csv")
        with open(path, "w", newline="", encoding="utf-8") as file:
            writer = csv.DictWriter(file, rows[0])
            writer.writeheader()
            writer.writerows(rows)


if __name__ == "__main__":
    main()
