"""Encodes and decodes frames of the peer protocol.

A frame is the 4-byte length of the envelope, a version byte and one envelope.
"""

import struct

from clementinebay import errors, thriftcodec
from clementinebay.peer.wire import ttypes as wire

#: Version of the peer protocol.
VERSION = 1
HEADER = struct.Struct(">IB")


def encode(envelope, limit):
    """Return the frame of ``envelope``.

    Raises `FrameTooLargeError` if the envelope has more than ``limit`` bytes.
    """
    data = thriftcodec.encode(envelope)
    if len(data) > limit:
        raise errors.FrameTooLargeError(
            f"frame body has {len(data)} bytes; the limit is {limit}"
        )
    return HEADER.pack(len(data), VERSION) + data


def decode(data):
    """Return the `wire.Envelope` that ``data`` encodes.

    Raises `FrameMalformedError` if it cannot be decoded.
    """
    envelope = thriftcodec.decode(wire.Envelope, data)
    if envelope.id is None or envelope.kind not in wire.Kind._VALUES_TO_NAMES:
        raise errors.FrameMalformedError("envelope has no id or an unknown kind")
    return envelope


def check_header(header, limit):
    """Return the length of the frame's body, read from ``header``.

    Raises `FrameVersionError` or `FrameTooLargeError`.
    """
    length, version = HEADER.unpack(header)
    if version != VERSION:
        raise errors.FrameVersionError(
            f"frame has version {version}, expected {VERSION}"
        )
    if length > limit:
        raise errors.FrameTooLargeError(
            f"frame body has {length} bytes; the limit is {limit}"
        )
    return length


class Splitter:
    """Splits the byte stream of one connection into envelopes.

    An envelope may have up to ``limit`` bytes.
    """

    __slots__ = ("limit", "buffer")

    def __init__(self, limit):
        self.limit = limit
        self.buffer = bytearray()

    def feed(self, data):
        """Yield each envelope that ``data`` completes.

        Raises a subclass of `FrameError`; the connection must then be closed.
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
            raise errors.FrameTruncatedError("stream ended inside a frame")
