"""Service "bootstrap": loads state from peers while the platform is unavailable.

State from a peer suffices to route requests and to renew leases, up to the deadline
that the peer itself could grant.  No decisions or log records are based on it.
"""

import asyncio

import msgspec

from clementinebay import decoding, errors, thriftcodec
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.service import Service
from clementinebay.shard import snapshot
from clementinebay.shard.wire import ttypes as shard_wire
from clementinebay.store.base import Vm

#: Time for the platform to answer before peers are asked, in seconds.
PLATFORM_WAIT_SECONDS = 2.0
#: Time between two rounds of queries to the seeds, in seconds.
ROUND_SECONDS = 1.0

log = Log("bootstrap")

_vms_decoder = decoding.Decoder(list[dict])


class Bootstrap(Service):
    """Queries the configured seeds until the platform or a peer has answered."""

    name = "bootstrap"
    requires = ("peers", "shard", "livelist", "config")

    async def start(self):
        """Answer peers that start; query the seeds if the platform does not answer."""
        self.shard = self.kernel.find("shard")
        self.livelist = self.kernel.find("livelist")
        self.peers = self.kernel.find("peers")
        self.peers.handle(wire.Kind.STATE, wire.StateQuery, self.on_query)
        self.background.spawn(self.ask)

    @property
    def is_informed(self):
        """Whether the shard's state and the list of VMs are known."""
        return bool(self.shard.log.confirmed_at and self.livelist.vms)

    async def ask(self):
        """Query the seeds in turn until the state is known."""
        await asyncio.sleep(PLATFORM_WAIT_SECONDS)
        while not self.is_informed:
            for seed in self.settings.peer_seeds:
                try:
                    await self.query_seed(seed)
                except errors.ClementineError as error:
                    log.debug("%s: %s.", seed, error)
            await asyncio.sleep(ROUND_SECONDS)

    async def query_seed(self, seed):
        """Query one seed; install its snapshot and its list of VMs."""
        vm = Vm(seed, "entry", seed, "")
        query = wire.StateQuery(self.settings.daemon_failure_domain)
        reply = await self.peers.query(vm, wire.Kind.STATE, query, wire.StateReply)
        if reply.snapshot:
            image = thriftcodec.decode(shard_wire.Snapshot, reply.snapshot)
            await self.shard.log.install_snapshot(image, reply.confirmed_at)
            self.shard.notify_waiters()
            log.info("Installed the state at index %d from %s.", image.index, seed)
        if reply.vms and not self.livelist.vms:
            try:
                vms = [Vm(**item) for item in _vms_decoder.decode(reply.vms)]
            except (TypeError, ValueError, OverflowError) as error:
                raise errors.FrameMalformedError(f"list of VMs: {error!r}") from error
            self.livelist.vms = {vm.id: vm for vm in vms}

    async def on_query(self, message, _envelope):
        """Reply with the list of VMs, and with a snapshot to a peer of this domain."""
        vms = [vm_fields(vm) for vm in self.livelist.vms.values()]
        reply = wire.StateReply(b"", 0.0, msgspec.json.encode(vms))
        shard_log = self.shard.log
        if message.domain == self.settings.daemon_failure_domain:
            reply.snapshot = thriftcodec.encode(snapshot.take(shard_log.state))
            reply.confirmed_at = shard_log.confirmed_at
        return reply


def vm_fields(vm):
    """Return the fields of a `Vm` as a dictionary."""
    return {name: getattr(vm, name) for name in Vm.__slots__}
