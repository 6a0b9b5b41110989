"""The contract of services that the kernel starts."""

from abc import ABC, abstractmethod

from clementinebay.background import Background


class Service(ABC):
    """One named part of the daemon; an asynchronous context manager.

    ``name`` is what other services find it by; ``requires`` names the services that
    must run before it.
    """

    name = ""
    requires = ()

    def __init__(self, kernel):
        self.kernel = kernel
        self.settings = kernel.settings
        self.clock = kernel.clock
        self.background = Background(self.name)

    @abstractmethod
    async def start(self):
        """Open what the service owns."""

    async def stop(self):
        """Finish what is in progress and close what the service owns."""

    async def __aenter__(self):
        await self.start()
        return self

    async def __aexit__(self, *exc):
        await self.stop()
        await self.background.__aexit__(*exc)
