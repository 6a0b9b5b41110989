"""Frames of the peer link: four bytes of length, one of version, one envelope."""

import asyncio
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


async def read(reader, limit):
    """Return the next envelope and its size, or ``None`` at the end of the stream.

    Raises `FrameError` of the fitting type; the connection must then be closed.
    """
    try:
        length = check_header(await reader.readexactly(HEADER.size), limit)
        data = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        if not error.partial and error.expected == HEADER.size:
            return None
        raise errors.FrameTruncatedError("the stream ended inside a frame") from error
    return decode(data), HEADER.size + length
