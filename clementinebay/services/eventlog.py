"""Service "eventlog": structured logs on standard output."""

from clementinebay.eventlog import EventLog
from clementinebay.service import Service


class EventLogService(Service):
    """Holds ``log``, the daemon's `EventLog`."""

    name = "eventlog"

    async def start(self):
        """Open the log on standard output."""
        self.log = EventLog(self.settings.node)
        self.log.open()
        self.log.info("daemon.started", domain=self.settings.failure_domain)

    async def stop(self):
        """Flush the log."""
        self.log.info("daemon.stopped")
        self.log.flush()
