"""Thrift structures to bytes and back, in the compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from clementinebay import errors

FACTORY = TCompactProtocolAcceleratedFactory()

#: What the library raises on bytes that are not a structure.
DECODE_FAILURES = (
    TException,
    EOFError,
    TypeError,
    ValueError,
    OverflowError,
    MemoryError,
    AttributeError,
    KeyError,
)


def encode(struct):
    """Return the bytes of ``struct``."""
    return serialize(struct, FACTORY)


def decode(kind, data):
    """Return the ``kind`` in ``data``; raise `FrameMalformedError` if there is none."""
    try:
        return deserialize(kind(), data, FACTORY)
    except DECODE_FAILURES as error:
        raise errors.FrameMalformedError(f"no {kind.__name__}: {error!r}") from error
