"""Structured logs: one JSON object a line on standard output.

A line has ``t`` (seconds since the Unix epoch), ``level``, ``event`` and the fields of
that event.  Lines are written in blocks without ever waiting: what the reader of
standard output does not take is dropped and counted, and each kind of event has a
limit a second.
"""

import asyncio
import os
import time

import msgspec

from clementinebay import metrics

#: Lines of one event that are written in one second; the rest are counted.
LINES_PER_SECOND = 60
#: Bytes that may wait for a slow reader before lines are dropped.
MAX_WAITING_BYTES = 256_000
#: Time between two writes, in seconds.
FLUSH_SECONDS = 0.1

DEBUG, INFO, WARNING, ERROR = range(4)
LEVELS = ("debug", "info", "warning", "error")


class EventLog:
    """Collects events and writes them to file descriptor ``fd``.

    ``node`` is written with each line.  Events below ``level`` are left out.
    """

    def __init__(self, node="", fd=1, level=INFO, clock=time.time):
        self.node = node
        self.fd = fd
        self.level = level
        self.clock = clock
        self.encoder = msgspec.json.Encoder()
        self.waiting = bytearray()
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
        """Record a decision or a change of what the process believes."""
        self.record(INFO, event, fields)

    def warning(self, event, **fields):
        """Record a fault that the process works around."""
        self.record(WARNING, event, fields)

    def error(self, event, **fields):
        """Record a fault that needs an operator."""
        self.record(ERROR, event, fields)

    def record(self, level, event, fields):
        """Queue a line unless its kind has used up its limit of this second."""
        if level < self.level:
            return
        now = self.clock()
        if int(now) != self.second:
            self.begin_second(now)
        count = self.counts.get(event, 0) + 1
        self.counts[event] = count
        if count > LINES_PER_SECOND:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
            metrics.LOG_LINES_LEFT_OUT.inc()
            return
        self.append(now, level, event, fields)

    def begin_second(self, now):
        """Start new counts and report what the last ones left out."""
        self.second = int(now)
        self.counts.clear()
        for event, count in self.suppressed.items():
            self.append(now, WARNING, "log.suppressed", {"of": event, "lines": count})
        self.suppressed.clear()

    def append(self, now, level, event, fields):
        """Queue one line, or count it as dropped."""
        line = {"t": round(now, 4), "level": LEVELS[level], "event": event}
        if self.node:
            line["node"] = self.node
        line.update(fields)
        data = self.encoder.encode(line) + b"\n"
        if len(self.waiting) + len(data) > MAX_WAITING_BYTES:
            self.dropped += 1
            metrics.LOG_LINES_LEFT_OUT.inc()
            return
        self.waiting += data
        self.schedule()

    def schedule(self):
        """Have the loop write soon; without a loop, write now."""
        if self.timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self.timer = loop.call_later(FLUSH_SECONDS, self.flush)

    def flush(self):
        """Write what the reader takes now."""
        self.timer = None
        if self.dropped and len(self.waiting) < MAX_WAITING_BYTES // 2:
            dropped, self.dropped = self.dropped, 0
            fields = {"lines": dropped}
            self.append(self.clock(), WARNING, "log.dropped", fields)
        try:
            written = os.write(self.fd, self.waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; keeping the lines would only cost memory.
            written = len(self.waiting)
        del self.waiting[:written]
        if self.waiting:
            self.schedule()
