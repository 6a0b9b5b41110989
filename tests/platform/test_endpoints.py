"""Registry entries of endpoints, and their reports over HTTP."""

import asyncio
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.platform.endpoints import PlatformDriver, decode_endpoint
from clementinebay.web.client import Answer
from clementinebay.workflow.fleet import EndpointState
from tests.platform.entrybed import EntryBed, deep_json
from tests.test_decoding import JSON
from tests.workflow import beddaemon, factory, virtualtime


class FakeClient:
    """A client that answers every call with ``status`` and ``body``."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    async def call(self, address, method, path, timeout, body=None, headers=()):
        """Return the answer."""
        return Answer(self.status, {}, self.body)


def ask(body, status=200):
    """Ask an endpoint that answers with ``body`` for a report."""
    driver = PlatformDriver(FakeClient(body, status))
    endpoint = EndpointState(factory.make_info(), None)
    return driver.report(endpoint, None, 0, 0.0, 1)


@pytest.mark.parametrize(
    "rows",
    [
        b'"running":[["t",1,""]]',
        b'"running":[[]]',
        b'"ended":[[1,"t",1,"done"]]',
        b'"ended":{}',
    ],
)
async def test_malformed_report_counts_as_unanswered(rows):
    """Any other error would end the scheduler's term."""
    with pytest.raises(errors.CallUnansweredError):
        await ask(b'{"clock_ms":1,' + rows + b"}")


async def start(body):
    """Send a start order to an endpoint that answers with ``body``."""
    engine = factory.make_engine()
    factory.connect_endpoint(engine, factory.make_info())
    engine.add_job(factory.make_spec(), factory.QUEUE, 0.0)
    driver = PlatformDriver(FakeClient(body))
    return await driver.start(engine.plan(0.0)[0], 1000, 1)


@pytest.mark.parametrize(
    ("body", "clock_ms"),
    [
        (b'{"clock_ms":482113,"x":1}', 482113),
        (b"{}", None),
        (b"", None),
        (b"[]", None),
        (b'{"clock_ms":-1}', None),
        (b'{"clock_ms":"1"}', None),
    ],
)
async def test_answer_to_a_start_has_the_clock_of_its_incarnation(body, clock_ms):
    assert await start(body) == clock_ms


RUN = '["t",1,"",50,0]'
END = '[1,"t",1,"done",""]'
ODD_REPORTS = {
    "clock is missing": "{}",
    "clock is huge": '{"clock_ms":1e308}',
    "clock has 301 digits": f'{{"clock_ms":{10**300}}}',
    "clock is negative": '{"clock_ms":-1}',
    "clock is no number": '{"clock_ms":NaN}',
    "clock is null": '{"clock_ms":null}',
    "deeply nested": f'{{"clock_ms":1,"x":{deep_json().decode()}}}',
    "runs deeply nested": f'{{"clock_ms":1,"running":{deep_json().decode()}}}',
    "no UTF-8": '{"clock_ms":1,"running":[["\udcff",1,"",50,0]]}',
    "100,000 runs": f'{{"clock_ms":1,"running":[{",".join([RUN] * 100_000)}]}}',
    "100,000 ends": f'{{"clock_ms":1,"ended":[{",".join([END] * 100_000)}]}}',
    "born with 301 digits": f'{{"clock_ms":1,"born":{10**300}}}',
    "born in the far future": f'{{"clock_ms":1,"born":{2**52}}}',
    "born before 1970": '{"clock_ms":1,"born":-1}',
}
ODD_RUNS = {
    "run number has 301 digits": ["t", 10**300, "", 50, 0],
    "run number is negative": ["t", -1, "", 50, 0],
    "run number is a fraction": ["t", 1.5, "", 50, 0],
    "run number is a text": ["t", "1", "", 50, 0],
    "task is a number": [1, 1, "", 50, 0],
    "task is null": [None, 1, "", 50, 0],
    "task is long": ["t" * 1000, 1, "", 50, 0],
    "checkpoint is null": ["t", 1, None, 50, 0],
    "checkpoint is long": ["t", 1, "x" * 100_000, 50, 0],
    "percent is a text": ["t", 1, "", "50", 0],
    "percent is huge": ["t", 1, "", 1e308, 0],
    "measurement is a list": ["t", 1, "", 50, []],
    "row is null": None,
    "row is an object": {"task": "t"},
}
ODD_ENDS = {
    "number is huge": [10**300, "t", 1, "done", ""],
    "number is negative": [-1, "t", 1, "done", ""],
    "number is null": [None, "t", 1, "done", ""],
    "run number is huge": [1, "t", 10**300, "done", ""],
    "outcome is unknown": [1, "t", 1, "gone", ""],
    "outcome is a list": [1, "t", 1, ["done"], ""],
    "checkpoint is a list": [1, "t", 1, "done", []],
    "task is an object": [1, {}, 1, "done", ""],
}


@pytest.mark.parametrize(
    "text",
    [
        *ODD_REPORTS.values(),
        *(json.dumps({"clock_ms": 1, "running": [row]}) for row in ODD_RUNS.values()),
        *(json.dumps({"clock_ms": 1, "ended": [row]}) for row in ODD_ENDS.values()),
    ],
    ids=[*ODD_REPORTS, *ODD_RUNS, *ODD_ENDS],
)
async def test_odd_report_counts_as_unanswered(text):
    with pytest.raises(errors.CallUnansweredError) as caught:
        await ask(text.encode("utf-8", "surrogateescape"))
    assert len(str(caught.value)) < 1000


@pytest.mark.parametrize("measurement", ["null", "-1", "1e308", "1" + "0" * 300])
async def test_odd_measurement_of_a_run_counts_as_none(measurement):
    """It is a rough figure, so the rest of the report must not be lost with it."""
    report = await ask(
        b'{"clock_ms":1,"running":[["i.0.1.17",2,"",41,%b]]}' % measurement.encode()
    )
    [row] = report.running
    assert (row.task, row.measurement) == ("i.0.1.17", 0)


async def test_report_is_decoded():
    report = await ask(
        b'{"clock_ms":482113.5,"born":7,"more":[],'
        b'"running":[["i.0.1.17",2,"0000",41],["i.0.1.18",3,"",99.5,2500,"more"]],'
        b'"ended":[[58,"i.0.1.9",1,"done",""],[59,"i.0.1.8",1,"alone","00",0]]}'
    )
    assert (report.born_ms, report.clock_ms) == (7, 482113.5)
    assert [
        (run.task, run.run, run.checkpoint, run.percent, run.measurement)
        for run in report.running
    ] == [("i.0.1.17", 2, "0000", 41, 0), ("i.0.1.18", 3, "", 99.5, 2500)]
    assert [
        (end.number, end.task, end.run, end.outcome, end.checkpoint)
        for end in report.ended
    ] == [(58, "i.0.1.9", 1, "done", ""), (59, "i.0.1.8", 1, "alone", "00")]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"reason":["fence"]}',
        b'{"reason":{}}',
        b'{"reason":null}',
        b'{"x":' + deep_json() + b"}",
        b"\xff",
    ],
    ids=["empty", "list", "none", "in a list", "object", "null", "deep", "no UTF-8"],
)
async def test_refusal_without_a_reason_is_invalid(body):
    with pytest.raises(errors.OrderRefusedError) as caught:
        await ask(body, 409)
    assert caught.value.reason == errors.OrderRefusedError.INVALID


async def test_refusal_is_decoded():
    with pytest.raises(errors.OrderRefusedError) as caught:
        await ask(b'{"clock_ms":482113,"reason":"fence"}', 409)
    assert caught.value.reason == errors.OrderRefusedError.FENCED


@given(st.binary() | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_answer_is_a_report_or_counts_as_unanswered(body):
    with contextlib.suppress(errors.CallUnansweredError):
        asyncio.run(ask(body))
    with contextlib.suppress(errors.OrderRefusedError):
        asyncio.run(ask(body, 409))


class OddReportDriver(beddaemon.Driver):
    """Lets the endpoints in ``odd_bodies`` answer with a body of their own."""

    def __init__(self, bed, odd_bodies):
        super().__init__(bed)
        self.odd_bodies = odd_bodies

    async def report(self, endpoint, deadline_ms, acknowledged, wait, fence):
        """See `EndpointDriver`."""
        answer = super().report(endpoint, deadline_ms, acknowledged, wait, fence)
        report = await answer
        body = self.odd_bodies.get(endpoint.id)
        return report if body is None else await ask(body)


@pytest.mark.parametrize("text", ODD_REPORTS.values(), ids=ODD_REPORTS)
def test_term_goes_on_beside_an_endpoint_with_odd_reports(text):
    """No task is started there until it reports in the usual form."""

    async def main():
        async with EntryBed(endpoints=3) as bed:
            bodies = {"e0": text.encode("utf-8", "surrogateescape")}
            bed.deployment.boundary.driver = OddReportDriver(bed, bodies)
            await bed.run(2.0)
            tasks = {bed.submit(domain) for domain in "abab"}
            await bed.run(6.0)
            assert tasks <= bed.done
            assert bed.scheduler.writer.number == 0
            assert not bed.by_id["e0"].runs
            assert bed.scheduler.engine.endpoints["e0"].unreachable_since is not None
            bodies.clear()
            await bed.run(2.0)
            assert bed.scheduler.engine.endpoints["e0"].unreachable_since is None

    virtualtime.run(main())


ENTRY = (
    b'{"service":"s","addr":"127.0.0.1:1","zone":"a","version":"v1","slots":8,'
    b'"state":"ready","cold_left_ms":0,"capacity":{"cpu":1000},"labels":["a","r"],'
    b'"seq":4}'
)


@pytest.mark.parametrize("id", ["", "e\u20ac", "e\r\nx: y"])
def test_entry_whose_id_cannot_be_sent_in_a_header_is_invalid(id):
    assert decode_endpoint("e1", "servers/e1", ENTRY).id == "e1"
    with pytest.raises(errors.EntryInvalidError):
        decode_endpoint(id, "servers/" + id, ENTRY)


@pytest.mark.parametrize(
    ("number", "expected"), [(b"750.0", 750), (b"7.5e2", 750), (b"749.9", 749)]
)
@pytest.mark.parametrize(
    ("field", "attribute"),
    [
        (b"cpu", "processors_milli"),
        (b"mem_mb", "memory_mb"),
        (b"gpu", "accelerators"),
    ],
)
def test_capacity_that_is_no_whole_number_is_rounded_down(
    field, attribute, number, expected
):
    entry = ENTRY.replace(b'"cpu":1000', b'"%b":%b' % (field, number))
    value = getattr(decode_endpoint("e1", "servers/e1", entry), attribute)
    assert (type(value), value) == (int, expected)


@pytest.mark.parametrize(
    "capacity",
    [b'{"cpu":"1000"}', b'{"cpu":null}', b'{"cpu":true}', b"[1000]", b"1000", b"null"],
)
def test_entry_whose_capacity_has_another_type_is_invalid(capacity):
    entry = ENTRY.replace(b'{"cpu":1000}', capacity)
    with pytest.raises(errors.EntryInvalidError):
        decode_endpoint("e1", "servers/e1", entry)


@pytest.mark.parametrize(("ends", "expected"), [(0, True), (499, True), (500, False)])
async def test_report_with_as_many_ends_as_it_has_room_for_may_lack_others(
    ends, expected
):
    """The protocol lists 500 ends at a time; others of them may be done runs."""
    rows = [[number, "t.0.0.0", number, "done", ""] for number in range(1, ends + 1)]
    report = await ask(json.dumps({"clock_ms": 1, "ended": rows}).encode())
    assert report.has_all_ends is expected
