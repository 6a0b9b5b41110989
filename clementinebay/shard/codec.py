"""Structures as the platform keeps them: thrift, compressed."""

import zlib

from clementinebay import errors, thriftcodec

#: Level of compression: the fastest takes most of the redundancy out.
ZLIB_LEVEL = 1


def pack(struct, limit=None):
    """Return the bytes of a thrift structure.

    Raises `ValueTooLargeError` if it has more than ``limit`` bytes before compression.
    """
    plain = thriftcodec.encode(struct)
    if limit is not None and len(plain) > limit:
        name = type(struct).__name__
        raise errors.ValueTooLargeError(f"{name} of {len(plain)} bytes")
    return zlib.compress(plain, ZLIB_LEVEL)


def unpack(kind, data):
    """Return the ``kind`` in ``data``; raise `FrameMalformedError` if there is none."""
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        raise errors.FrameMalformedError(f"no {kind.__name__}: {error}") from error
    return thriftcodec.decode(kind, plain)
