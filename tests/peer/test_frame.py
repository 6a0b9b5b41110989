import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.peer import frame
from clementinebay.peer.wire import ttypes as wire

LIMIT = 10_000


def read(data, step=None):
    """Return the envelopes in ``data``, which comes in pieces of ``step`` bytes."""
    splitter = frame.Splitter(LIMIT)
    step = step or max(1, len(data))
    found = []
    for start in range(0, len(data), step):
        found += splitter.feed(data[start : start + step])
    splitter.end()
    return found


@pytest.mark.parametrize("step", [None, 1, 7])
def test_frames_come_back_however_they_are_cut(step):
    envelopes = [
        wire.Envelope(number, wire.Kind.GOSSIP, 1.5, "trace", b"payload")
        for number in range(3)
    ]
    data = b"".join(frame.encode(envelope, LIMIT) for envelope in envelopes)
    assert read(data, step) == envelopes


def test_end_between_frames_is_no_error():
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
def test_broken_frame_has_a_typed_error(data, error):
    with pytest.raises(error):
        read(data)


def test_too_large_frame_is_not_sent():
    with pytest.raises(errors.FrameTooLargeError):
        frame.encode(wire.Envelope(1, 0, 0.0, "", b"x" * LIMIT), LIMIT)


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_a_frame_error(data):
    try:
        frame.decode(data)
    except errors.FrameError:
        pass
