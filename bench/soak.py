"""Long randomised run of real processes under faults, with checks of invariants.

``python -m bench.soak --seed 1 --minutes 5`` prints the faults and results of each
check on one line, and exits with 1 if an invariant is violated or work doesn't finish.
The seed determines the sequence of faults, but not their timing relative to the
processes.
"""

import argparse
import random
import signal
import sys
import time
import uuid

import httpx

from standins.cluster import SHORT_TIMES, Cluster
from standins.process import wait_for
from standins.senders import Senders

SERVICE = "call-in"
#: Short times, so that leases expire often.
SETTINGS = (
    SHORT_TIMES
    + """\
snapshot_batches = 50
retention_seconds = 5
"""
)
CLIENTS = 4
#: Longest time between two checks, in seconds.
MAX_CHECK_INTERVAL_SECONDS = 5.0
#: All work must finish within this time after the last fault.
SETTLE_SECONDS = 90.0
TASKS = 6


class InvariantError(Exception):
    """An invariant is violated."""


class Clients(Senders):
    """Threads that send requests and record their outcomes.

    ``outcomes`` is {request id: outcome}, ``keys`` {idempotency key: [request id]}.
    """

    def __init__(self, cluster, seed):
        super().__init__(CLIENTS)
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.outcomes = {}
        self.keys = {}

    def run(self, _number):
        """Send requests until stopped; every third is sent twice with the same key."""
        with httpx.Client(timeout=10.0) as client:
            number = 0
            while not self.stopping.wait(0.02):
                number += 1
                key = uuid.uuid4().hex if number % 3 == 0 else ""
                for _copy in range(2 if key else 1):
                    self.send(client, key)

    def send(self, client, key):
        """Send one request to a random daemon."""
        daemon = self.rng.choice(self.cluster.daemons)
        url = f"{daemon.url}/v1/services/{SERVICE}/requests"
        body = uuid.uuid4().hex.encode()
        headers = {"X-Deadline": f"{time.time() + 2.0:.3f}"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            answer = client.post(url, content=body, headers=headers)
        except httpx.HTTPError:
            return
        request_id = answer.headers["X-Request-Id"]
        outcome = answer.headers["X-Outcome"]
        if outcome == "done" and answer.content != body:
            outcome = "another's"
        self.outcomes[request_id] = outcome
        if key:
            self.keys.setdefault(key, []).append(request_id)

    def check(self):
        """Return {outcome: number of requests}.

        Raises `InvariantError` if an outcome contradicts the executed requests.
        """
        outcomes, keys = dict(self.outcomes), dict(self.keys)
        executed = self.cluster.executed_requests()
        executions = dict.fromkeys(outcomes, 0)
        for request_id in executed:
            executions[request_id] = executions.get(request_id, 0) + 1
        for request_id, outcome in outcomes.items():
            if outcome == "another's" or (
                outcome == "not-run" and executions[request_id]
            ):
                raise InvariantError(
                    f"request {request_id}: {outcome}, "
                    f"ran {executions[request_id]} times"
                )
        for key, request_ids in keys.items():
            if sum(executions.get(request_id, 0) for request_id in request_ids) > 1:
                raise InvariantError(f"key {key} ran more than once: {request_ids}")
        return {
            outcome: list(outcomes.values()).count(outcome)
            for outcome in set(outcomes.values())
        }


class Soak:
    """One soak run: its faults, submitted jobs and checks."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.http = httpx.Client(timeout=10.0)
        self.jobs = []
        self.revisions = {}
        self.faults = 0

    # Faults: each method starts one and returns a function that ends it. The output
    # shows the names of the methods.

    def kill(self):
        """Kill a daemon; ending the fault restarts it."""
        daemon = self.rng.choice(self.cluster.daemons)
        if daemon.process.child.poll() is not None:
            return lambda: None
        daemon.process.kill()
        return daemon.process.start

    def pause(self):
        """Suspend a daemon with SIGSTOP."""
        process = self.rng.choice(self.cluster.daemons).process
        process.signal(signal.SIGSTOP)
        return lambda: process.signal(signal.SIGCONT)

    def route(self):
        """Disturb the connections on the routes that match a random pattern."""
        faults = self.rng.choice(
            [
                {"cut": "up"},
                {"cut": "down"},
                {"cut": "both"},
                {"reset": "after"},
                {"refuse": True, "sever": True},
                {"loss": 0.2, "delay": [0.05, 0.05]},
            ]
        )
        pattern = self.rng.choice(["platform:a-*", "endpoint:b-0", "peer:*", "*:c-*"])
        self.cluster.proxy(pattern, **faults)
        no_faults = {
            "cut": "",
            "reset": "",
            "refuse": False,
            "loss": 0,
            "delay": [0, 0],
        }
        return lambda: self.cluster.proxy(pattern, **no_faults)

    def platform(self):
        """Make the platform unavailable, lossy or slow."""
        faults = self.rng.choice([{"down": True}, {"lose": 0.3}, {"delay": 0.5}])
        self.cluster.platform_faults(**faults)
        return lambda: self.cluster.platform_faults(down=False, lose=0.0, delay=0.0)

    def domain(self):
        """Drain a domain."""
        name = self.rng.choice(self.cluster.domains)
        self.call("put", f"/v1/domains/{name}", {"state": "out"})
        return lambda: self.call("put", f"/v1/domains/{name}", {"state": "in"})

    # Operator requests

    def call(self, method, path, body=None):
        """Try daemons in random order; return the first successful answer, or None."""
        for daemon in self.rng.sample(self.cluster.daemons, len(self.cluster.daemons)):
            try:
                answer = self.http.request(method, daemon.url + path, json=body)
            except httpx.HTTPError:
                continue
            if answer.status_code < 300:
                return answer.json()
        return None

    def submit(self):
        """Submit another job; record it only if it was accepted."""
        name = f"job-{len(self.jobs)}-{self.faults}"
        run_seconds = self.rng.uniform(0.2, 3.0)
        body = {"name": name, "count": TASKS, "run_seconds": run_seconds}
        if self.call("post", "/v1/jobs", {**body, "max_attempts": 1000}):
            self.jobs.append(name)

    # Checks

    def check(self, clients):
        """Return the counts of outcomes; raise `InvariantError` on a violation."""
        if violations := self.cluster.violations():
            raise InvariantError(str(violations[:3]))
        for daemon in self.cluster.daemons:
            self.check_revision(daemon)
        return clients.check()

    def check_revision(self, daemon):
        """Raise `InvariantError` if the config revision of ``daemon`` decreased."""
        try:
            status = self.http.get(f"{daemon.url}/v1/status", timeout=1.0).json()
        except httpx.HTTPError:
            return
        revision, previous = (
            status["config_revision"],
            self.revisions.get(daemon.name, 0),
        )
        if revision and revision < previous:
            raise InvariantError(
                f"{daemon.name} went from revision {previous} to {revision}"
            )
        self.revisions[daemon.name] = max(revision, previous)

    def completed_tasks(self):
        """Return {job: number of completed tasks}, as recorded by the endpoints."""
        completed = dict.fromkeys(self.jobs, 0)
        for run in self.cluster.runs():
            if run["state"] == "done" and run["origin"] in completed:
                completed[run["origin"]] += 1
        return completed

    def settle(self):
        """End all faults; wait until each accepted task has completed exactly once."""
        self.cluster.clear_faults()
        for daemon in self.cluster.daemons:
            if daemon.process.child.poll() is not None:
                daemon.process.start()
        for daemon in self.cluster.daemons:
            daemon.process.signal(signal.SIGCONT)
            self.cluster.wait_ready(daemon)
        for name in self.cluster.domains:
            self.call("put", f"/v1/domains/{name}", {"state": "in"})
        wait_for(
            "all jobs",
            lambda: all(count >= TASKS for count in self.completed_tasks().values()),
            SETTLE_SECONDS,
        )
        if repeated := {
            job: n for job, n in self.completed_tasks().items() if n != TASKS
        }:
            raise InvariantError(f"done more than once: {repeated}")

    def run(self, minutes, clients):
        """Inject one or two faults at a time, and check after each."""
        kinds = [self.kill, self.pause, self.route, self.platform, self.domain]
        end = time.monotonic() + minutes * 60.0
        while time.monotonic() < end:
            chosen = self.rng.sample(kinds, self.rng.choice([1, 1, 2]))
            end_functions = [kind() for kind in chosen]
            self.faults += len(chosen)
            self.submit()
            time.sleep(self.rng.uniform(0.5, MAX_CHECK_INTERVAL_SECONDS))
            for end_fault in end_functions:
                end_fault()
            outcomes = self.check(clients)
            names = "+".join(kind.__name__ for kind in chosen)
            print(f"{names}: {len(self.jobs)} jobs, requests {outcomes}", flush=True)
        self.settle()
        print(f"{self.faults} faults, {len(self.jobs)} jobs, {self.check(clients)}")


def main():
    """Run the soak test; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=1.0)
    arguments = parser.parse_args()
    cluster = Cluster(extra=SETTINGS, proxied=True, sample=0.0)
    try:
        with cluster:
            soak = Soak(cluster, arguments.seed)
            body = {"name": SERVICE, "count": 6, "service": True, "urgency": "urgent"}
            wait_for("a service", lambda: soak.call("post", "/v1/jobs", body))
            with Clients(cluster, arguments.seed) as clients:
                soak.run(arguments.minutes, clients)
    except (InvariantError, TimeoutError) as error:
        print(f"soak failed: {error}; logs are in {cluster.folder}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
