"""Service "bootstrap": a daemon that starts while the platform is away asks its peers.

The peers' word is enough to route requests and to go on renewing leases, up to the
deadline that the peer itself could still use.  Nothing is decided or written on it.
"""

import asyncio

import msgspec

from clementinebay import errors, thriftcodec
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.service import Service
from clementinebay.shard import snapshot
from clementinebay.shard.wire import ttypes as shard_wire
from clementinebay.store.base import Vm

#: The platform has so long to answer before peers are asked, in seconds.
PATIENCE_SECONDS = 2.0
#: Wait between two rounds of questions, in seconds.
AGAIN_SECONDS = 1.0

log = Log("bootstrap")


class Bootstrap(Service):
    """Asks the seeds of the settings until the platform or a peer has answered."""

    name = "bootstrap"
    requires = ("peers", "shard", "livelist", "config")

    async def start(self):
        """Answer peers that start, and begin to ask if need be."""
        self.shard = self.kernel.find("shard")
        self.livelist = self.kernel.find("livelist")
        self.peers = self.kernel.find("peers")
        self.peers.handle(wire.Kind.STATE, wire.StateQuery, self.on_query)
        self.background.spawn(self.ask)

    @property
    def informed(self):
        """Whether the shard and the list of VMs are known."""
        return bool(self.shard.log.confirmed_at and self.livelist.vms)

    async def ask(self):
        """Ask every seed until informed."""
        await asyncio.sleep(PATIENCE_SECONDS)
        while not self.informed:
            for seed in self.settings.peer_seeds:
                try:
                    await self.ask_seed(seed)
                except errors.ClementineError as error:
                    log.debug("%s: %s.", seed, error)
            await asyncio.sleep(AGAIN_SECONDS)

    async def ask_seed(self, seed):
        """Take what one peer knows."""
        vm = Vm(seed, "entry", seed, "")
        query = wire.StateQuery(self.settings.daemon_failure_domain)
        reply = await self.peers.query(vm, wire.Kind.STATE, query, wire.StateReply)
        if reply.snapshot:
            image = thriftcodec.decode(shard_wire.Snapshot, reply.snapshot)
            await self.shard.log.install_snapshot(image, reply.confirmed_at)
            self.shard.notify_waiters()
            log.info("Took the state at index %d from %s.", image.index, seed)
        if reply.vms and not self.livelist.vms:
            vms = [Vm(**item) for item in msgspec.json.decode(reply.vms)]
            self.livelist.vms = {vm.id: vm for vm in vms}

    async def on_query(self, message, _envelope):
        """Answer a peer with the list of VMs, and the state if of the same domain."""
        vms = [plain(vm) for vm in self.livelist.vms.values()]
        reply = wire.StateReply(b"", 0.0, msgspec.json.encode(vms))
        shard_log = self.shard.log
        if message.domain == self.settings.daemon_failure_domain:
            reply.snapshot = thriftcodec.encode(snapshot.take(shard_log.state))
            reply.confirmed_at = shard_log.confirmed_at
        return reply


def plain(vm):
    """Return a `Vm` as a dictionary."""
    return {name: getattr(vm, name) for name in Vm.__slots__}
