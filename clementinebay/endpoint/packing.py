"""Reports of endpoints as daemons hand them on: arrays without trailing defaults.

They are compressed where that saves bytes; the first byte tells which it is.
"""

import zlib

import msgspec

from clementinebay import errors
from clementinebay.endpoint.base import Report, ServiceUsage, TaskReport

#: What a task's report says in fields that are left out, in order of the fields.
TASK_DEFAULTS = msgspec.structs.astuple(TaskReport(None, None, None, None))

#: First byte of what is compressed; that of an array of three fields is another.
COMPRESSED = b"\x78"
#: Most bytes of a report before it was compressed.
MAX_REPORT_BYTES = 16_000_000


class PackedTask(TaskReport, array_like=True):
    """A `TaskReport` that is an array on the wire."""


class PackedUsage(ServiceUsage, array_like=True):
    """A `ServiceUsage` that is an array on the wire."""


class PackedReport(Report, array_like=True):
    """A `Report` that is an array on the wire."""

    tasks: list[PackedTask] = []
    services: list[PackedUsage] = []


DECODER = msgspec.msgpack.Decoder(PackedReport)


def pack(report):
    """Return the bytes of a `Report`."""
    tasks = [trimmed(msgspec.structs.astuple(task)) for task in report.tasks]
    services = [msgspec.structs.astuple(usage) for usage in report.services]
    plain = msgspec.msgpack.encode((report.version, tasks, services))
    return min(plain, zlib.compress(plain), key=len)


def trimmed(values):
    """Return the ``values`` of a task's report without defaults at their end."""
    length = len(values)
    while length and values[length - 1] == TASK_DEFAULTS[length - 1]:
        length -= 1
    return values[:length]


def unpack(data):
    """Return the `Report` in ``data``; raise `FrameMalformedError` if there is none."""
    try:
        if data[:1] == COMPRESSED:
            data = zlib.decompressobj().decompress(data, MAX_REPORT_BYTES)
        return DECODER.decode(data)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise errors.FrameMalformedError(f"no report: {error}") from error
