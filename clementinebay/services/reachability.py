"""Service "reachability": finds listed endpoints that nobody can reach.

A daemon whose renewal fails asks the one that schedules to look itself.  So one
daemon's broken way to an endpoint costs nothing: the look renews the leases.
"""

import asyncio

from clementinebay import errors
from clementinebay.endpoint.base import Renewal
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.policy.reachability import Reachability
from clementinebay.service import Service

#: Time between two looks at endpoints that were given up, in seconds.
PROBE_SECONDS = 2.0
#: Endpoints that one round of such looks calls at most.
PROBES = 8

log = Log("reachability")


class EndpointReachability(Service):
    """Holds ``policy``, which counts only while this daemon schedules."""

    name = "reachability"
    requires = ("peers", "driver", "shard", "renewals", "livelist")

    async def start(self):
        """Begin to listen to renewals and to peers."""
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.driver = self.kernel.find("driver").driver
        self.renewals = self.kernel.find("renewals")
        self.policy = Reachability(self.settings.scheduler_lease_seconds)
        self.failing = set()
        self.looking = {}
        self.next_probe = 0
        self.renewals.watchers.append(self.note)
        self.peers.handle(wire.Kind.LOOK, wire.Look, self.on_look)
        self.background.spawn(self.probe)

    async def stop(self):
        """Abandon looks in progress."""
        for task in list(self.looking.values()):
            task.cancel()

    def note(self, name, answered):
        """Take the result of a renewal at endpoint ``name``."""
        if self.renewals.active:
            self.judge(name, answered)
        elif not answered or name in self.failing:
            self.once(name, self.ask(name))
        if answered:
            self.failing.discard(name)
        else:
            self.failing.add(name)

    def judge(self, name, answered):
        """Keep the result of a call that this daemon made itself."""
        if answered:
            self.policy.answered(name)
        else:
            self.policy.failed(name, self.clock.now())

    def once(self, name, coroutine):
        """Run ``coroutine`` unless one for the same endpoint runs."""
        if name in self.looking:
            coroutine.close()
            return
        task = self.looking[name] = asyncio.create_task(coroutine)
        task.add_done_callback(lambda _task: self.looking.pop(name, None))

    async def ask(self, name):
        """Ask the daemon that schedules to look at an endpoint."""
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
        """Look at an endpoint because a peer asks for it."""
        known = self.shard.state.endpoints.get(message.endpoint)
        if self.renewals.active and known is not None and not known.lost:
            address = known.seen.address
            self.once(message.endpoint, self.look(message.endpoint, address))
        return wire.ReportTaken(self.renewals.active)

    async def look(self, name, address):
        """Call an endpoint; renew its leases unless it was given up."""
        known = self.shard.state.endpoints.get(name)
        lost = known is None or known.lost
        deadline = 0.0 if lost else self.renewals.lease_deadline()
        try:
            report = await self.driver.renew(address, Renewal(deadline))
        except errors.EndpointError:
            self.judge(name, False)
            return
        self.judge(name, True)
        if not lost:
            self.renewals.process_report(name, report, ())

    async def probe(self):
        """Look now and then at endpoints that were given up and are still listed."""
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
            for vm in self.turn(lost):
                self.once(vm.id, self.look(vm.id, vm.address))

    def turn(self, vms):
        """Return the next `PROBES` of ``vms``, all of them in turn."""
        if len(vms) <= PROBES:
            return vms
        start = self.next_probe % len(vms)
        self.next_probe = start + PROBES
        return (vms + vms)[start : start + PROBES]

    def trusted(self, vms):
        """Return those of the listed ``vms`` that take part in the shard."""
        return self.policy.trusted(self.shard.state, vms, self.clock.now())
