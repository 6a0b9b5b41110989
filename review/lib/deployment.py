"""A small deployment on loopback for the scripts of the review.

The daemons are the project's own program, started with the command of the deploy file.
The store is the project's stand-in, the workers are `worker.py`, each a process.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from clementinebay.web.client import Client
from standins.kvplatform import PlatformStandIn

ROOT = Path(__file__).resolve().parents[2]
WORKER = Path(__file__).with_name("worker.py")
HOST = "h.example"
HEARTBEAT_SECONDS = 1.1
#: Bounds of the small site of Chile, in the platform's units.
BOUNDS = {
    "stable_ms": 3000,
    "grace_s": 6,
    "hold_max_ms": 6000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "lease_ms": 3000,
}
#: The exit codes of a case; a failure to start exits with 1. `run.sh` translates them.
HELD, BROKEN, NOT_RUN = 0, 10, 2


def free_port(host):
    """Return a free port below those that systems give to outgoing connections.

    A worker that is down for a while must find its port free again.
    """
    while True:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            return port


class Store(PlatformStandIn):
    """The store, with pages of the size that the users' pages name."""

    PAGE_SIZE = 500


class Gate:
    """A TCP proxy before one address, the network path to it.

    While it is dark it forwards nothing in either direction, and what was open stays
    open and silent for good, as with a machine that has lost its power.
    """

    def __init__(self, host, target):
        self.host = host
        self.port = free_port(host)
        self.target = target
        self.dark = False
        self.generation = 0
        self.writers = set()
        self.server = None

    @property
    def address(self):
        """The address to connect to."""
        return f"{self.host}:{self.port}"

    async def open(self):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def lose_power(self):
        """Silence all open connections for good, and new ones while dark."""
        self.dark = True
        self.generation += 1

    def restore(self):
        """Serve new connections again."""
        self.dark = False

    async def serve(self, reader, writer):
        """Forward one connection."""
        self.writers.add(writer)
        generation = self.generation
        if self.dark:
            return
        host, _colon, port = self.target.rpartition(":")
        try:
            out_reader, out_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(out_writer)
        await asyncio.gather(
            self.pump(reader, out_writer, generation),
            self.pump(out_reader, writer, generation),
        )

    async def pump(self, reader, writer, generation):
        """Copy one direction until its end, unless power was lost meanwhile."""
        try:
            while data := await reader.read(65536):
                if generation != self.generation:
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if generation == self.generation:
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    def close(self):
        """Close everything."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Worker:
    """A worker process and the network paths to and from it."""

    def __init__(self, deployment, name, zone, host, cpu, label):
        self.deployment = deployment
        self.name = name
        self.bind = f"{host}:{free_port(host)}"
        self.gate = Gate(host, self.bind)
        self.to_store = Gate(host, deployment.store.address)
        self.options = {
            "id": name,
            "zone": zone,
            "bind": self.bind,
            "address": self.gate.address,
            "store": self.to_store.address,
            "cpu": cpu,
            "label": label,
            "heartbeat_s": HEARTBEAT_SECONDS,
            "record": str(deployment.events),
        }
        self.process = None

    def use_gate(self, gate):
        """Use another network path to the worker."""
        self.gate = gate
        self.options["address"] = gate.address

    async def open(self):
        """Open the network paths and start the process."""
        await self.gate.open()
        await self.to_store.open()
        await self.start()
        await self.until_serving()

    async def start(self):
        """Start a life of the worker."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, str(WORKER), json.dumps(self.options)
        )

    def kill(self):
        """Kill the process."""
        self.process.kill()

    async def crash(self, seconds):
        """Lose power; start again after ``seconds`` under the same id."""
        self.gate.lose_power()
        self.kill()
        await self.process.wait()
        self.deployment.record("crash", worker=self.name)
        await asyncio.sleep(seconds)
        await self.start()
        await self.until_serving()
        self.gate.restore()
        self.deployment.record("restart", worker=self.name)

    async def restart_process(self, seconds, clock_ahead_s=0.0):
        """Kill the process; start it again after ``seconds`` under the same id.

        The machine lives on, so connections are reset.  ``clock_ahead_s`` is how far
        its time of day is ahead when the process starts.
        """
        self.kill()
        await self.process.wait()
        self.deployment.record("process-killed", worker=self.name)
        await asyncio.sleep(seconds)
        self.options["clock_ahead_s"] = clock_ahead_s
        await self.start()
        await self.until_serving()
        self.deployment.record("restart", worker=self.name, clock_ahead=clock_ahead_s)

    async def until_serving(self):
        """Wait until the process listens."""
        host, _colon, port = self.bind.rpartition(":")
        while True:
            try:
                _reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                if self.process.returncode is not None:
                    raise
                await asyncio.sleep(0.01)
                continue
            writer.close()
            return


class Deployment:
    """Store, workers, daemons and clients; an asynchronous context manager."""

    def __init__(self, folder, store_class=Store):
        self.folder = Path(folder)
        self.store_class = store_class
        self.stack = contextlib.AsyncExitStack()
        self.processes = []
        self.gates = []
        self.workers = []
        self.daemons = []
        self.started_at = time.time()
        self.lines = []

    async def __aenter__(self):
        await self.stack.__aenter__()
        temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.temporary = Path(self.stack.enter_context(temporary))
        self.events = self.temporary / "events.jsonl"
        self.events.touch()
        self.client = await self.stack.enter_async_context(Client())
        self.store = self.store_class(free_port("127.0.0.1"))
        await self.stack.enter_async_context(self.store)
        return self

    async def __aexit__(self, *exc):
        for process in self.processes + [w.process for w in self.workers]:
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for worker in self.workers:
            worker.gate.close()
            worker.to_store.close()
        self.write_record()
        return await self.stack.__aexit__(*exc)

    def record(self, event, **fields):
        """Add one line to the record."""
        self.lines.append({"t": round(time.time(), 4), "event": event} | fields)

    def worker_events(self):
        """Return what the workers have recorded."""
        text = self.events.read_text().splitlines()
        return [json.loads(line) for line in text if line.endswith("}")]

    def write_record(self):
        """Write ``record.txt`` in the case's folder."""
        lines = sorted(self.lines + self.worker_events(), key=lambda line: line["t"])
        with open(self.folder / "record.txt", "w") as file:
            for line in lines:
                at = f"{line['t'] - self.started_at:8.3f}"
                rest = {key: value for key, value in line.items() if key != "t"}
                file.write(f"{at} {json.dumps(rest)}\n")

    async def configure(self, **route):
        """Write the operators' configuration with one queue."""
        fields = {
            "name": "q",
            "host": HOST,
            "prefix": "/q/",
            "service": "s",
            "slo_ms": 1000,
            "priority": 0,
            "attempts": 2,
            "stretch": 1.5,
        }
        document = {
            "version": 3,
            "routes": [fields | route],
            "services": [{"name": "s", "enforces_capacity": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        await self.store.put("op/config", document)

    def new_worker(self, name, zone="z1", cpu=8000, label="plain"):
        """Return a worker that is still to be opened."""
        worker = Worker(self, name, zone, "127.0.0.1", cpu, label)
        self.workers.append(worker)
        return worker

    async def add_worker(self, name, zone="z1", cpu=8000, label="plain"):
        """Start a worker and return it."""
        worker = self.new_worker(name, zone, cpu, label)
        await worker.open()
        return worker

    def open_log(self, name):
        """Open the file to which a daemon's output goes."""
        return self.stack.enter_context(open(self.temporary / f"{name}.log", "wb"))

    async def add_daemon(self, name, zone="z1"):
        """Start a daemon and return the address for its clients."""
        host = f"127.0.0.{len(self.daemons) + 11}"
        front, ready = free_port(host), free_port(host)
        document = {
            "node": name,
            "role": "scheduler",
            "class": "front",
            "ip": host,
            "zone": zone,
            "zones": {"z1": "r", "z2": "r"},
            "listen": {"front": f"{host}:{front}", "ready": f"{host}:{ready}"},
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "bounds": BOUNDS,
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "orders": "rpc",
            "platform": {"addr": self.store.address, "form": "kv"},
        }
        path = self.temporary / f"{name}.yaml"
        path.write_text(json.dumps(document))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["scheduler"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CLEMENTINEBAY_NODE_FILE": str(path),
        }
        log = self.open_log(name)
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes.append(process)
        address = f"{host}:{front}"
        self.daemons.append((name, address, process))
        return address

    def logged(self, event):
        """Return the daemons' log lines of one event."""
        found = []
        for name, _address, _process in self.daemons:
            text = (self.temporary / f"{name}.log").read_text(errors="replace")
            for line in text.splitlines():
                if f'"{event}"' in line:
                    with contextlib.suppress(ValueError):
                        found.append(json.loads(line))
        return found

    async def call(self, address, method, path, body=None):
        """Send a client's request; return (status, decoded body), 0 if unanswered."""
        data = None if body is None else json.dumps(body).encode()
        headers = (("Host", HOST), ("Deadline-Ms", "3000"))
        try:
            answer = await self.client.call(address, method, path, 3.0, data, headers)
        except Exception as error:
            self.record("request", method=method, path=path, why=repr(error))
            return 0, None
        decoded = None
        with contextlib.suppress(ValueError):
            decoded = json.loads(answer.body)
        self.record(
            "request", method=method, path=path, status=answer.status, body=decoded
        )
        return answer.status, decoded

    async def submit(self, address, steps, seconds):
        """Submit a job until it is accepted; return its id."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps({"seconds": seconds}), "steps": steps}
        for _attempt in range(100):
            status, _body = await self.call(address, "POST", f"/q/{job_id}", body)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.2)
        raise TimeoutError("no job was accepted")

    async def state(self, address, job_id):
        """Return the state of a job."""
        _status, body = await self.call(address, "GET", f"/q/{job_id}")
        return (body or {}).get("state")


def trouble():
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case):
    """Run ``case``, a coroutine function, and exit with its result."""
    try:
        code = asyncio.run(asyncio.wait_for(case(), 115))
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
