"""Service "renewals": renews the leases of tasks and takes the endpoints' reports.

The daemons of a domain that gossiped lately share its endpoints, whether the platform
answers or not.  A daemon whose peers are silent renews at all of them, so running tasks
live on; a second renewal does no harm.  Reports go to the daemon that schedules.
"""

import asyncio
import random

from clementinebay import errors
from clementinebay.endpoint import packing
from clementinebay.endpoint.base import Renewal, Report
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as peer_wire
from clementinebay.policy import attempts, sharing
from clementinebay.policy.reporting import DeliveredReports
from clementinebay.service import Service

#: Reports of an endpoint after which a full one is asked for.
REPORTS_BETWEEN_FULL = 60

log = Log("renewals")


class Standing:
    """What is known of one endpoint's reports.

    ``since`` is the version of the last report that is in the log, ``None`` if a full
    one is to be asked for; ``waits`` counts reports in a row that are not in the log.
    """

    __slots__ = ("since", "reports", "waits", "told")

    def __init__(self):
        self.since = None
        self.reports = 0
        self.waits = 0
        self.told = DeliveredReports()


class Renewals(Service):
    """Calls this daemon's share of the endpoints; ``active`` while it schedules.

    Each of ``listeners`` is called with an endpoint's name and its `Report`, each of
    ``watchers`` with the name and whether the endpoint answered.
    """

    name = "renewals"
    requires = ("shard", "driver", "dispatcher", "peers", "platform")

    async def start(self):
        """Begin to renew."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.dispatcher = self.kernel.find("dispatcher")
        self.peers = self.kernel.find("peers")
        self.listeners = []
        self.watchers = []
        self.standings = {}
        self.loops = {}
        self.shared = None
        self.rng = random.Random(self.settings.daemon_name)
        self.peers.handle(
            peer_wire.Kind.REPORTS, peer_wire.EndpointReport, self.on_report
        )
        self.background.spawn(self.share_out)

    @property
    def active(self):
        """Whether this daemon schedules its domain."""
        return self.peers.leading

    @active.setter
    def active(self, active):
        self.peers.leading = active
        self.kernel.find("platform").schedules = active

    def request_full_reports(self):
        """Have every endpoint report all that it knows."""
        for standing in self.standings.values():
            standing.since = None

    # Sharing

    async def share_out(self):
        """Begin and end loops as endpoints and daemons come and go."""
        while True:
            endpoints = self.shard.state.endpoints
            names = frozenset(n for n, known in endpoints.items() if not known.lost)
            shared = (frozenset(self.peers.domain_peers()), names)
            if shared != self.shared:
                self.shared = shared
                self.attend_to(
                    sharing.share(self.settings.daemon_name, shared[0], names)
                )
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    def attend_to(self, names):
        """Have a loop for each endpoint of ``names`` and no other."""
        for name in [name for name in self.loops if name not in names]:
            self.loops.pop(name).cancel()
            del self.standings[name]
        for name in names:
            if name not in self.loops:
                self.standings[name] = Standing()
                self.loops[name] = self.background.spawn(self.attend, name)

    async def attend(self, name):
        """Renew at one endpoint again and again."""
        poll = self.settings.scheduler_poll_seconds
        while True:
            interval = self.interval()
            waits = await self.renew(name, interval - poll)
            # What is not in the log yet is asked for again, ever more rarely.
            pause = min(interval, poll * 2**waits) if waits else poll
            await asyncio.sleep(pause * self.rng.uniform(0.9, 1.0))

    def interval(self):
        """Return the time between two renewals of one endpoint, in seconds."""
        settings = self.settings
        return sharing.renewal_interval(
            len(self.loops),
            settings.scheduler_renewals_per_second,
            settings.scheduler_poll_seconds,
            settings.scheduler_lease_seconds,
        )

    # Renewing

    def lease_deadline(self):
        """Return the deadline of renewals."""
        settings = self.settings
        return attempts.renewal_deadline(
            self.clock.now(),
            self.shard.log.confirmed_at,
            settings.scheduler_lease_seconds,
            settings.scheduler_reclaim_after_seconds,
        )

    async def renew(self, name, wait_seconds):
        """Renew the leases at one endpoint and have its report taken.

        Returns how many reports in a row are not in the log.
        """
        # The deadline and the standing of the endpoint are of the same read.
        endpoint = self.shard.state.endpoints.get(name)
        if endpoint is None or endpoint.lost:
            return 0
        standing = self.standings[name]
        since = self.since(standing)
        if since is None:
            expected = attempts.running(self.shard.state, name)
            renewal = Renewal(self.lease_deadline())
        else:
            expected = ()
            renewal = Renewal(self.lease_deadline(), since, wait_seconds)
        try:
            report = await self.driver.renew(endpoint.seen.address, renewal)
        except errors.EndpointError as error:
            log.debug("%s: %s.", name, error)
            self.tell_watchers(name, False)
            return 0
        self.tell_watchers(name, True)
        if report.version < renewal.since:
            # The worker was restarted and has forgotten what it ran.
            standing.since = None
            return 0
        reported_at = self.clock.now()
        await self.deliver(name, report, expected)
        newer = self.shard.log.confirmed_at > reported_at
        if attempts.unrecorded(self.shard.state, name, report.tasks, newer):
            standing.waits += 1
        else:
            standing.since = report.version
            standing.waits = 0
        return standing.waits

    def tell_watchers(self, name, answered):
        """Tell the watchers whether an endpoint answered."""
        for watcher in self.watchers:
            watcher(name, answered)

    @staticmethod
    def since(standing):
        """Return the version that changes are asked for from, ``None`` for all."""
        standing.reports += 1
        if standing.reports % REPORTS_BETWEEN_FULL == 0:
            standing.since = None
        return standing.since

    # Reports

    async def deliver(self, name, report, expected):
        """Have a report taken here or by the daemon that schedules."""
        if self.active:
            self.take(name, report, expected)
            return
        scheduler = self.peers.scheduler()
        if scheduler is None:
            return
        state, told = self.shard.state, self.standings[name].told
        told.start_delivery(scheduler.id, bool(expected))
        missing = attempts.missing(set(expected), report.tasks)
        tasks = told.undelivered(state, name, report.tasks)
        if not (tasks or report.services or missing):
            return
        message = peer_wire.EndpointReport(
            name,
            packing.pack(Report(report.version, tasks, report.services)),
            [peer_wire.Attempt(*attempt) for attempt in sorted(missing)],
        )
        try:
            reply = await self.peers.query(
                scheduler, peer_wire.Kind.REPORTS, message, peer_wire.ReportTaken
            )
        except errors.PeerError as error:
            log.debug("%s did not take a report: %s.", scheduler.id, error)
            told.forget()
            return
        if reply.taken:
            told.taken(tasks)
        else:
            told.forget()

    async def on_report(self, message, _envelope):
        """Take a report that a peer brings, if this daemon schedules."""
        if self.active:
            report = packing.unpack(message.report)
            expected = {(a.job, a.index, a.attempt) for a in message.expected}
            self.take(message.endpoint, report, expected)
        return peer_wire.ReportTaken(self.active)

    def take(self, name, report, expected):
        """Turn a report into records and tell the listeners."""
        self.dispatcher.process_reports(name, report.tasks, expected)
        for listener in self.listeners:
            listener(name, report)
