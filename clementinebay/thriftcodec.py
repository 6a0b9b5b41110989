"""Serialization of thrift structures in the compact protocol."""

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from clementinebay import errors

FACTORY = TCompactProtocolAcceleratedFactory()

#: Exceptions raised by the library when bytes cannot be decoded.
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
    """Decode ``data`` as a ``kind``; raise `FrameMalformedError` if that fails."""
    try:
        return deserialize(kind(), data, FACTORY)
    except DECODE_FAILURES as error:
        raise errors.FrameMalformedError(
            f"cannot decode {kind.__name__}: {error!r}"
        ) from error
