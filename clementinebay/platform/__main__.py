"""Runs a daemon on the users' platform: ``python3 -m clementinebay.platform``."""

import asyncio
import gc
import signal
import sys

from clementinebay import errors
from clementinebay.kernel import Kernel
from clementinebay.platform import endpoints, operator, settings
from clementinebay.platform.gateway import Gateway
from clementinebay.platform.store import PlatformStore
from clementinebay.services import WORKFLOW_DAEMON
from clementinebay.web.client import Client
from clementinebay.workflow.boundary import Boundary

EXIT_SETTINGS = 2


class PlatformBoundary(Boundary):
    """Keys and forms of the users' platform."""

    endpoint_prefix = "servers/"
    operator_prefix = "op/"

    def __init__(self, client):
        self.driver = endpoints.PlatformDriver(client)

    def decode_endpoint(self, key, value):
        """Return the `Endpoint` of a registry entry."""
        return endpoints.decode_endpoint(key[len(self.endpoint_prefix) :], key, value)

    def decode_operator_item(self, key, value):
        """Return what an operator's item says."""
        return operator.decode_item(key, value)


async def run(node):
    """Run the daemon until SIGTERM."""
    async with Client() as client:
        deployment = settings.deployment(
            node,
            PlatformStore(client, node.store),
            PlatformBoundary(client),
            Gateway(),
        )
        async with Kernel(deployment) as kernel:
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, kernel.stopping.set)
            await kernel.run(WORKFLOW_DAEMON)


def main():
    """Run the daemon; return its exit code."""
    try:
        node = settings.read(settings.settings_path())
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    gc.freeze()
    asyncio.run(run(node))
    return 0


if __name__ == "__main__":
    sys.exit(main())
