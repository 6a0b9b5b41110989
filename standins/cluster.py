"""A small cluster of real processes on loopback, for the demo, tests and benchmarks."""

import base64
import os
import shutil
import signal
import subprocess
import sys
import tempfile

import httpx

from standins import platform, proxy
from standins.ports import free_ports, free_range
from standins.process import Process, wait_for

SETTINGS = """\
[daemon]
name = {name}
failure_domain = {domain}
[front]
port = {front}
body_seconds = {body}
[peer]
port = {peer}
seeds = {seeds}
[platform]
url = {platform}
live_list_url = {live_list}
[trace]
sample_percent = {sample}
{extra}
"""

#: Settings with short durations, so that leases expire within a test.
SHORT_TIMES = """\
[scheduler]
poll_seconds = 0.2
start_grace_seconds = 2
lease_seconds = 2
reclaim_after_seconds = 3
clock_skew_seconds = 0.2
leader_seconds = 2
"""


class Daemon:
    """A daemon process and its ports."""

    def __init__(self, name, domain, front, peer):
        self.name = name
        self.domain = domain
        self.front = front
        self.peer = peer
        self.process = None

    @property
    def url(self):
        """URL of the daemon's HTTP interface."""
        return f"http://127.0.0.1:{self.front}"


class Cluster:
    """Platform, endpoints and daemons; a context manager that starts and stops them.

    With ``proxied``, all connections from daemons pass through a fault-injecting proxy.
    Its routes are ``platform:DAEMON`` from DAEMON to the platform,
    ``endpoint:ENDPOINT`` to an endpoint, and ``peer:DOMAIN>DAEMON`` from the daemons of
    DOMAIN to DAEMON.
    """

    def __init__(
        self,
        domains=("a", "b", "c"),
        daemons=2,
        endpoints=2,
        extra="",
        proxied=False,
        sample=100.0,
        body_seconds=10.0,
        **size,
    ):
        self.domains = domains
        self.sample = sample
        self.body_seconds = body_seconds
        self.extra = extra
        self.size = {"processors": 32, "memory_mb": 125_000, "accelerators": 0, **size}
        self.endpoints_per_domain = endpoints
        self.daemons_per_domain = daemons
        self.folder = tempfile.mkdtemp(prefix="clementinebay-")
        self.processes = []
        self.daemons = []
        self.endpoints = {}
        self.http = httpx.Client(timeout=10.0)
        self.platform_url = ""
        self.platform = None
        self.proxied = proxied
        self.routes = {}
        self.proxy_url = ""

    def __enter__(self):
        try:
            self.start_platform()
            self.start_endpoints()
            self.assign_ports()
            if self.proxied:
                self.start_proxy()
            self.update_live_list([self.endpoint_vm(name) for name in self.endpoints])
            self.start_daemons()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, kind, error, trace):
        """Stop all processes; delete the logs unless an error occurred."""
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.terminate()
        for process in self.processes:
            try:
                process.stop()
            except subprocess.TimeoutExpired:
                pass
        self.http.close()
        if kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, name, *arguments):
        """Start a process that is stopped with the cluster."""
        process = Process(name, arguments, self.folder)
        self.processes.append(process)
        return process

    def start_platform(self):
        """Start the stand-in of the platform."""
        port = free_ports(1)[0]
        self.platform_url = f"http://127.0.0.1:{port}"
        self.platform = self.spawn("platform", "standins.platform", "--port", str(port))
        wait_for("the platform", lambda: self.http.get(f"{self.platform_url}/vms"))

    def start_endpoints(self):
        """Start one process per domain that serves all its endpoints."""
        for domain in self.domains:
            count = self.endpoints_per_domain
            first = free_range(count)
            options = ["--name", domain, "--port", str(first), "--count", str(count)]
            for key, value in self.size.items():
                options += [f"--{key.replace('_', '-')}", str(value)]
            self.spawn(f"endpoints-{domain}", "standins.endpoint", *options)
            for number in range(count):
                self.endpoints[f"{domain}-{number}"] = f"127.0.0.1:{first + number}"
        for address in self.endpoints.values():
            url = f"http://{address}/control/runs"
            wait_for(f"endpoint {address}", lambda url=url: self.http.get(url))

    def assign_ports(self):
        """Create the daemons and assign their ports."""
        for domain in self.domains:
            for number in range(self.daemons_per_domain):
                front, peer = free_ports(2)
                name = f"{domain}-entry-{number}"
                self.daemons.append(Daemon(name, domain, front, peer))

    def start_proxy(self):
        """Start the proxy with all its routes."""
        targets = {
            f"endpoint:{name}": address.rpartition(":")[2]
            for name, address in self.endpoints.items()
        }
        platform = self.platform_url.rpartition(":")[2]
        for daemon in self.daemons:
            targets[f"platform:{daemon.name}"] = platform
            for domain in self.domains:
                targets[f"peer:{domain}>{daemon.name}"] = daemon.peer
        control, *listens = free_ports(1 + len(targets))
        self.routes = dict(zip(targets, listens, strict=True))
        options = ["--control", str(control)]
        for name, listen in self.routes.items():
            options += ["--route", f"{name}={listen}:{targets[name]}"]
        self.spawn("proxy", "standins.proxy", *options)
        self.proxy_url = f"http://127.0.0.1:{control}"
        wait_for("the proxy", lambda: self.proxy("nothing") is not None)

    def endpoint_vm(self, name):
        """Return an endpoint's entry in the live list."""
        domain, _dash, number = name.rpartition("-")
        return {
            "id": name,
            "role": "endpoint",
            "address": self.route_to(f"endpoint:{name}", self.endpoints[name]),
            "failure_domain": domain,
            "rack": f"{domain}-rack-{int(number) % 3}",
            "processors_milli": self.size["processors"] * 1000,
            "memory_mb": self.size["memory_mb"],
            "accelerators": self.size["accelerators"],
        }

    def update_live_list(self, put=(), remove=()):
        """Put entries into the live list, and remove VMs by id."""
        body = {"put": list(put), "remove": list(remove)}
        self.http.post(f"{self.platform_url}/control/vms", json=body)

    def start_daemons(self):
        """Start the daemons and wait until they are ready."""
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.update_live_list([self.daemon_vm(daemon) for daemon in self.daemons])
        for daemon in self.daemons:
            self.wait_ready(daemon)

    def daemon_vm(self, daemon):
        """Return a daemon's entry in the live list."""
        address = f"127.0.0.1:{daemon.peer}"
        return {
            "id": daemon.name,
            "role": "entry",
            "address": address,
            "failure_domain": daemon.domain,
            "views": {
                domain: self.route_to(f"peer:{domain}>{daemon.name}", address)
                for domain in self.domains
            },
        }

    def route_to(self, route, address):
        """Return the address of a proxy route, or ``address`` without a proxy."""
        return f"127.0.0.1:{self.routes[route]}" if self.proxied else address

    def start_daemon(self, daemon):
        """Start one daemon process."""
        path = os.path.join(self.folder, f"{daemon.name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                SETTINGS.format(
                    name=daemon.name,
                    domain=daemon.domain,
                    front=daemon.front,
                    body=self.body_seconds,
                    peer=daemon.peer,
                    seeds=self.seeds_of(daemon),
                    platform=self.platform_of(daemon),
                    live_list=f"{self.platform_of(daemon)}/vms/{daemon.domain}",
                    extra=self.extra,
                    sample=self.sample,
                )
            )
        daemon.process = self.spawn(daemon.name, "clementinebay", "--settings", path)

    def seeds_of(self, daemon):
        """Return the addresses at which ``daemon`` reaches all other daemons."""
        return ", ".join(
            self.daemon_vm(other)["views"][daemon.domain]
            for other in self.daemons
            if other is not daemon
        )

    def platform_of(self, daemon):
        """Return the URL at which ``daemon`` reaches the platform."""
        address = self.platform_url.removeprefix("http://")
        return "http://" + self.route_to(f"platform:{daemon.name}", address)

    def wait_ready(self, daemon):
        """Wait until a daemon reports that it is ready."""
        url = f"{daemon.url}/ready"
        wait_for(daemon.name, lambda: self.http.get(url).status_code == 200)

    # Faults and observations

    def platform_faults(self, **faults):
        """Set faults of the platform; see `standins.platform`."""
        self.http.post(f"{self.platform_url}/control/faults", json=faults)

    def hold_write(self, domain, record, effect=False):
        """Hold the next write of a kind of ``record`` to a domain's log.

        See fault ``hold`` of `standins.platform`.
        """
        hold = {"domain": domain, "record": record, "effect": effect}
        self.platform_faults(hold=hold)

    def write_held(self):
        """Return whether a write is held since `hold_write`."""
        return self.http.get(f"{self.platform_url}/control/held").json() > 0

    def endpoint_faults(self, name, **faults):
        """Set faults of an endpoint; see `standins.endpoint`."""
        address = self.endpoints[name]
        self.http.post(f"http://{address}/control/faults", json=faults)

    def proxy(self, routes, **faults):
        """Set faults of all proxy routes that match a pattern; return their names."""
        body = {"routes": routes, **faults}
        return self.http.post(f"{self.proxy_url}/control/faults", json=body).json()

    def clear_faults(self):
        """Clear all faults of the proxy and the platform."""
        self.proxy("*", **proxy.NO_FAULTS)
        self.platform_faults(**platform.NO_FAULTS)

    def cut_from_platform(self, name, cut="both"):
        """Cut the daemons that match pattern ``name`` off from the platform."""
        self.proxy(f"platform:{name}", cut=cut)

    def cut_from_domains(self, domain, cut="both"):
        """Cut a domain off from all other domains."""
        for other in self.domains:
            if other != domain:
                self.proxy(f"peer:{other}>{domain}-*", cut=cut)
                self.proxy(f"peer:{domain}>{other}-*", cut=cut)

    def expire_leader_lease(self, domain):
        """Expire a domain's leader lease while its scheduler still relies on it."""
        name = f"shard/{domain}/leader"
        key, end = (
            base64.b64encode(text.encode()).decode() for text in (name, name + "\0")
        )
        delete = {"request_delete_range": {"key": key, "range_end": end}}
        body = {"compare": [], "success": [delete], "failure": []}
        # The platform may lose the response if that fault is set, so it is ignored.
        self.http.post(f"{self.platform_url}/v3/kv/txn", json=body)

    def restart_endpoints(self, domain):
        """Kill and restart the endpoints of a domain, which lose their state."""
        process = next(p for p in self.processes if p.name == f"endpoints-{domain}")
        process.kill()
        process.start()
        for name, address in self.endpoints.items():
            if name.startswith(f"{domain}-"):
                url = f"http://{address}/control/runs"
                wait_for(f"endpoint {name}", lambda url=url: self.http.get(url))

    def restart(self, daemon):
        """Restart a daemon that has ended, and wait until it is ready."""
        daemon.process.start()
        self.wait_ready(daemon)

    def status(self, daemon):
        """Return the status reported by a daemon."""
        return self.http.get(f"{daemon.url}/v1/status").json()

    def leader(self, domain):
        """Return the daemon that reports being the scheduler of ``domain``."""
        for daemon in self.daemons:
            running = daemon.process.child.poll() is None
            if daemon.domain == domain and running and self.status(daemon)["scheduler"]:
                return daemon
        return None

    def executed_requests(self):
        """Return the ids of all requests that were executed at any endpoint."""
        found = []
        for address in self.endpoints.values():
            found += self.http.get(f"http://{address}/control/requests").json()
        return found

    def runs(self):
        """Return all runs at all endpoints, with the names of the endpoints."""
        found = []
        for name, address in self.endpoints.items():
            answer = self.http.get(f"http://{address}/control/runs").json()
            found += [{**run, "endpoint": name} for run in answer["runs"]]
        return found

    def violations(self):
        """Return all over-commits, and pairs of overlapping runs of one batch task."""
        found = []
        for name, address in self.endpoints.items():
            answer = self.http.get(f"http://{address}/control/runs").json()
            found += [{**item, "endpoint": name} for item in answer["violations"]]
        return found + overlaps(self.runs())


def overlaps(runs):
    """Return pairs of runs of one batch task that overlap in time."""
    found = []
    last = {}
    for run in sorted(runs, key=lambda run: run["started"]):
        if run["service"]:
            continue
        key = (run["origin"], run["index"])
        previous = last.get(key)
        if previous and (
            previous["ended"] is None or previous["ended"] > run["started"]
        ):
            found.append({"kind": "double-run", "runs": [previous, run]})
        last[key] = run
    return found
