"""The contract of services that the kernel starts."""

from abc import ABC, abstractmethod

from clementinebay.background import Background
from clementinebay.log import Log


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
        try:
            await self.start()
        except BaseException:
            await self.close_what_was_opened()
            raise
        return self

    async def close_what_was_opened(self):
        """Stop after a start that failed, as far as that is possible."""
        try:
            await self.__aexit__()
        except Exception as error:
            Log(self.name).debug("Half a start cannot be stopped: %r.", error)
            await self.background.__aexit__()

    async def __aexit__(self, *exc):
        try:
            await self.stop()
        finally:
            await self.background.__aexit__(*exc)
