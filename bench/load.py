"""A load client on raw asyncio protocols, light enough not to be the bottleneck.

Run as ``python -m bench.load URL --connections N --seconds S``; prints one JSON line.
"""

import argparse
import asyncio
import json
import subprocess
import sys
import time
import urllib.parse

from hdrh.histogram import HdrHistogram

from standins.process import ROOT

#: Range and precision of histograms, in microseconds and digits.
HISTOGRAM = (1, 60_000_000, 3)
#: Longest run of a load client, in seconds.
CLIENT_SECONDS = 120.0


def request_bytes(url, body, headers):
    """Return the bytes of a POST of ``body`` to ``url``."""
    parts = urllib.parse.urlsplit(url)
    lines = [f"POST {parts.path} HTTP/1.1", f"Host: {parts.netloc}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Connection(asyncio.Protocol):
    """Sends one request after another and measures each."""

    def __init__(self, load):
        self.load = load
        self.buffer = b""
        self.sent_at = 0.0
        self.expected = None
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        """Send the first request."""
        self.transport = transport
        self.send()

    def send(self):
        """Send a request."""
        self.buffer = b""
        self.expected = None
        self.sent_at = time.perf_counter()
        self.transport.write(self.load.request)

    def data_received(self, data):
        """Take part of an answer; send again once it is whole."""
        self.buffer += data
        if self.expected is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = self.buffer[:end].lower()
            start = head.index(b"content-length:") + len(b"content-length:")
            length = int(head[start:].split(b"\r\n", 1)[0])
            self.expected = end + 4 + length
        if len(self.buffer) >= self.expected:
            self.load.take(self.buffer, self.sent_at)
            if time.perf_counter() < self.load.until:
                self.send()
            else:
                self.transport.close()

    def connection_lost(self, _error):
        """Note the end of the connection."""
        self.lost.set_result(None)


class Load:
    """Keeps ``connections`` busy for ``seconds`` after a warm-up."""

    def __init__(self, url, body, headers, connections, seconds, warm_up):
        self.url = urllib.parse.urlsplit(url)
        self.request = request_bytes(url, body, headers)
        self.body = body
        self.connections = connections
        self.seconds = seconds
        self.warm_up = warm_up
        self.histogram = HdrHistogram(*HISTOGRAM)
        self.failed = 0

    def take(self, answer, sent_at):
        """Count one answer."""
        now = time.perf_counter()
        if sent_at < self.counted_from:
            return
        if answer.startswith(b"HTTP/1.1 200") and answer.endswith(self.body):
            self.histogram.record_value(max(1, int((now - sent_at) * 1e6)))
        else:
            self.failed += 1

    async def run(self):
        """Send the load and return the result."""
        loop = asyncio.get_running_loop()
        self.counted_from = time.perf_counter() + self.warm_up
        self.until = self.counted_from + self.seconds
        protocols = []
        for _number in range(self.connections):
            _transport, protocol = await loop.create_connection(
                lambda: Connection(self), self.url.hostname, self.url.port
            )
            protocols.append(protocol)
        await asyncio.gather(*(protocol.lost for protocol in protocols))
        h = self.histogram
        return {
            "done": h.total_count,
            "failed": self.failed,
            "rps": h.total_count / self.seconds,
            "p50_ms": h.get_value_at_percentile(50) / 1000,
            "p99_ms": h.get_value_at_percentile(99) / 1000,
        }


def run_apart(module, url, arguments):
    """Run a load client in a process of its own and return its result."""
    done = subprocess.run(
        [sys.executable, "-m", module, url, *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=CLIENT_SECONDS,
    )
    return json.loads(done.stdout)


def measure(url, connections, seconds, warm_up=1.0, headers=()):
    """Run the load in a process of its own and return its result."""
    arguments = ["--connections", connections, "--seconds", seconds]
    arguments += ["--warm-up", warm_up]
    for name, value in dict(headers).items():
        arguments += ["--header", f"{name}={value}"]
    return run_apart("bench.load", url, arguments)


def main():
    """Send a load and print what was measured."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--warm-up", type=float, default=1.0)
    parser.add_argument("--bytes", type=int, default=200)
    parser.add_argument("--header", action="append", default=[], metavar="NAME=VALUE")
    a = parser.parse_args()
    headers = dict(item.split("=", 1) for item in a.header)
    body = b"x" * a.bytes
    load = Load(a.url, body, headers, a.connections, a.seconds, a.warm_up)
    print(json.dumps(asyncio.run(load.run())))


if __name__ == "__main__":
    main()
