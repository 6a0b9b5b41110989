"""Structured logs: one JSON object per line on standard output.

A line has ``t`` (seconds since the Unix epoch), ``level``, ``event`` and the fields of
that event.  Lines are buffered and written without blocking: lines that a slow reader
does not accept are dropped and counted.  Each kind of event has a rate limit.
"""

import asyncio
import os
import time

import msgspec

from clementinebay import metrics

#: Maximum number of lines per second and event; further lines are only counted.
LINES_PER_SECOND = 60
#: Maximum number of buffered bytes; further lines are dropped.
MAX_BUFFER_BYTES = 256_000
#: Longest text of a line that cannot be encoded, in characters.
MAX_TEXT_LENGTH = 2_000
#: Fields of every line.
HEAD_FIELDS = ("t", "level", "event", "node")
#: Delay before buffered lines are written, in seconds.
FLUSH_SECONDS = 0.1

DEBUG, INFO, WARNING, ERROR = range(4)
LEVELS = ("debug", "info", "warning", "error")


class EventLog:
    """Buffers events and writes them to file descriptor ``fd``.

    Each line includes ``node`` if it is set.  Events below ``level`` are omitted.
    """

    def __init__(self, node="", fd=1, level=INFO, clock=time.time):
        self.node = node
        self.fd = fd
        self.level = level
        self.clock = clock
        self.encoder = msgspec.json.Encoder()
        self.buffer = bytearray()
        self.second = 0
        self.counts = {}
        self.suppressed = {}
        self.dropped = 0
        self.timer = None

    def open(self):
        """Make the descriptor non-blocking."""
        os.set_blocking(self.fd, False)

    def debug(self, event, **fields):
        """Record an event for developers."""
        self.record(DEBUG, event, fields)

    def info(self, event, **fields):
        """Record a decision or a state change."""
        self.record(INFO, event, fields)

    def warning(self, event, **fields):
        """Record a fault that the process tolerates."""
        self.record(WARNING, event, fields)

    def error(self, event, **fields):
        """Record a fault that requires an operator."""
        self.record(ERROR, event, fields)

    def record(self, level, event, fields):
        """Buffer a line unless its event has reached its limit for this second."""
        if level < self.level:
            return
        now = self.clock()
        if int(now) != self.second:
            self.reset_counts(now)
        count = self.counts.get(event, 0) + 1
        self.counts[event] = count
        if count > LINES_PER_SECOND:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            metrics.LOG_LINES_LEFT_OUT.inc()
            return
        self.append(now, level, event, fields)

    def reset_counts(self, now):
        """Reset the rate limits and log how many lines they suppressed."""
        self.second = int(now)
        self.counts.clear()
        for event, count in self.suppressed.items():
            self.append(now, WARNING, "log.suppressed", {"of": event, "lines": count})
        self.suppressed.clear()

    def append(self, now, level, event, fields):
        """Buffer one line, or count it as dropped if the buffer is full."""
        line = {"t": round(now, 4), "level": LEVELS[level], "event": event}
        if self.node:
            line["node"] = self.node
        line.update(fields)
        data = self.encode(line) + b"\n"
        if len(self.buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            metrics.LOG_LINES_LEFT_OUT.inc()
            return
        self.buffer += data
        self.schedule_flush()

    def encode(self, line):
        """Return the JSON of a line; a failure must not end what logs it."""
        try:
            return self.encoder.encode(line)
        except (TypeError, ValueError, OverflowError, RecursionError):
            head = {name: line[name] for name in HEAD_FIELDS if name in line}
            text = ascii(line)[:MAX_TEXT_LENGTH]
            return self.encoder.encode(head | {"unencodable": text})

    def schedule_flush(self):
        """Schedule a flush; without a running event loop, flush now."""
        if self.timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self.timer = loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self):
        """Write as much as the reader accepts without blocking."""
        self.timer = None
        if self.dropped and len(self.buffer) < MAX_BUFFER_BYTES // 2:
            dropped, self.dropped = self.dropped, 0
            fields = {"lines": dropped}
            self.append(self.clock(), WARNING, "log.dropped", fields)
        try:
            written = os.write(self.fd, self.buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed its end; keeping the lines would only use memory.
            written = len(self.buffer)
        del self.buffer[:written]
        if self.buffer:
            self.schedule_flush()
