"""Service "driver": the endpoint driver that router and dispatcher share."""

from clementinebay.endpoint.http import HttpDriver
from clementinebay.service import Service


class DriverService(Service):
    """Owns ``driver``."""

    name = "driver"

    async def start(self):
        """Open the driver."""
        self.driver = HttpDriver(self.clock)

    async def stop(self):
        """Close its connections."""
        await self.driver.close()
