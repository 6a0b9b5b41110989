"""The microkernel: starts services, finds them by name, stops them in reverse order."""

import asyncio
import contextlib

from clementinebay import errors
from clementinebay.clock import SystemClock
from clementinebay.log import Log
from clementinebay.services import find_service_class

log = Log("kernel")


class Kernel:
    """Owns the services of one daemon; an asynchronous context manager."""

    def __init__(self, settings, clock=None):
        self.settings = settings
        self.clock = clock or SystemClock()
        self.services = {}
        self.stack = contextlib.AsyncExitStack()
        self.stopping = asyncio.Event()
        # Names of the services being started, to detect circular requirements.
        self.starting = []

    def find(self, name):
        """Return the running service ``name``; raise `KernelError` if there is none."""
        try:
            return self.services[name]
        except KeyError:
            raise errors.KernelError(f"service {name} is not running") from None

    async def start(self, name):
        """Start service ``name`` after the services that it requires."""
        if name in self.services:
            return self.services[name]
        if name in self.starting:
            cycle = " -> ".join([*self.starting, name])
            raise errors.KernelError(f"circular requirements of services: {cycle}")
        self.starting.append(name)
        try:
            return await self.start_with_requirements(name)
        finally:
            self.starting.pop()

    async def start_with_requirements(self, name):
        """Start the services that ``name`` requires, then the service itself."""
        kind = find_service_class(name)
        for required in kind.requires:
            await self.start(required)
        service = kind(self)
        await self.stack.enter_async_context(service)
        self.services[name] = service
        log.debug("Started %s.", name)
        return service

    async def __aenter__(self):
        await self.stack.__aenter__()
        return self

    async def __aexit__(self, *exc):
        return await self.stack.__aexit__(*exc)

    async def run(self, names):
        """Start services ``names`` and wait until ``stopping`` is set."""
        for name in names:
            await self.start(name)
        log.info("All services are running.")
        await self.stopping.wait()
        log.info("Stopping.")
