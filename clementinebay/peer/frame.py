"""Frames of the peer link: four bytes of length, one of version, one envelope."""

import struct

from clementinebay import errors, thriftcodec
from clementinebay.peer.wire import ttypes as wire

#: Version of the protocol between daemons.
VERSION = 1
HEADER = struct.Struct(">IB")


def encode(envelope, limit):
    """Return the frame of ``envelope``; raise `FrameTooLargeError` over ``limit``."""
    data = thriftcodec.encode(envelope)
    if len(data) > limit:
        raise errors.FrameTooLargeError(f"{len(data)} bytes, at most {limit}")
    return HEADER.pack(len(data), VERSION) + data


def decode(data):
    """Return the `wire.Envelope` in ``data``; raise `FrameMalformedError`."""
    envelope = thriftcodec.decode(wire.Envelope, data)
    if envelope.id is None or envelope.kind not in wire.Kind._VALUES_TO_NAMES:
        raise errors.FrameMalformedError("an envelope needs an id and a known kind")
    return envelope


def check_header(header, limit):
    """Return the length in ``header``; raise a `FrameError` if it is not allowed."""
    length, version = HEADER.unpack(header)
    if version != VERSION:
        raise errors.FrameVersionError(f"version {version}, not {VERSION}")
    if length > limit:
        raise errors.FrameTooLargeError(f"{length} bytes, at most {limit}")
    return length


class Splitter:
    """Splits the bytes of one connection into envelopes of at most ``limit`` bytes."""

    __slots__ = ("limit", "buffer")

    def __init__(self, limit):
        self.limit = limit
        self.buffer = bytearray()

    def feed(self, data):
        """Yield each envelope that ``data`` completes.

        Raises `FrameError` of the fitting type; the connection must then be closed.
        """
        buffer = self.buffer
        buffer += data
        start = 0
        try:
            while len(buffer) - start >= HEADER.size:
                body = start + HEADER.size
                end = body + check_header(buffer[start:body], self.limit)
                if len(buffer) < end:
                    return
                start = end
                yield decode(bytes(buffer[body:end]))
        finally:
            del buffer[:start]

    def end(self):
        """Raise `FrameTruncatedError` if the stream ended inside a frame."""
        if self.buffer:
            raise errors.FrameTruncatedError("the stream ended inside a frame")
