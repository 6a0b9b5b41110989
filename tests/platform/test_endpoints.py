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
