import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

LIMIT = 10_000


async def read(data):
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return await frame.read(reader, LIMIT)


async def test_frame_comes_back():
    envelope = wire.Envelope(7, wire.Kind.GOSSIP, 1.5, "trace", b"payload")
    data = frame.encode(envelope, LIMIT)
    assert await read(data) == (envelope, len(data))


async def test_end_between_frames_is_no_error():
    assert await read(b"") is None


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"\x00\x00", errors.FrameTruncatedError),
        (b"\x00\x00\x00\x05\x01abc", errors.FrameTruncatedError),
        (b"\x00\x00\x00\x05\x09abcde", errors.FrameVersionError),
        (b"\x7f\x00\x00\x05\x01abcde", errors.FrameTooLargeError),
        (b"\x00\x00\x00\x03\x01abc", errors.FrameMalformedError),
    ],
)
async def test_broken_frame_has_a_typed_error(data, error):
    with pytest.raises(error):
        await read(data)


def test_too_large_frame_is_not_sent():
    with pytest.raises(errors.FrameTooLargeError):
        frame.encode(wire.Envelope(1, 0, 0.0, "", b"x" * LIMIT), LIMIT)


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_a_frame_error(data):
    try:
        frame.decode(data)
    except errors.FrameError:
        pass
