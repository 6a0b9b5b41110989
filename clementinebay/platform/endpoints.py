"""Endpoints as the platform speaks of them: registry entries and orders.

The platform calls an endpoint a worker or server, and its replica and batch tasks
"runs".
"""

import msgspec

from clementinebay import errors
from clementinebay.workflow.boundary import EndpointDriver
from clementinebay.workflow.model import Endpoint
from clementinebay.workflow.orders import End, Report, RunReport

#: Longest wait for the answer to an order, in seconds.
ORDER_SECONDS = 0.8

OK = 200
CONFLICT = 409
OTHER_INCARNATION = 421
UNHEALTHY = (429, 503)

#: Reasons of a refusal on the wire, and what they mean.
REASONS = {
    "fence": errors.OrderRefusedError.FENCED,
    "old": errors.OrderRefusedError.SUPERSEDED,
    "late": errors.OrderRefusedError.EXPIRED,
    "room": errors.OrderRefusedError.FULL,
}

_encode = msgspec.json.Encoder().encode


class Room(msgspec.Struct):
    """What an endpoint has; ``cpu`` is in thousandths of a processor."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class RegistryEntry(msgspec.Struct):
    """An endpoint's entry as it is written in the store.

    ``labels`` are its kind and its rack; ``born`` is when it started, in milliseconds
    since 1970; ``cold_left_ms`` is how much longer it is slow.
    """

    service: str
    addr: str
    zone: str
    state: str
    capacity: Room
    cold_left_ms: float = 0
    labels: list[str] = []
    born: int = 0


class HoldAnswer(msgspec.Struct):
    """The answer to a request for a report."""

    clock_ms: float
    running: list[list] = []
    ended: list[list] = []
    born: int | None = None


_entry_decoder = msgspec.json.Decoder(RegistryEntry)
_hold_decoder = msgspec.json.Decoder(HoldAnswer)
_refusal_decoder = msgspec.json.Decoder(dict)


def decode_endpoint(endpoint_id, key, value):
    """Return the `Endpoint` of a registry entry; raise `EntryInvalidError`."""
    try:
        entry = _entry_decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise errors.EntryInvalidError(key, str(error)) from error
    if entry.state not in ("ready", "draining"):
        raise errors.EntryInvalidError(key, f"state {entry.state!r}")
    if not endpoint_id or ":" not in entry.addr:
        raise errors.EntryInvalidError(key, "no id or address")
    return Endpoint(
        endpoint_id,
        born_ms=entry.born,
        service=entry.service,
        address=entry.addr,
        failure_domain=entry.zone,
        leaving=entry.state == "draining",
        cold_ms=entry.cold_left_ms,
        processors_milli=entry.capacity.cpu,
        memory_mb=entry.capacity.mem_mb,
        accelerators=entry.capacity.gpu,
        labels=tuple(entry.labels),
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
    )


class PlatformDriver(EndpointDriver):
    """Sends orders over HTTP."""

    def __init__(self, client):
        self.client = client

    async def order(self, endpoint, path, body, seconds=ORDER_SECONDS):
        """Return the body of a successful answer; raise what went wrong."""
        headers = (("Target-Instance", endpoint.id),)
        answer = await self.client.call(
            endpoint.info.address, "POST", path, seconds, _encode(body), headers
        )
        if answer.status == OK:
            return answer.body
        raise errors.OrderRefusedError(endpoint.id, refusal(answer))

    async def start(self, order, deadline_ms, fence):
        """Carry out a `StartOrder`."""
        body = {
            "task": order.task.name,
            "run": order.run,
            "spec": order.task.job.spec.payload,
            "deadline_ms": deadline_ms,
            "fence": fence,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
        await self.order(order.endpoint, "/run-start", body)

    async def stop(self, order, fence):
        """Carry out a `StopOrder`."""
        body = {"task": order.task, "run": order.run, "fence": fence}
        await self.order(order.endpoint, "/run-stop", body)

    async def pace(self, order, fence):
        """Carry out a `PaceOrder`."""
        body = {
            "task": order.task.name,
            "run": order.run,
            "percent": order.percent,
            "fence": fence,
        }
        await self.order(order.endpoint, "/pace", body)

    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """Extend the lease and return a `Report`."""
        body = {"fence": fence, "seen_upto": acknowledged}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait:
            body["wait_ms"] = round(wait * 1000)
        data = await self.order(endpoint, "/hold", body, wait + ORDER_SECONDS)
        try:
            answer = _hold_decoder.decode(data)
            running = [run_report(row) for row in answer.running]
            ended = [End(*row[:5]) for row in answer.ended]
        except (msgspec.MsgspecError, TypeError, IndexError) as error:
            address = endpoint.info.address
            raise errors.CallUnansweredError(address, "/hold", error) from error
        return Report(answer.born, answer.clock_ms, running, ended)


def run_report(row):
    """Return the `RunReport` of a row of running tasks."""
    task, run, checkpoint, percent = row[:4]
    return RunReport(task, run, checkpoint, percent, row[4] if len(row) > 4 else 0)


def refusal(answer):
    """Return the reason for which an order was refused."""
    if answer.status == OTHER_INCARNATION:
        return errors.OrderRefusedError.OTHER_INCARNATION
    if answer.status in UNHEALTHY:
        return errors.OrderRefusedError.UNHEALTHY
    if answer.status == CONFLICT:
        try:
            word = _refusal_decoder.decode(answer.body).get("reason")
        except msgspec.MsgspecError:
            word = None
        return REASONS.get(word, errors.OrderRefusedError.INVALID)
    return errors.OrderRefusedError.INVALID
