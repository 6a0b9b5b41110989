"""Base class of the services that the kernel starts."""

from abc import ABC, abstractmethod

from clementinebay.background import Background
from clementinebay.log import Log


class Service(ABC):
    """A named component of the daemon; an asynchronous context manager.

    Other services find it by its ``name``; ``requires`` lists the names of the services
    that must be started before it.
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
        """Acquire the resources of the service and start its loops."""

    async def stop(self):
        """Finish work in progress and release the resources of the service."""

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            await self.clean_up_failed_start()
            raise
        return self

    async def clean_up_failed_start(self):
        """Release what a failed start has acquired, as far as possible."""
        try:
            await self.__aexit__()
        except Exception as error:
            Log(self.name).debug("Failed to clean up after a failed start: %r.", error)
            await self.background.__aexit__()

    async def __aexit__(self, *exc):
        try:
            await self.stop()
        finally:
            await self.background.__aexit__(*exc)
