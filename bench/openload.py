"""Open-loop load client: send times do not depend on the responses.

Run as ``python -m bench.openload URL --rate R --seconds S``; prints one JSON line.
Latency is measured from the time a request was due, even if it was sent later.
"""

import argparse
import asyncio
import json
import random
import time
from collections import deque

from bench import load

#: Connections that share the load; further requests queue in the client.
CONNECTIONS = 128
#: Wait for outstanding responses after the last request was due, in seconds.
GRACE_SECONDS = 5.0


class Connection(load.Connection):
    """Sends queued requests and is idle while there are none."""

    def send(self):
        """Become idle, then send the next queued request, if any."""
        self.load.idle.append(self)
        self.load.send_queued()

    def send_due(self, due):
        """Send a request that was due at ``due``."""
        self.buffer = b""
        self.expected = None
        self.sent_at = due
        self.transport.write(self.load.request)


class OpenLoad(load.Load):
    """Sends ``rate`` requests per second, with Poisson arrivals fixed by ``seed``."""

    def __init__(self, url, headers, rate, seconds, warm_up, seed):
        super().__init__(url, b"x" * 200, headers, CONNECTIONS, seconds, warm_up)
        self.rate = rate
        self.rng = random.Random(seed)
        self.idle = []
        self.queue = deque()

    def send_queued(self):
        """Send queued requests on idle connections."""
        while self.idle and self.queue:
            self.idle.pop().send_due(self.queue.popleft())

    async def run(self):
        """Send the load and return the result."""
        loop = asyncio.get_running_loop()
        for _number in range(self.connections):
            await loop.create_connection(
                lambda: Connection(self), self.url.hostname, self.url.port
            )
        start = time.perf_counter()
        self.counted_from = start + self.warm_up
        end = self.counted_from + self.seconds
        self.until = end + GRACE_SECONDS
        await self.send_arrivals(start, end)
        while len(self.idle) < self.connections and time.perf_counter() < self.until:
            await asyncio.sleep(0.01)
        histogram = self.histogram
        return {
            "done": histogram.total_count,
            "failed": self.failed,
            "rps": histogram.total_count / self.seconds,
            "p50_ms": histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        }

    async def send_arrivals(self, start, end):
        """Send requests at exponential intervals from ``start`` to ``end``."""
        due = start + self.rng.expovariate(self.rate)
        while due < end:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            self.queue.append(due)
            self.send_queued()
            due += self.rng.expovariate(self.rate)


def measure(url, rate, seconds, seed=1):
    """Run an `OpenLoad` in a child process and return its result."""
    arguments = ["--rate", rate, "--seconds", seconds, "--seed", seed]
    return load.run_in_process("bench.openload", url, arguments)


def main():
    """Run the load and print its result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("url")
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--warm-up", type=float, default=1.0)
    parser.add_argument("--seed", type=int, default=1)
    a = parser.parse_args()
    headers = {"X-Request-Id": "bench", "X-Client": "bench"}
    client = OpenLoad(a.url, headers, a.rate, a.seconds, a.warm_up, a.seed)
    print(json.dumps(asyncio.run(client.run())))


if __name__ == "__main__":
    main()
