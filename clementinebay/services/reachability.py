"""Service "reachability": detects endpoints on the live list that are unreachable.

A daemon whose renewal fails asks the scheduling daemon to probe the endpoint.  The
probe renews the leases, so a broken link from a single daemon does no harm.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import Renewal
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.policy.reachability import Reachability
from clementinebay.service import Service

#: Time between two rounds of probes of lost endpoints, in seconds.
PROBE_SECONDS = 2.0
#: Largest number of endpoints probed in one round.
PROBES_PER_ROUND = 8

log = Log("reachability")


class EndpointReachability(Service):
    """Records results of calls in ``policy``, used while this daemon schedules."""

    name = "reachability"
    requires = ("peers", "driver", "shard", "renewals", "livelist")

    async def start(self):
        """Subscribe to results of renewals and to peers' requests for probes."""
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.driver = self.kernel.find("driver").driver
        self.renewals = self.kernel.find("renewals")
        self.policy = Reachability(self.settings.scheduler_lease_seconds)
        self.failing = set()
        self.running_probes = {}
        self.next_position = 0
        self.renewals.watchers.append(self.on_renewal)
        self.peers.handle(wire.Kind.LOOK, wire.Look, self.on_look)
        self.background.spawn(self.probe)

    async def stop(self):
        """Cancel probes in progress."""
        for task in list(self.running_probes.values()):
            task.cancel()

    def on_renewal(self, name, answered):
        """Handle the result of a renewal at endpoint ``name``."""
        if self.renewals.active:
            self.record_result(name, answered)
        elif not answered or name in self.failing:
            self.start_once(name, self.request_probe(name))
        if answered:
            self.failing.discard(name)
        else:
            self.failing.add(name)

    def record_result(self, name, answered):
        """Record the result of a call that this daemon made."""
        if answered:
            self.policy.answered(name)
        else:
            self.policy.failed(name, self.clock.now())

    def start_once(self, name, coroutine):
        """Start ``coroutine`` unless one for the same endpoint is running."""
        if name in self.running_probes:
            coroutine.close()
            return
        task = self.running_probes[name] = asyncio.create_task(coroutine)
        task.add_done_callback(lambda _task: self.running_probes.pop(name, None))

    async def request_probe(self, name):
        """Ask the scheduling daemon to probe an endpoint."""
        scheduler = self.peers.scheduler()
        if scheduler is None:
            return
        try:
            await self.peers.query(
                scheduler, wire.Kind.LOOK, wire.Look(name), wire.ReportTaken
            )
        except errors.PeerError as error:
            log.debug("%s: %s.", scheduler.id, error)

    async def on_look(self, message, _envelope):
        """Probe an endpoint at a peer's request, if this daemon schedules."""
        known = self.shard.state.endpoints.get(message.endpoint)
        if self.renewals.active and known is not None and not known.lost:
            address = known.seen.address
            self.start_once(
                message.endpoint, self.probe_endpoint(message.endpoint, address)
            )
        return wire.ReportTaken(self.renewals.active)

    async def probe_endpoint(self, name, address):
        """Call an endpoint; renew its leases unless it is lost."""
        known = self.shard.state.endpoints.get(name)
        lost = known is None or known.lost
        deadline = 0.0 if lost else self.renewals.lease_deadline()
        try:
            report = await self.driver.renew(address, Renewal(deadline))
        except errors.EndpointError:
            self.record_result(name, False)
            return
        self.record_result(name, True)
        if not lost:
            self.renewals.process_report(name, report, ())

    async def probe(self):
        """Probe lost endpoints that are still on the live list, periodically."""
        livelist = self.kernel.find("livelist")
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            if not self.renewals.active:
                continue
            known = self.shard.state.endpoints
            lost = [
                vm
                for vm in livelist.endpoints(self.settings.daemon_failure_domain)
                if vm.id in known and known[vm.id].lost
            ]
            for vm in self.next_batch(lost):
                self.start_once(vm.id, self.probe_endpoint(vm.id, vm.address))

    def next_batch(self, vms):
        """Return the next `PROBES_PER_ROUND` of ``vms``, in round-robin order."""
        if len(vms) <= PROBES_PER_ROUND:
            return vms
        start = self.next_position % len(vms)
        self.next_position = start + PROBES_PER_ROUND
        return (vms + vms)[start : start + PROBES_PER_ROUND]

    def trusted(self, vms):
        """Return the listed ``vms`` that count as members of the shard."""
        return self.policy.trusted(self.shard.state, vms, self.clock.now())
