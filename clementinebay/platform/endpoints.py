"""The platform's protocol for endpoints: registry entries and orders.

The platform calls an endpoint a worker or server, and its replica and batch tasks
"runs".
"""

import re
from typing import Annotated, Literal

import msgspec

from clementinebay import decoding, errors
from clementinebay.clock import SystemClock
from clementinebay.workflow.boundary import EndpointDriver
from clementinebay.workflow.model import Endpoint
from clementinebay.workflow.orders import Report, RunEnd, RunReport

#: Largest registry entry, in bytes; endpoints write a few hundred.
MAX_ENTRY_BYTES = 65_536
#: Greatest amount of a resource: a million processors in thousandths, or 1 PB in MB.
MAX_CAPACITY = 1_000_000_000
#: Longest time for which an endpoint is still slow after its start, in milliseconds:
#: one day.
MAX_COLD_MS = 86_400_000
#: Greatest lead of an endpoint's start over this machine's clock, in milliseconds: one
#: day, as the clocks of machines may differ.  The later of two starts at an address
#: ends the earlier one, so a start that cannot be true must not be taken in.
MAX_BORN_LEAD_MS = 86_400_000
#: Greatest number of labels of an endpoint, which has two.
MAX_LABELS = 64
#: Greatest number of running or of ended tasks in a report.
MAX_ROWS = 20_000
#: Number of ends that an endpoint lists at a time.  It lists further ones once these
#: are acknowledged.
ENDS_PER_REPORT = 500
#: Longest checkpoint of a task, in characters; endpoints write 16.
MAX_CHECKPOINT_LENGTH = 65_536
#: "host:port"; a host has up to 253 characters.  It is sent in a header.
ADDRESS = re.compile(r"[!-~]{1,253}:([0-9]{1,5})")
MAX_PORT = 65_535
#: Timeout of an order, in seconds.
ORDER_TIMEOUT_SECONDS = 0.8

OK = 200
CONFLICT = 409
OTHER_INCARNATION = 421
UNHEALTHY = (429, 503)

#: Maps the reasons of a refusal on the wire to reasons of `OrderRefusedError`.
REFUSAL_REASONS = {
    "fence": errors.OrderRefusedError.FENCED,
    "old": errors.OrderRefusedError.SUPERSEDED,
    "late": errors.OrderRefusedError.EXPIRED,
    "room": errors.OrderRefusedError.FULL,
}

#: States in which an endpoint names itself; any other is that of another writer.
STATES = ("ready", "draining")

_encode = msgspec.json.Encoder().encode
_wall_clock = SystemClock()


Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_CAPACITY)]
ClockReading = Annotated[float, msgspec.Meta(ge=0, le=decoding.MAX_WHOLE_NUMBER)]
Checkpoint = Annotated[str, msgspec.Meta(max_length=MAX_CHECKPOINT_LENGTH)]


class Capacity(msgspec.Struct):
    """The capacity of an endpoint; ``cpu`` is in thousandths of a processor.

    The protocol does not restrict the values to whole numbers.
    """

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class RegistryEntry(msgspec.Struct):
    """An endpoint's entry in the store.

    ``labels`` has the endpoint's kind and its rack.  ``born`` is its start time in
    milliseconds since the Unix epoch.  ``cold_left_ms`` is the time for which it will
    still be slow after its start.  ``version``, ``slots`` and ``seq`` are not used, but
    an entry without them is not an endpoint's own.
    """

    service: str
    addr: str
    zone: str
    state: str
    version: str
    slots: float
    seq: float
    capacity: Capacity
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]
    labels: Annotated[list[decoding.Name], msgspec.Meta(max_length=MAX_LABELS)]
    born: decoding.WholeNumber = 0


class RunRow(msgspec.Struct, array_like=True):
    """A run in progress; ``measurement``, a rough figure, may be missing."""

    task: decoding.Name
    run: decoding.WholeNumber
    saved: Checkpoint
    percent: Amount
    measurement: float | None = 0


class EndRow(msgspec.Struct, array_like=True):
    """The end of a run; ``how`` is its outcome."""

    number: decoding.WholeNumber
    task: decoding.Name
    run: decoding.WholeNumber
    how: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    saved: Checkpoint


class HoldResponse(msgspec.Struct):
    """The response to a request for a report."""

    clock_ms: ClockReading
    running: Annotated[list[RunRow], msgspec.Meta(max_length=MAX_ROWS)] = []
    ended: Annotated[list[EndRow], msgspec.Meta(max_length=MAX_ROWS)] = []
    born: decoding.WholeNumber | None = None


class StartResponse(msgspec.Struct):
    """The response to an executed start order."""

    clock_ms: ClockReading | None = None


class Refusal(msgspec.Struct):
    """The response to a refused order."""

    reason: str = ""


_entry_decoder = decoding.Decoder(RegistryEntry, MAX_ENTRY_BYTES)
_report_decoder = decoding.Decoder(HoldResponse)
_start_decoder = decoding.Decoder(StartResponse)
_refusal_decoder = decoding.Decoder(Refusal)


def decode_endpoint(endpoint_id, key, value):
    """Return the `Endpoint` of a registry entry; raise `EntryInvalidError`."""
    try:
        entry = _entry_decoder.decode(value)
    except errors.UnreadableError as error:
        raise errors.EntryInvalidError(key, error.reason) from error
    problem = find_problem(endpoint_id, entry)
    if problem:
        raise errors.EntryInvalidError(key, problem)
    return Endpoint(
        endpoint_id,
        born_ms=entry.born,
        service=entry.service,
        address=entry.addr,
        failure_domain=entry.zone,
        leaving=entry.state == "draining",
        cold_ms=entry.cold_left_ms,
        processors_milli=int(entry.capacity.cpu),
        memory_mb=int(entry.capacity.mem_mb),
        accelerators=int(entry.capacity.gpu),
        labels=tuple(entry.labels),
        rack=entry.labels[1] if len(entry.labels) > 1 else "",
    )


def find_problem(endpoint_id, entry):
    """Return what is wrong with the values of a `RegistryEntry`, or ``None``."""
    if entry.state not in STATES:
        return f"state {entry.state[:40]!r}"
    if not (endpoint_id and endpoint_id.isascii() and endpoint_id.isprintable()):
        return "no valid id"
    if not is_address(entry.addr):
        return "no valid address"
    if not (decoding.is_name(entry.service) and decoding.is_name(entry.zone)):
        return "no valid service or domain"
    if not all(label.isprintable() for label in entry.labels):
        return "no valid labels"
    if not is_possible_start(entry.born):
        return "started in the future"
    return None


def is_address(text):
    """Return whether ``text`` is "host:port" and can be sent in a header."""
    match = ADDRESS.fullmatch(text)
    return match is not None and 0 < int(match[1]) <= MAX_PORT


def is_possible_start(born_ms):
    """Return whether an endpoint may have started at ``born_ms``."""
    return born_ms <= _wall_clock.now() * 1000 + MAX_BORN_LEAD_MS


class PlatformDriver(EndpointDriver):
    """Sends orders to endpoints over HTTP."""

    def __init__(self, client):
        self.client = client

    async def send_order(self, endpoint, path, body, seconds=ORDER_TIMEOUT_SECONDS):
        """Send an order and return the body of the response.

        Raises `OrderRefusedError`, or the error of a failed call.
        """
        headers = (("Target-Instance", endpoint.id),)
        answer = await self.client.call(
            endpoint.info.address, "POST", path, seconds, _encode(body), headers
        )
        if answer.status == OK:
            return answer.body
        raise errors.OrderRefusedError(endpoint.id, refusal_reason(answer))

    async def start(self, order, deadline_ms, fence):
        """Send a `StartOrder`; return the endpoint's clock, or ``None`` if unknown."""
        body = {
            "task": order.task.name,
            "run": order.run,
            "spec": order.task.job.spec.payload,
            "deadline_ms": deadline_ms,
            "fence": fence,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
        data = await self.send_order(order.endpoint, "/run-start", body)
        try:
            return _start_decoder.decode(data).clock_ms
        except errors.UnreadableError:
            # The run has started, whatever the body is.
            return None

    async def stop(self, order, fence):
        """Send a `StopOrder`."""
        body = {"task": order.task, "run": order.run, "fence": fence}
        await self.send_order(order.endpoint, "/run-stop", body)

    async def pace(self, order, fence):
        """Send a `PaceOrder`."""
        body = {
            "task": order.task.name,
            "run": order.run,
            "percent": order.percent,
            "fence": fence,
        }
        await self.send_order(order.endpoint, "/pace", body)

    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """Extend the lease and return a `Report`."""
        body = {"fence": fence, "seen_upto": acknowledged}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait:
            body["wait_ms"] = round(wait * 1000)
        data = await self.send_order(
            endpoint, "/hold", body, wait + ORDER_TIMEOUT_SECONDS
        )
        try:
            return decode_report(data)
        except errors.UnreadableError as error:
            address = endpoint.info.address
            raise errors.AnswerInvalidError(address, "/hold", error) from error


def decode_report(data):
    """Return the `Report` in an endpoint's answer; raise `UnreadableError`."""
    answer = _report_decoder.decode(data)
    if answer.born is not None and not is_possible_start(answer.born):
        raise errors.UnreadableError("started in the future")
    return Report(
        answer.born,
        answer.clock_ms,
        [run_report(row) for row in answer.running],
        [RunEnd(*msgspec.structs.astuple(row)) for row in answer.ended],
        has_all_ends=len(answer.ended) < ENDS_PER_REPORT,
    )


def run_report(row):
    """Return the `RunReport` of a `RunRow`; an odd measurement counts as none."""
    measurement = row.measurement
    if measurement is None or not 0 <= measurement <= MAX_CAPACITY:
        measurement = 0
    return RunReport(row.task, row.run, row.saved, row.percent, measurement)


def refusal_reason(answer):
    """Return the reason of `OrderRefusedError` for the response to an order."""
    if answer.status == OTHER_INCARNATION:
        return errors.OrderRefusedError.OTHER_INCARNATION
    if answer.status in UNHEALTHY:
        return errors.OrderRefusedError.UNHEALTHY
    if answer.status == CONFLICT:
        try:
            wire_reason = _refusal_decoder.decode(answer.body).reason
        except errors.UnreadableError:
            wire_reason = ""
        return REFUSAL_REASONS.get(wire_reason, errors.OrderRefusedError.INVALID)
    return errors.OrderRefusedError.INVALID
