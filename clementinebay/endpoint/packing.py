"""Encoding of endpoint reports that daemons forward to each other.

Reports are MessagePack arrays without trailing default values, compressed if that makes
them smaller.  The first byte tells the two forms apart.
"""

import zlib

import msgspec

from clementinebay import decoding, errors
from clementinebay.endpoint.base import Report, ServiceUsage, TaskReport

#: Default values of the fields of a `TaskReport`, in order; ``None`` if required.
TASK_DEFAULTS = msgspec.structs.astuple(TaskReport(None, None, None, None))

#: First byte of zlib data; a MessagePack array of three fields starts with another.
COMPRESSED = b"\x78"
#: Maximum size of a report before compression, in bytes.
MAX_REPORT_BYTES = 16_000_000


class PackedTask(TaskReport, array_like=True):
    """A `TaskReport` encoded as an array."""


class PackedUsage(ServiceUsage, array_like=True):
    """A `ServiceUsage` encoded as an array."""


class PackedReport(Report, array_like=True):
    """A `Report` encoded as an array."""

    tasks: list[PackedTask] = []
    services: list[PackedUsage] = []


DECODER = decoding.Decoder(PackedReport, MAX_REPORT_BYTES, msgspec.msgpack)


def pack(report):
    """Return the encoded `Report`."""
    tasks = [
        strip_trailing_defaults(msgspec.structs.astuple(task)) for task in report.tasks
    ]
    services = [msgspec.structs.astuple(usage) for usage in report.services]
    plain = msgspec.msgpack.encode((report.version, tasks, services))
    return min(plain, zlib.compress(plain), key=len)


def strip_trailing_defaults(values):
    """Return the ``values`` of a `TaskReport` without trailing defaults."""
    length = len(values)
    while length and values[length - 1] == TASK_DEFAULTS[length - 1]:
        length -= 1
    return values[:length]


def unpack(data):
    """Return the `Report` that ``data`` encodes, or raise `FrameMalformedError`."""
    try:
        if data[:1] == COMPRESSED:
            data = zlib.decompressobj().decompress(data, MAX_REPORT_BYTES)
        return DECODER.decode(data)
    except (errors.UnreadableError, zlib.error) as error:
        raise errors.FrameMalformedError(f"cannot decode report: {error}") from error
