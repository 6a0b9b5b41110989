"""Service "driver": the endpoint driver that router and dispatcher share."""

from clementinebay.endpoint import open_driver
from clementinebay.service import Service


class DriverService(Service):
    """Owns ``driver``."""

    name = "driver"

    async def start(self):
        """Open the driver."""
        self.driver = open_driver(self.settings.endpoint_driver, self.clock)

    async def stop(self):
        """Close its connections."""
        await self.driver.close()
