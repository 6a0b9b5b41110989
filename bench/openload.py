"""An open-loop load client: sends at times that do not depend on the answers.

Run as ``python -m bench.openload URL --rate R --seconds S``; prints one JSON line.
Latency counts from the time at which a request was due, also if it was sent later.
"""

import argparse
import asyncio
import json
import random
import time
from collections import deque

from bench import load

#: Connections that share the load; more requests than these wait in the client.
CONNECTIONS = 128
#: Time that answers may take after the last request is due, in seconds.
GRACE_SECONDS = 5.0


class Connection(load.Connection):
    """Sends what is due, then waits for the next."""

    def send(self):
        """Be idle, or send what waits."""
        self.load.idle.append(self)
        self.load.fill()

    def send_due(self, due):
        """Send a request that was due at ``due``."""
        self.buffer = b""
        self.expected = None
        self.sent_at = due
        self.transport.write(self.load.request)


class OpenLoad(load.Load):
    """Sends ``rate`` requests a second at random times fixed by ``seed``."""

    def __init__(self, url, headers, rate, seconds, warm_up, seed):
        super().__init__(url, b"x" * 200, headers, CONNECTIONS, seconds, warm_up)
        self.rate = rate
        self.rng = random.Random(seed)
        self.idle = []
        self.waiting = deque()

    def fill(self):
        """Send what is due on idle connections."""
        while self.idle and self.waiting:
            self.idle.pop().send_due(self.waiting.popleft())

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
        await self.send_until(start, end)
        while len(self.idle) < self.connections and time.perf_counter() < self.until:
            await asyncio.sleep(0.01)
        h = self.histogram
        return {
            "done": h.total_count,
            "failed": self.failed,
            "rps": h.total_count / self.seconds,
            "p50_ms": h.get_value_at_percentile(50) / 1000,
            "p99_ms": h.get_value_at_percentile(99) / 1000,
        }

    async def send_until(self, start, end):
        """Send at exponential distances from ``start`` to ``end``."""
        due = start + self.rng.expovariate(self.rate)
        while due < end:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            self.waiting.append(due)
            self.fill()
            due += self.rng.expovariate(self.rate)


def measure(url, rate, seconds, seed=1):
    """Run the load in a process of its own and return its result."""
    arguments = ["--rate", rate, "--seconds", seconds, "--seed", seed]
    return load.run_apart("bench.openload", url, arguments)


def main():
    """Send a load and print what was measured."""
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
