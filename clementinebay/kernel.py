"""The micro-kernel: starts services, finds them by name, stops them in reverse."""

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
        self.starting = []

    def find(self, name):
        """Return the running service ``name``; raise `KernelError` if none runs."""
        try:
            return self.services[name]
        except KeyError:
            raise errors.KernelError(f"service {name} is not running") from None

    async def start(self, name):
        """Start service ``name`` after the services that it requires."""
        if name in self.services:
            return self.services[name]
        if name in self.starting:
            circle = " -> ".join([*self.starting, name])
            raise errors.KernelError(f"services require each other: {circle}")
        self.starting.append(name)
        try:
            return await self.start_after_required(name)
        finally:
            self.starting.pop()

    async def start_after_required(self, name):
        """Start what service ``name`` requires, and the service."""
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
        """Start services ``names`` and wait until told to stop."""
        for name in names:
            await self.start(name)
        log.info("All services run.")
        await self.stopping.wait()
        log.info("Stopping.")
