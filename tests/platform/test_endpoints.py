"""Registry entries of endpoints, and their reports over HTTP."""

import pytest

from clementinebay import errors
from clementinebay.platform.endpoints import decode_endpoint

ENTRY = (
    b'{"service":"s","addr":"127.0.0.1:1","zone":"a","state":"ready",'
    b'"capacity":{"cpu":1000}}'
)


@pytest.mark.parametrize("id", ["", "e\u20ac", "e\r\nx: y"])
def test_entry_whose_id_cannot_be_sent_in_a_header_is_invalid(id):
    assert decode_endpoint("e1", "servers/e1", ENTRY).id == "e1"
    with pytest.raises(errors.EntryInvalidError):
        decode_endpoint(id, "servers/" + id, ENTRY)
