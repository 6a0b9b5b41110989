"""Service "driver": the endpoint driver shared by the other services."""

from clementinebay.endpoint import open_driver
from clementinebay.service import Service


class DriverService(Service):
    """Owns ``driver``, the endpoint driver selected in the settings."""

    name = "driver"

    async def start(self):
        """Open the driver."""
        self.driver = open_driver(self.settings.endpoint_driver, self.clock)

    async def stop(self):
        """Close the driver's connections."""
        await self.driver.close()
