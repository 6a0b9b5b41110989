"""Runs many peers of one daemon in one process, for the gossip measurement."""

import argparse
import asyncio
import contextlib
import signal

from bench import slopes_fakes as fakes
from bench.slopes_parts import peers_service


async def serve(daemon_port, count):
    """Run peers on the ``count`` ports after ``daemon_port`` until SIGTERM."""
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    daemon = fakes.entry_vm("d-0", f"127.0.0.1:{daemon_port}", "d")
    async with contextlib.AsyncExitStack() as stack:
        for port in range(daemon_port + 1, daemon_port + 1 + count):
            service = peers_service(f"p-{port}", "e", port, [daemon])
            await stack.enter_async_context(service)
        await stopping.wait()


def main():
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--count", type=int, required=True)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.port, arguments.count))


if __name__ == "__main__":
    main()
