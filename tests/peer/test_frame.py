import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

LIMIT = 10_000


def read(data, step=None):
    """Return the envelopes in ``data``, fed to a splitter ``step`` bytes at a time."""
    splitter = frame.Splitter(LIMIT)
    step = step or max(1, len(data))
    found = []
    for start in range(0, len(data), step):
        found += splitter.feed(data[start : start + step])
    splitter.end()
    return found


@pytest.mark.parametrize("step", [None, 1, 7])
def test_frames_are_decoded_regardless_of_chunk_size(step):
    envelopes = [
        wire.Envelope(number, wire.Kind.GOSSIP, 1.5, "trace", b"payload")
        for number in range(3)
    ]
    data = b"".join(frame.encode(envelope, LIMIT) for envelope in envelopes)
    assert read(data, step) == envelopes


def test_end_of_stream_between_frames_is_no_error():
    assert read(b"") == []


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
def test_invalid_frame_raises_the_matching_error(data, error):
    with pytest.raises(error):
        read(data)


def test_frame_over_the_limit_is_not_encoded():
    with pytest.raises(errors.FrameTooLargeError):
        frame.encode(wire.Envelope(1, 0, 0.0, "", b"x" * LIMIT), LIMIT)


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_a_frame_error(data):
    try:
        frame.decode(data)
    except errors.FrameError:
        pass
