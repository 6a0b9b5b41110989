"""Registry entries of endpoints, and their reports over HTTP."""

import pytest

from clementinebay import errors
from clementinebay.platform.endpoints import PlatformDriver, decode_endpoint
from clementinebay.web.client import Answer
from clementinebay.workflow.fleet import EndpointState
from tests.workflow import factory


class FakeClient:
    """A client that answers every call with ``body``."""

    def __init__(self, body):
        self.body = body

    async def call(self, address, method, path, timeout, body=None, headers=()):
        """Return the answer."""
        return Answer(200, {}, self.body)


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
    driver = PlatformDriver(FakeClient(b'{"clock_ms":1,' + rows + b"}"))
    endpoint = EndpointState(factory.make_info(), None)
    with pytest.raises(errors.CallUnansweredError):
        await driver.report(endpoint, None, 0, 0.0, 1)


ENTRY = (
    b'{"service":"s","addr":"127.0.0.1:1","zone":"a","state":"ready",'
    b'"capacity":{"cpu":1000}}'
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
