"""Run a daemon on the users' platform: ``python3 -m clementinebay.platform``."""

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
#: Interval between checks for a changed settings file, in seconds.
CHECK_INTERVAL_SECONDS = 3.0


class PlatformBoundary(Boundary):
    """Decodes the entries of the users' platform."""

    endpoint_prefix = "servers/"
    operator_prefix = "op/"

    def __init__(self, client, needs_keys=False):
        self.driver = endpoints.PlatformDriver(client)
        self.needs_keys = needs_keys

    def decode_endpoint(self, key, value):
        """Return the `Endpoint` of a registry entry."""
        return endpoints.decode_endpoint(key[len(self.endpoint_prefix) :], key, value)

    def decode_operator_item(self, key, value):
        """Return the decoded item of an operator, or ``None`` if it is not relevant."""
        return operator.decode_item(key, value, self.needs_keys)


class Reloader:
    """Reloads the settings file on SIGHUP and when the file has changed."""

    def __init__(self, path, kernel):
        self.path = path
        self.kernel = kernel
        self.fingerprint = self.read_fingerprint()

    def read_fingerprint(self):
        """Return a value that changes with the file, or ``None`` if it is missing."""
        try:
            status = os.stat(self.path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def watch(self):
        """Check for changes of the file at regular intervals."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self.read_fingerprint() != self.fingerprint:
                self.reload()

    def reload(self):
        """Read the file and apply the settings that may change at run time."""
        self.fingerprint = self.read_fingerprint()
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
        deployment = settings.build_deployment(
            node,
            client,
            PlatformStore(client, node.store),
            PlatformBoundary(client, node.needs_keys),
            Gateway(),
        )
        async with Kernel(deployment) as kernel:
            loop = asyncio.get_running_loop()
            for signum in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(signum, kernel.stopping.set)
            await kernel.start("eventlog")
            reloader = Reloader(path, kernel)
            loop.add_signal_handler(signal.SIGHUP, reloader.reload)
            async with Background("settings") as background:
                background.spawn(reloader.watch)
                await kernel.run(WORKFLOW_DAEMON_SERVICES)


def main():
    """Run the daemon; return its exit code."""
    # SIGHUP must not end the process before its handler is installed.
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
