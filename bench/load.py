"""Closed-loop load client on raw asyncio protocols, so that it isn't the bottleneck.

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

#: Lowest and highest value in microseconds, and significant digits.
HISTOGRAM_RANGE = (1, 60_000_000, 3)
#: Timeout of a load client in a child process, in seconds.
CLIENT_TIMEOUT_SECONDS = 120.0


def request_bytes(url, body, headers):
    """Return the bytes of a POST of ``body`` to ``url``."""
    parts = urllib.parse.urlsplit(url)
    lines = [f"POST {parts.path} HTTP/1.1", f"Host: {parts.netloc}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Connection(asyncio.Protocol):
    """Sends requests one after another and measures the latency of each."""

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
        """Buffer a part of the response; send the next request once it is complete."""
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
            self.load.record(self.buffer, self.sent_at)
            if time.perf_counter() < self.load.until:
                self.send()
            else:
                self.transport.close()

    def connection_lost(self, _error):
        """Resolve ``lost``, which the load waits for."""
        self.lost.set_result(None)


class Load:
    """Keeps ``connections`` busy with requests for ``seconds`` after a warm-up."""

    def __init__(self, url, body, headers, connections, seconds, warm_up):
        self.url = urllib.parse.urlsplit(url)
        self.request = request_bytes(url, body, headers)
        self.body = body
        self.connections = connections
        self.seconds = seconds
        self.warm_up = warm_up
        self.histogram = HdrHistogram(*HISTOGRAM_RANGE)
        self.failed = 0

    def record(self, response, sent_at):
        """Record one response, unless its request was sent during the warm-up."""
        now = time.perf_counter()
        if sent_at < self.counted_from:
            return
        if response.startswith(b"HTTP/1.1 200") and response.endswith(self.body):
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
        histogram = self.histogram
        return {
            "done": histogram.total_count,
            "failed": self.failed,
            "rps": histogram.total_count / self.seconds,
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        }


def run_in_process(module, url, arguments):
    """Run the load client ``module`` in a child process and return its result."""
    done = subprocess.run(
        [sys.executable, "-m", module, url, *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        timeout=CLIENT_TIMEOUT_SECONDS,
    )
    return json.loads(done.stdout)


def measure(url, connections, seconds, warm_up=1.0, headers=()):
    """Run a `Load` in a child process and return its result."""
    arguments = ["--connections", connections, "--seconds", seconds]
    arguments += ["--warm-up", warm_up]
    for name, value in dict(headers).items():
        arguments += ["--header", f"{name}={value}"]
    return run_in_process("bench.load", url, arguments)


def main():
    """Run the load and print its result."""
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
