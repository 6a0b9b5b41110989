"""Service "renewals": renews task leases at endpoints and collects their reports.

The daemons of a domain that gossiped recently share its endpoints, even while the
platform is unavailable.  A daemon whose peers are silent renews at all endpoints, which
keeps running tasks alive; duplicate renewals are harmless.  Reports are passed on to
the daemon that schedules the domain.
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

#: One report of each endpoint in this many is a full one.
REPORTS_PER_FULL_REPORT = 60

log = Log("renewals")


class ReportState:
    """Progress of one endpoint's reports.

    ``since`` is the version of the last report recorded in the log, ``None`` to request
    a full one.  ``unrecorded_reports`` counts consecutive reports not yet recorded in
    the log.
    """

    __slots__ = ("since", "reports", "unrecorded_reports", "delivered")

    def __init__(self):
        self.since = None
        self.reports = 0
        self.unrecorded_reports = 0
        self.delivered = DeliveredReports()


class Renewals(Service):
    """Renews leases at this daemon's share of the endpoints.

    ``active`` is set while this daemon schedules its domain.  Each of ``listeners`` is
    called with an endpoint's name and its `Report`, each of ``watchers`` with the name
    and whether the endpoint answered.
    """

    name = "renewals"
    requires = ("shard", "driver", "dispatcher", "peers", "platform")

    async def start(self):
        """Start to assign endpoints and renew their leases."""
        self.shard = self.kernel.find("shard")
        self.driver = self.kernel.find("driver").driver
        self.dispatcher = self.kernel.find("dispatcher")
        self.peers = self.kernel.find("peers")
        self.listeners = []
        self.watchers = []
        self.report_states = {}
        self.loops = {}
        self.assignment_inputs = None
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
        """Request a full report from every endpoint."""
        for report_state in self.report_states.values():
            report_state.since = None

    # Assignment of endpoints to daemons

    async def share_out(self):
        """Start and stop renewal loops as endpoints and daemons come and go."""
        while True:
            endpoints = self.shard.state.endpoints
            names = frozenset(n for n, known in endpoints.items() if not known.lost)
            inputs = (frozenset(self.peers.domain_peers()), names)
            if inputs != self.assignment_inputs:
                self.assignment_inputs = inputs
                self.run_loops(
                    sharing.share(self.settings.daemon_name, inputs[0], names)
                )
            await asyncio.sleep(self.settings.scheduler_poll_seconds)

    def run_loops(self, names):
        """Run a renewal loop for exactly the endpoints ``names``."""
        for name in [name for name in self.loops if name not in names]:
            self.loops.pop(name).cancel()
            del self.report_states[name]
        for name in names:
            if name not in self.loops:
                self.report_states[name] = ReportState()
                self.loops[name] = self.background.spawn(self.attend, name)

    async def attend(self, name):
        """Renew leases at one endpoint periodically."""
        poll = self.settings.scheduler_poll_seconds
        while True:
            interval = self.interval()
            unrecorded = await self.renew(name, interval - poll)
            # Polls for unrecorded reports back off exponentially.
            pause = min(interval, poll * 2**unrecorded) if unrecorded else poll
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

    # Renewals

    def lease_deadline(self):
        """Return the lease deadline that a renewal grants now."""
        settings = self.settings
        return attempts.renewal_deadline(
            self.clock.now(),
            self.shard.log.confirmed_at,
            settings.scheduler_lease_seconds,
            settings.scheduler_reclaim_after_seconds,
        )

    async def renew(self, name, wait_seconds):
        """Renew the leases at one endpoint and deliver its report.

        Returns how many consecutive reports are not yet recorded in the log.
        """
        # The lease deadline and the endpoint's state come from the same log read.
        endpoint = self.shard.state.endpoints.get(name)
        if endpoint is None or endpoint.lost:
            return 0
        report_state = self.report_states[name]
        since = self.next_since(report_state)
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
            self.notify_watchers(name, False)
            return 0
        self.notify_watchers(name, True)
        if report.version < renewal.since:
            # The worker was restarted and lost its record of attempts.
            report_state.since = None
            return 0
        reported_at = self.clock.now()
        await self.deliver_report(name, report, expected)
        log_is_newer = self.shard.log.confirmed_at > reported_at
        if attempts.unrecorded(self.shard.state, name, report.tasks, log_is_newer):
            report_state.unrecorded_reports += 1
        else:
            report_state.since = report.version
            report_state.unrecorded_reports = 0
        return report_state.unrecorded_reports

    def notify_watchers(self, name, answered):
        """Notify the watchers whether an endpoint answered."""
        for watcher in self.watchers:
            watcher(name, answered)

    @staticmethod
    def next_since(report_state):
        """Return the version to request changes from, ``None`` for a full report."""
        report_state.reports += 1
        if report_state.reports % REPORTS_PER_FULL_REPORT == 0:
            report_state.since = None
        return report_state.since

    # Reports

    async def deliver_report(self, name, report, expected):
        """Process a report here, or pass it to the daemon that schedules the domain."""
        if self.active:
            self.process_report(name, report, expected)
            return
        scheduler = self.peers.scheduler()
        if scheduler is None:
            return
        state, delivered = self.shard.state, self.report_states[name].delivered
        delivered.start_delivery(scheduler.id, bool(expected))
        missing = attempts.missing(set(expected), report.tasks)
        tasks = delivered.undelivered(state, name, report.tasks)
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
            log.debug("Could not pass a report to %s: %s.", scheduler.id, error)
            delivered.forget()
            return
        if reply.taken:
            delivered.mark_delivered(tasks)
        else:
            delivered.forget()

    async def on_report(self, message, _envelope):
        """Process a report from a peer if this daemon schedules the domain."""
        if self.active:
            report = packing.unpack(message.report)
            expected = {(a.job, a.index, a.attempt) for a in message.expected}
            self.process_report(message.endpoint, report, expected)
        return peer_wire.ReportTaken(self.active)

    def process_report(self, name, report, expected):
        """Convert a report to records and notify the listeners."""
        self.dispatcher.process_reports(name, report.tasks, expected)
        for listener in self.listeners:
            listener(name, report)
