"""Service "renewals": renews the leases of tasks and takes the endpoints' reports.

While the platform answers, the holder of the leader lease does this for its domain.
While it does not, every daemon of the domain does, so that running tasks live on.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import Renewal
from clementinebay.log import Log
from clementinebay.service import Service

#: Renewals in progress at once.
RENEWALS = 64

log = Log("renewals")


class Renewals(Service):
    """Calls every endpoint at every interval while ``active`` or cut off.

    Each of ``listeners`` is called with an endpoint's name and its `Report`.
    """

    name = "renewals"
    requires = ("shard", "driver", "config", "dispatcher")

    async def start(self):
        """Begin to renew."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.dispatcher = self.kernel.find("dispatcher")
        self.versions = {}
        self.listeners = []
        self.slots = asyncio.Semaphore(RENEWALS)
        self.active = False
        self.background.spawn(self.poll)

    def ask_again(self):
        """Have every endpoint report all that it knows."""
        self.versions.clear()

    async def poll(self):
        """Renew leases and take reports at every interval."""
        while True:
            if self.active or not self.platform_answers():
                endpoints = list(self.shard.state.endpoints.values())
                await asyncio.gather(*(self.renew(e) for e in endpoints if not e.lost))
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    def platform_answers(self):
        """Return whether the platform was read lately."""
        age = self.clock.now() - self.kernel.find("config").confirmed_at
        return age < self.settings.scheduler_leader_seconds

    def lease_deadline(self):
        """Return the deadline of renewals.

        It never passes the last confirmed read of the shard by more than
        ``reclaim_after``, which is what a reader of the log waits for.
        """
        settings = self.settings
        confirmed = self.shard.log.confirmed_at
        return min(
            self.clock.now() + settings.scheduler_lease_seconds,
            confirmed + settings.scheduler_reclaim_after_seconds,
        )

    async def renew(self, endpoint):
        """Renew the leases at one endpoint and take its report."""
        name = endpoint.seen.id
        renewal = Renewal(self.lease_deadline(), self.versions.get(name, 0))
        async with self.slots:
            try:
                report = await self.driver.renew(endpoint.seen.address, renewal)
            except errors.EndpointError as error:
                log.debug("%s: %s.", name, error)
                return
        self.versions[name] = report.version
        for task in report.tasks:
            self.dispatcher.take_report(task)
        for listener in self.listeners:
            listener(name, report)
