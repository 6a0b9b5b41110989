"""Request policies compared with a baseline, under the same arrivals.

Run as ``python -m bench.requests SCENARIO...``; prints a table for each scenario and
writes out/requests-SCENARIO.csv.  The baseline is round robin without limits, ejection
or a retry budget: every failed attempt is retried.
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
    """Client, arrival time, latency and outcome of one request; times in seconds."""

    __slots__ = ("client", "at", "seconds", "outcome")

    def __init__(self, client, at, seconds, outcome):
        self.client = client
        self.at = at
        self.seconds = seconds
        self.outcome = outcome


class ServiceCluster:
    """One domain and one daemon, with a replica of the service on every endpoint."""

    def __init__(self, endpoints, router_options):
        options = "".join(f"{key} = {value}\n" for key, value in router_options.items())
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

        def all_running():
            return demo.running(daemon, "service", SERVICE) == self.count

        wait_for("all replicas", all_running)
        return self

    def __exit__(self, *exc):
        self.cluster.__exit__(*exc)

    def set_faults(self, name=None, **faults):
        """Set faults of the endpoint ``name``, or of all endpoints."""
        for endpoint in [name] if name else self.cluster.endpoints:
            self.cluster.endpoint_faults(endpoint, **faults)

    def counter(self, name, labels=""):
        """Return the value of a counter metric of the daemon."""
        for line in self.cluster.http.get(f"{self.daemon.url}/metrics").text.split(
            "\n"
        ):
            if line.startswith(f"clementine_{name}_total{labels} "):
                return float(line.split()[-1])
        return 0.0

    def send(self, arrivals, seconds, actions=(), **options):
        """Send requests at {client: rate} for ``seconds``; return the results."""
        return asyncio.run(send_all(self.url, arrivals, seconds, actions, **options))


def send_in_child(url, arrivals, seconds, seed):
    """Send requests; runs in a child process, so that other clients aren't delayed."""
    asyncio.run(send_all(url, arrivals, seconds, seed=seed))


async def send_all(
    url, arrivals, seconds, actions=(), make_key=None, seed=SEED, repeatable=False
):
    """Send at arrival times fixed by ``seed``, and run (time, action) pairs meanwhile.

    ``make_key`` is a coroutine function of (session, url) that returns the idempotency
    key of a request.
    """
    plan = sorted(
        (at, client)
        for client, rate in arrivals.items()
        for at in poisson_arrivals(rate, seconds, f"{seed}-{client}")
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
            sending = send(session, url, client, at, results, make_key, repeatable)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return results


async def send(session, url, client, at, results, make_key=None, repeatable=False):
    """Send one request with a deadline of two seconds."""
    deadline = time.time() + 2.0
    headers = {"X-Client": client, "X-Deadline": f"{deadline:.3f}"}
    start = time.perf_counter()
    if repeatable:
        headers["X-Repeatable"] = "true"
    if make_key is not None:
        headers["Idempotency-Key"] = await make_key(session, url)
    async with session.post(url, data=b"x" * 200, headers=headers) as answer:
        await answer.read()
        outcome = answer.headers["X-Outcome"]
    results.append(Result(client, at, time.perf_counter() - start, outcome))


def poisson_arrivals(rate, seconds, seed):
    """Yield arrival times in seconds from the start."""
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


async def run_at(at, action, loop):
    """Run the blocking ``action`` in a thread, at ``at`` of the performance counter."""
    await asyncio.sleep(at - time.perf_counter())
    await loop.run_in_executor(None, action)


def quantile_ms(results, fraction):
    """Return a latency quantile of the successful requests, in milliseconds."""
    done = sorted(r.seconds for r in results if r.outcome == "done")
    return round(done[int(len(done) * fraction)] * 1000, 1) if done else None


def count(results, outcome):
    """Return the number of results with ``outcome``."""
    return sum(r.outcome == outcome for r in results)


def routing():
    """Yield a row per policy: 70% load on 4 endpoints, one of them 4 times slower."""
    for policy in POLICIES:
        with ServiceCluster(4, {"policy": policy}) as system:
            system.set_faults(service_seconds=0.05)
            system.set_faults("a-0", service_seconds=0.2)
            system.send({"warm": 100}, 1.0)
            results = system.send({f"c{n}": 46 for n in range(8)}, 5.0)
            yield {
                "policy": policy,
                "sent": len(results),
                "done": count(results, "done"),
                "p50_ms": quantile_ms(results, 0.5),
                "p99_ms": quantile_ms(results, 0.99),
            }


def flood():
    """Yield rows of four well-behaved clients, with and without a flooding client.

    There is a row for each of three seeds, and one for all of them together.
    """
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with ServiceCluster(4, options) as system:
            system.set_faults(service_seconds=0.05)
            system.send({"warm": 100}, 1.0)
            for rate in (0, FLOOD_RATE):
                all_results = []
                for seed in FLOOD_SEEDS:
                    results, cores = quiet_results(system, rate, seed)
                    all_results += results
                    yield flood_row(name, rate, seed, results, cores)
                yield flood_row(name, rate, "all", all_results, "")


def flood_row(name, rate, seed, results, cores):
    """Return a row; ``cores`` is the processor time the daemon used per second."""
    return {
        "way": name,
        "flood_rps": rate,
        "seed": seed,
        "quiet_sent": len(results),
        "quiet_done": count(results, "done"),
        "quiet_p50_ms": quantile_ms(results, 0.5),
        "quiet_p99_ms": quantile_ms(results, 0.99),
        "daemon_cores": cores,
    }


def quiet_results(system, rate, seed):
    """Return the results of the well-behaved clients and the cores used by the daemon.

    The flooding client runs in a child process.
    """
    quiet = {f"quiet-{n}": 20 for n in range(4)}
    with concurrent.futures.ProcessPoolExecutor(1) as pool:
        if rate:
            pool.submit(send_in_child, system.url, {"flood": rate}, FLOOD_SECONDS, seed)
            time.sleep(1.0)
        process = system.daemon.process
        before = roundtrip.processor_seconds(process), time.perf_counter()
        results = system.send(quiet, FLOOD_SECONDS - 2.0, seed=seed)
        cpu_seconds = roundtrip.processor_seconds(process) - before[0]
    return results, round(cpu_seconds / (time.perf_counter() - before[1]), 2)


def outage():
    """Yield rows at 300 requests/s, with all endpoints failing from 2 s to 5 s."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with ServiceCluster(4, options) as system:
            system.set_faults(service_seconds=0.02)
            system.send({"warm": 100}, 1.0)
            retry_counts = {}

            def start_fault(system=system, retry_counts=retry_counts):
                retry_counts["before"] = system.counter("retries")
                system.set_faults(fail_requests=True)

            def end_fault(system=system, retry_counts=retry_counts):
                retry_counts["after"] = system.counter("retries")
                system.set_faults(fail_requests=False)

            actions = ((2.0, start_fault), (5.0, end_fault))
            results = system.send({"c": 300}, 9.0, actions)
            during = sum(2.0 <= r.at < 5.0 for r in results)
            retries = retry_counts["after"] - retry_counts["before"]
            failed = [r.at for r in results if r.outcome != "done"]
            yield {
                "way": name,
                "arrivals": during,
                "offered_ratio": round((during + retries) / during, 2),
                "not_run": count(results, "not-run"),
                "unknown": count(results, "unknown"),
                "last_failure_s_after_end": round(max(failed) - 5.0, 2),
                "ejections": system.counter("ejections"),
            }


def bad_endpoint():
    """Yield rows with one of 24 endpoints that rejects every request immediately."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        with ServiceCluster(24, options) as system:
            system.set_faults(service_seconds=0.02)
            system.set_faults("a-0", fail_requests=True)
            system.send({"c": 300}, 5.0)
            before = system.counter("retries")
            results = system.send({"c": 300}, 8.0)
            refused = system.counter("retries") - before + count(results, "not-run")
            yield {
                "way": name,
                "sent": len(results),
                "drawn_percent_after_5_s": round(100 * refused / len(results), 2),
                "not_run": count(results, "not-run"),
                "p99_ms": quantile_ms(results, 0.99),
            }


def hang():
    """Yield rows with one, then all of 24 endpoints hanging from 2 s to 5 s."""
    for name, options in (("baseline", BASELINE), ("policy", {})):
        for hanging in ("a-0", None):
            with ServiceCluster(24, options) as system:
                system.set_faults(service_seconds=0.02)
                system.send({"warm": 100}, 1.0)
                for repeatable in (False, True):
                    yield {
                        "way": name,
                        "hanging": "one" if hanging else "all",
                        "repeatable": repeatable,
                        **hang_row(system, hanging, repeatable),
                    }


def hang_row(system, hanging, repeatable):
    """Return a row at 300 requests/s; if ``hanging`` is None, all endpoints hang."""
    names = ("retries", "hedges", "ejections")
    before = [system.counter(name) for name in names]
    actions = (
        (2.0, lambda: system.set_faults(hanging, hang_requests=True)),
        (5.0, lambda: system.set_faults(hanging, hang_requests=False)),
    )
    results = system.send({"c": 300}, 9.0, actions, repeatable=repeatable)
    retries, hedges, ejections = (
        system.counter(name) - earlier
        for name, earlier in zip(names, before, strict=True)
    )
    failed = [r.at for r in results if r.outcome != "done"]
    during = sum(2.0 <= r.at < 5.0 for r in results)
    return {
        "arrivals": during,
        "offered_ratio": round((during + retries + hedges) / during, 2),
        "not_run": count(results, "not-run"),
        "unknown": count(results, "unknown"),
        "last_failure_s_after_end": round(max(failed) - 5.0, 2) if failed else None,
        "p50_ms": quantile_ms(results, 0.5),
        "p99_ms": quantile_ms(results, 0.99),
        "ejections": ejections,
    }


async def new_key(_session, _url):
    """Return a key generated by the client."""
    return uuid.uuid4().hex


async def new_ticket(session, url):
    """Return the key of a ticket issued by the daemon."""
    async with session.post(url.replace("/requests", "/tickets")) as answer:
        return (await answer.json(content_type=None))["key"]


def once_only():
    """Yield rows at 200 requests/s: without keys, with client keys and with tickets."""
    key_functions = {"plain": None, "key": new_key, "ticket": new_ticket}
    with ServiceCluster(4, {}) as system:
        system.set_faults(service_seconds=0.02)
        for name, make_key in key_functions.items():
            labels = '{kind="write"}'
            before = system.counter("platform_calls", labels)
            results = system.send({"c": 200}, 5.0, make_key=make_key)
            writes = system.counter("platform_calls", labels) - before
            yield {
                "way": name,
                "sent": len(results),
                "done": count(results, "done"),
                "p50_ms": quantile_ms(results, 0.5),
                "p99_ms": quantile_ms(results, 0.99),
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
    """Run the named scenarios and print their tables."""
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
