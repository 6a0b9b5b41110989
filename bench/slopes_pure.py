"""Slopes of computations without sockets or kernel: snapshots, batches and spans."""

import json
import random

from bench import slopes_fakes as fakes
from bench.slopes_parts import Part
from clementinebay.shard import codec, snapshot
from clementinebay.shard.wire import ttypes as wire
from clementinebay.tracing import Tracer

#: Job of one domain.
JOB = "route-plans-1a2b3c4d@almaty-1"
#: Endpoints of a domain at the target size.
ENDPOINTS = 146


class Timed(Part):
    """Computations repeated in the child, which prints the processor time per call."""

    def prepare(self, size):
        """Return {name: timed function} and {name: value} of further columns."""
        raise NotImplementedError

    def run_child(self, size, seconds, arguments):
        """Time each function for ``seconds`` and print a row."""
        functions, values = self.prepare(size)
        row = {"size": size}
        for name, function in functions.items():
            row[f"{name} ms"] = self.cpu_ms(function, seconds)
        print(json.dumps({**row, **values, "rss MB": fakes.resident_mb()}))

    @staticmethod
    def cpu_ms(function, seconds):
        """Return the processor time of one call in milliseconds."""
        function()
        start = fakes.processor_seconds()
        count = 0
        while fakes.processor_seconds() < start + seconds:
            function()
            count += 1
        return (fakes.processor_seconds() - start) * 1000 / count


class Snapshot(Timed):
    """Snapshot of a domain with running tasks."""

    name = "snapshot"
    description = "146 endpoints; size is running tasks, a third of them of services"
    sizes = (385, 770, 1540, 3080)

    def prepare(self, size):
        """Write and read snapshots of the state."""
        services = size // 3
        state = full_state(services, size - services)
        data = snapshot.encode(snapshot.take(state))
        functions = {
            "write": lambda: snapshot.encode(snapshot.take(state)),
            "read": lambda: snapshot.restore(snapshot.decode(data)),
        }
        return functions, {"snapshot bytes": len(data)}


class Jobs(Timed):
    """Snapshot of a domain with ended jobs that are still retained."""

    name = "jobs"
    description = "146 endpoints, 1,540 running tasks; size is ended jobs that are kept"
    sizes = (500, 1000, 2000, 4000)

    def prepare(self, size):
        """Write snapshots of a state with jobs cancelled before they started."""
        state = full_state(513, 1027)
        rng = random.Random(2)
        for _number in range(size):
            name = f"route-plans-{rng.getrandbits(32):x}@almaty-1"
            spec = job_spec(name, rng.randrange(1, 100))
            spec.submitted_at = fakes.random_time(rng)
            spec.team = f"team-{rng.randrange(48)}"
            state.apply(wire.Record(submit=wire.Submit(spec)))
            state.apply(wire.Record(cancel=wire.Cancel(name, fakes.random_time(rng))))
        data = snapshot.encode(snapshot.take(state))
        functions = {"write": lambda: snapshot.encode(snapshot.take(state))}
        return functions, {"snapshot bytes": len(data)}


class Batch(Timed):
    """Log batches with the bind, start and finish of tasks."""

    name = "batch"
    description = "bind, started and finish of each task; size is tasks in one batch"
    sizes = (1, 4, 16, 64)

    def prepare(self, size):
        """Encode, decode and apply one batch of each kind of record."""
        batches = [codec.pack(batch) for batch in lifecycle_batches(size)]
        image = snapshot.take(full_state(0, 0))
        image.jobs = []

        def restore_and_apply():
            state = snapshot.restore(image)
            state.apply(wire.Record(submit=wire.Submit(job_spec(JOB, size))))
            for data in batches:
                batch = codec.unpack(wire.Batch, data)
                state.apply_batch(state.index + 1, batch)

        def restore_only():
            state = snapshot.restore(image)
            state.apply(wire.Record(submit=wire.Submit(job_spec(JOB, size))))

        functions = {
            "encode": lambda: [codec.pack(batch) for batch in lifecycle_batches(size)],
            "restore, decode and apply": restore_and_apply,
            "restore": restore_only,
        }
        return functions, {"batch bytes": sum(map(len, batches))}


class Spans(Timed):
    """Spans of one request, sampled and unsampled."""

    name = "spans"
    description = "nested spans with two attributes; size is spans of one request"
    sizes = (1, 2, 4, 8)

    def prepare(self, size):
        """Open and close nested spans."""
        sampled, unsampled = Tracer("d-0", 100.0, 20_000), Tracer("d-0", 0.0, 20_000)

        def nest(tracer, depth):
            with tracer.span("endpoint", endpoint="e", service="call-in"):
                if depth > 1:
                    nest(tracer, depth - 1)

        functions = {
            "sampled": lambda: nest(sampled, size),
            "unsampled": lambda: nest(unsampled, size),
        }
        return functions, {}


def full_state(services, batch):
    """Return the state of a domain with the target number of endpoints."""
    addresses = [f"10.20.1.{number}:7100" for number in range(ENDPOINTS)]
    return fakes.state_with(addresses, services, batch)


def job_spec(name, count):
    """Return a batch job."""
    size = wire.Resources(1000, 2000, 0)
    return wire.JobSpec(
        name, wire.Workload.BATCH, "team-7", 0, "plans", 0, count, size, 90.0
    )


def lifecycle_batches(count):
    """Return three batches that bind, start and finish all tasks of the job ``JOB``."""
    binds, starts, ends = [], [], []
    rng = random.Random(3)
    for index in range(count):
        endpoint = f"d-{rng.randrange(ENDPOINTS)}"
        bind = wire.Bind(JOB, index, 1, endpoint, 1764832000.123, 1764832000.456)
        binds.append(wire.Record(bind=bind))
        starts.append(wire.Record(started=wire.Started(JOB, index, 1)))
        end = wire.Finish(JOB, index, 1, wire.Outcome.DONE, "", 1764832090.5)
        ends.append(wire.Record(finish=end))
    nonce = "0123456789abcdef0123456789abcdef"
    return [
        wire.Batch("almaty-1-entry-0", nonce, 1764832000.789, records)
        for records in (binds, starts, ends)
    ]


COMPUTE_PARTS = (Snapshot(), Jobs(), Batch(), Spans())
