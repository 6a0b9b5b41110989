"""A long randomised run of real processes under faults, with invariants checked.

``python -m bench.soak --seed 1 --minutes 5`` prints what was done and seen as one line
a check, and exits 1 if a promise was broken or work did not end.  The order of faults
follows from the seed; their timing against the processes does not.
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
#: Short times, so that leases run out often.
SETTINGS = (
    SHORT_TIMES
    + """\
snapshot_batches = 50
retention_seconds = 5
"""
)
CLIENTS = 4
#: Time between two checks, in seconds.
CHECK_SECONDS = 5.0
#: Longest time in which all work ends after the last fault, in seconds.
SETTLE_SECONDS = 90.0
TASKS = 6


class BrokenPromiseError(Exception):
    """A promise does not hold."""


class Clients(Senders):
    """Threads that send requests and keep what came back."""

    def __init__(self, cluster, seed):
        super().__init__(CLIENTS)
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.outcomes = {}
        self.keys = {}

    def run(self, _number):
        """Send requests until told to stop; every third has a key, sent twice."""
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
        name = answer.headers["X-Request-Id"]
        outcome = answer.headers["X-Outcome"]
        if outcome == "done" and answer.content != body:
            outcome = "another's"
        self.outcomes[name] = outcome
        if key:
            self.keys.setdefault(key, []).append(name)

    def check(self):
        """Raise `BrokenPromiseError` if an outcome does not fit what ran."""
        outcomes, keys = dict(self.outcomes), dict(self.keys)
        ran = self.cluster.executed_requests()
        times = dict.fromkeys(outcomes, 0)
        for name in ran:
            times[name] = times.get(name, 0) + 1
        for name, outcome in outcomes.items():
            if outcome == "another's" or (outcome == "not-run" and times[name]):
                raise BrokenPromiseError(
                    f"request {name}: {outcome}, ran {times[name]} times"
                )
        for key, names in keys.items():
            if sum(times.get(name, 0) for name in names) > 1:
                raise BrokenPromiseError(f"key {key} ran more than once: {names}")
        return {
            word: list(outcomes.values()).count(word) for word in set(outcomes.values())
        }


class Soak:
    """One run: its cluster, faults, submissions and checks."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.rng = random.Random(seed)
        self.http = httpx.Client(timeout=10.0)
        self.jobs = []
        self.revisions = {}
        self.faults = 0

    # Faults: each begins one and returns how to end it

    def kill(self):
        """Kill a daemon, and start it again."""
        daemon = self.rng.choice(self.cluster.daemons)
        if daemon.process.child.poll() is not None:
            return lambda: None
        daemon.process.kill()
        return daemon.process.start

    def pause(self):
        """Pause a daemon."""
        process = self.rng.choice(self.cluster.daemons).process
        process.signal(signal.SIGSTOP)
        return lambda: process.signal(signal.SIGCONT)

    def route(self):
        """Spoil some of the ways."""
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
        place = self.rng.choice(["platform:a-*", "endpoint:b-0", "peer:*", "*:c-*"])
        self.cluster.proxy(place, **faults)
        ended = {"cut": "", "reset": "", "refuse": False, "loss": 0, "delay": [0, 0]}
        return lambda: self.cluster.proxy(place, **ended)

    def platform(self):
        """Make the platform fail."""
        faults = self.rng.choice([{"down": True}, {"lose": 0.3}, {"delay": 0.5}])
        self.cluster.platform_faults(**faults)
        return lambda: self.cluster.platform_faults(down=False, lose=0.0, delay=0.0)

    def domain(self):
        """Take a domain out."""
        name = self.rng.choice(self.cluster.domains)
        self.call("put", f"/v1/domains/{name}", {"state": "out"})
        return lambda: self.call("put", f"/v1/domains/{name}", {"state": "in"})

    # Operators

    def call(self, method, path, body=None):
        """Ask daemons in turn until one answers without an error, or none does."""
        for daemon in self.rng.sample(self.cluster.daemons, len(self.cluster.daemons)):
            try:
                answer = self.http.request(method, daemon.url + path, json=body)
            except httpx.HTTPError:
                continue
            if answer.status_code < 300:
                return answer.json()
        return None

    def submit(self):
        """Submit one more job; it counts only if it was accepted."""
        name = f"job-{len(self.jobs)}-{self.faults}"
        run_seconds = self.rng.uniform(0.2, 3.0)
        body = {"name": name, "count": TASKS, "run_seconds": run_seconds}
        if self.call("post", "/v1/jobs", {**body, "max_attempts": 1000}):
            self.jobs.append(name)

    # Checks

    def check(self, clients):
        """Return the outcomes; raise `BrokenPromiseError` if a promise is broken."""
        if violations := self.cluster.violations():
            raise BrokenPromiseError(str(violations[:3]))
        for daemon in self.cluster.daemons:
            self.check_revision(daemon)
        return clients.check()

    def check_revision(self, daemon):
        """Raise `BrokenPromiseError` if ``daemon`` went back to an older revision."""
        try:
            status = self.http.get(f"{daemon.url}/v1/status", timeout=1.0).json()
        except httpx.HTTPError:
            return
        found, before = status["config_revision"], self.revisions.get(daemon.name, 0)
        if found and found < before:
            raise BrokenPromiseError(
                f"{daemon.name} went from revision {before} to {found}"
            )
        self.revisions[daemon.name] = max(found, before)

    def done(self):
        """Return {job: tasks that are done} as the endpoints saw it."""
        found = dict.fromkeys(self.jobs, 0)
        for run in self.cluster.runs():
            if run["state"] == "done" and run["origin"] in found:
                found[run["origin"]] += 1
        return found

    def settle(self):
        """End all faults and wait until every accepted job is done exactly once."""
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
            lambda: all(count >= TASKS for count in self.done().values()),
            SETTLE_SECONDS,
        )
        if more := {job: n for job, n in self.done().items() if n != TASKS}:
            raise BrokenPromiseError(f"done more than once: {more}")

    def run(self, minutes, clients):
        """Bring about faults, one or two at a time, and check."""
        kinds = [self.kill, self.pause, self.route, self.platform, self.domain]
        end = time.monotonic() + minutes * 60.0
        while time.monotonic() < end:
            chosen = self.rng.sample(kinds, self.rng.choice([1, 1, 2]))
            endings = [kind() for kind in chosen]
            self.faults += len(chosen)
            self.submit()
            time.sleep(self.rng.uniform(0.5, CHECK_SECONDS))
            for ending in endings:
                ending()
            seen = self.check(clients)
            names = "+".join(kind.__name__ for kind in chosen)
            print(f"{names}: {len(self.jobs)} jobs, requests {seen}", flush=True)
        self.settle()
        print(f"{self.faults} faults, {len(self.jobs)} jobs, {self.check(clients)}")


def main():
    """Run; return 0, or 1 with what was broken."""
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
    except (BrokenPromiseError, TimeoutError) as error:
        print(f"soak failed: {error}; logs are in {cluster.folder}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
