"""Service "renewals": renews the leases of tasks and takes the endpoints' reports.

While the platform answers, the holder of the leader lease does this for its domain.
While it does not, every daemon of the domain does, so that running tasks live on.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import Renewal
from clementinebay.log import Log
from clementinebay.policy import attempts
from clementinebay.service import Service

#: Renewals in progress at once.
RENEWALS = 64
#: Reports of an endpoint after which a full one is asked for.
REPORTS_BETWEEN_FULL = 60

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
        self.reports = {}
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
                names = list(self.shard.state.endpoints)
                await asyncio.gather(*(self.renew(name) for name in names))
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    def platform_answers(self):
        """Return whether the platform was read lately."""
        age = self.clock.now() - self.kernel.find("config").confirmed_at
        return age < self.settings.scheduler_leader_seconds

    def lease_deadline(self):
        """Return the deadline of renewals."""
        settings = self.settings
        return attempts.renewal_deadline(
            self.clock.now(),
            self.shard.log.confirmed_at,
            settings.scheduler_lease_seconds,
            settings.scheduler_reclaim_after_seconds,
        )

    async def renew(self, name):
        """Renew the leases at one endpoint and take its report."""
        async with self.slots:
            # The deadline and the standing of the endpoint are of the same read.
            endpoint = self.shard.state.endpoints.get(name)
            if endpoint is None or endpoint.lost:
                return
            since = self.since(name)
            expected = () if since else attempts.running(self.shard.state, name)
            renewal = Renewal(self.lease_deadline(), since)
            try:
                report = await self.driver.renew(endpoint.seen.address, renewal)
            except errors.EndpointError as error:
                log.debug("%s: %s.", name, error)
                return
        if report.version < since:
            # The worker was restarted and has forgotten what it ran.
            self.versions[name] = 0
        elif self.dispatcher.take_reports(name, report.tasks, expected):
            self.versions[name] = report.version
        for listener in self.listeners:
            listener(name, report)

    def since(self, name):
        """Return the version of the last report that is in the log, 0 for all."""
        count = self.reports[name] = self.reports.get(name, 0) + 1
        if count % REPORTS_BETWEEN_FULL == 0:
            self.versions[name] = 0
        return self.versions.get(name, 0)
