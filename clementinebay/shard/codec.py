"""Serialization of stored structures: thrift, compressed with zlib."""

import zlib

from clementinebay import errors, thriftcodec

#: Compression level: the fastest one already removes most of the redundancy.
ZLIB_LEVEL = 1


def pack(struct, limit=None):
    """Return the bytes of a thrift structure.

    Raises `ValueTooLargeError` if it exceeds ``limit`` bytes before compression.
    """
    plain = thriftcodec.encode(struct)
    if limit is not None and len(plain) > limit:
        name = type(struct).__name__
        raise errors.ValueTooLargeError(f"{name} of {len(plain)} bytes is too large")
    return zlib.compress(plain, ZLIB_LEVEL)


def unpack(kind, data):
    """Return the ``kind`` that ``data`` encodes, or raise `FrameMalformedError`."""
    try:
        plain = zlib.decompress(data)
    except zlib.error as error:
        raise errors.FrameMalformedError(
            f"cannot decompress {kind.__name__}: {error}"
        ) from error
    return thriftcodec.decode(kind, plain)
