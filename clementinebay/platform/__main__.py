"""Runs a daemon on the users' platform: ``python3 -m clementinebay.platform``."""

import asyncio
import gc
import os
import signal
import sys

from clementinebay import errors
from clementinebay.background import Background
from clementinebay.kernel import Kernel
from clementinebay.platform import endpoints, operator, settings
from clementinebay.platform.gateway import Gateway
from clementinebay.platform.store import PlatformStore
from clementinebay.services import WORKFLOW_DAEMON_SERVICES
from clementinebay.web.client import Client
from clementinebay.workflow.boundary import Boundary

EXIT_SETTINGS = 2
#: Time between two looks for a changed settings file, in seconds.
LOOK_SECONDS = 3.0


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


class Reloader:
    """Takes changes of the settings file, on SIGHUP and when the file is another."""

    def __init__(self, path, kernel):
        self.path = path
        self.kernel = kernel
        self.stamp = self.read_stamp()

    def read_stamp(self):
        """Return what tells one content of the file from another, or ``None``."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def watch(self):
        """Look for changes that no signal announces."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self.read_stamp() != self.stamp:
                self.reload()

    def reload(self):
        """Read the file and use what may change while the daemon runs."""
        self.stamp = self.read_stamp()
        log = self.kernel.find("eventlog").log
        try:
            node = settings.read(self.path)
        except errors.SettingsError as error:
            log.error("daemon.reload_failed", why=str(error))
            return
        settings.update(self.kernel.settings, node)
        log.info("daemon.reloaded", store=node.store)


async def run(path, node):
    """Run the daemon until SIGTERM."""
    async with Client() as client:
        deployment = settings.deployment(
            node,
            client,
            PlatformStore(client, node.store),
            PlatformBoundary(client),
            Gateway(),
        )
        async with Kernel(deployment) as kernel:
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, kernel.stopping.set)
            await kernel.start("eventlog")
            reloader = Reloader(path, kernel)
            loop.add_signal_handler(signal.SIGHUP, reloader.reload)
            async with Background("settings") as background:
                background.spawn(reloader.watch)
                await kernel.run(WORKFLOW_DAEMON_SERVICES)


def main():
    """Run the daemon; return its exit code."""
    # Until the loop runs, a change of the settings must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        path = settings.settings_path()
        node = settings.read(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    gc.freeze()
    asyncio.run(run(path, node))
    return 0


if __name__ == "__main__":
    sys.exit(main())
