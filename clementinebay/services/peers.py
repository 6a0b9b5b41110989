"""Service "peers": the peer server, clients, gossip and what peers told."""

import asyncio

import msgspec

from clementinebay import config, errors, tracing
from clementinebay.log import Log
from clementinebay.peer.gossip import Neighbour, ServiceTable
from clementinebay.peer.link import PeerClient, PeerServer
from clementinebay.peer.wire import ttypes as wire
from clementinebay.service import Service

#: Longest wait for an answer to gossip or a query, in seconds.
QUERY_SECONDS = 2.0
#: A peer that missed so many heartbeats takes no requests and renews no leases.
SILENT_HEARTBEATS = 3
#: Time between two looks for the first list of VMs, in seconds.
FIRST_LIST_SECONDS = 0.02

log = Log("peers")


class Peers(Service):
    """Owns the links to all peers on the live list."""

    name = "peers"
    requires = ("livelist", "config", "shard", "tracing")

    async def start(self):
        """Open the server and begin to gossip."""
        self.clients = {}
        self.neighbours = {}
        self.leaving = False
        self.leading = False
        self.table = ServiceTable(self.clock.now())
        self.told = {}
        self.telling = {}
        self.handlers = {
            wire.Kind.GOSSIP: (wire.Gossip, self.on_gossip),
            wire.Kind.CONFIG: (wire.ConfigQuery, self.on_config),
            wire.Kind.SPANS: (wire.SpansQuery, self.on_spans),
        }
        self.server = PeerServer(
            self.settings.peer_address,
            self.settings.peer_port,
            self.settings.peer_max_frame_bytes,
            self.handlers,
        )
        await self.server.__aenter__()
        self.background.spawn(self.gossip)

    async def stop(self):
        """Close the server and the clients."""
        await self.background.__aexit__()
        await self.server.__aexit__()
        for client in self.clients.values():
            await client.close()

    def handle(self, kind, message, handler):
        """Have ``handler`` answer messages of ``kind``, of class ``message``."""
        self.handlers[kind] = (message, handler)

    def client(self, vm):
        """Return the client for the peer on ``vm``."""
        client = self.clients.get(vm.address)
        if client is None:
            limit = self.settings.peer_max_frame_bytes
            client = PeerClient(vm.address, limit, self.clock)
            self.clients[vm.address] = client
        return client

    async def query(self, vm, kind, message, reply_kind):
        """Ask the peer on ``vm`` and return its reply."""
        deadline = self.clock.now() + QUERY_SECONDS
        return await self.client(vm).call(kind, message, reply_kind, deadline)

    # Gossip

    async def gossip(self):
        """Tell peers of this daemon when there is news, and now and then without."""
        await self.tell_first()
        while True:
            vms = self.kernel.find("livelist").daemons()
            self.refresh()
            await self.forget(vms)
            for vm in vms:
                if vm.id not in self.telling and self.is_due(vm):
                    self.begin_to_tell(vm)
            await asyncio.sleep(self.settings.peer_gossip_seconds)

    async def tell_first(self):
        """Ask every peer once, before the platform's word of the configuration."""
        livelist = self.kernel.find("livelist")
        while not (livelist.vms or livelist.confirmed_at):
            await asyncio.sleep(FIRST_LIST_SECONDS)
        self.refresh()
        await asyncio.gather(*(self.tell(vm) for vm in livelist.daemons()))
        self.kernel.find("config").peers_asked.set()

    def begin_to_tell(self, vm):
        """Exchange gossip with one peer, while others are told too."""
        task = self.telling[vm.id] = self.background.spawn(self.tell, vm)
        task.add_done_callback(lambda _task: self.telling.pop(vm.id, None))

    def refresh(self):
        """Bring the table of services up to date."""
        shard = self.kernel.find("shard")
        self.table.update(
            {name: len(shard.replicas(name)) for name in shard.service_names()}
        )

    def standing(self):
        """Return what peers are told at once when it changes."""
        return self.leaving, self.leading, self.table.version

    def is_due(self, vm):
        """Return whether the peer on ``vm`` lacks news or was silent for long.

        A message that the peer sent counts as well, for both sides learn from it.
        """
        neighbour = self.neighbours.get(vm.id)
        if neighbour is None or self.told.get(vm.id) != self.standing():
            return True
        silence = self.clock.now() - neighbour.heard_at
        return silence >= self.settings.peer_heartbeat_seconds

    async def leave(self):
        """Tell every peer at once that this daemon takes no more requests."""
        self.leaving = True
        vms = self.kernel.find("livelist").daemons()
        await asyncio.gather(*(self.tell(vm) for vm in vms))

    async def tell(self, vm):
        """Exchange gossip with one peer."""
        standing = self.standing()
        try:
            news = self.news(vm.id)
            reply = await self.query(vm, wire.Kind.GOSSIP, news, wire.Gossip)
            self.learn(reply)
            self.told[vm.id] = standing
            if self.lags(reply):
                await self.fetch_config(vm)
        except errors.PeerError as error:
            log.debug("%s: %s.", vm.id, error)
            if neighbour := self.neighbours.get(vm.id):
                neighbour.fresh_until = 0.0

    def news(self, name):
        """Return this daemon's gossip for peer ``name``, without what that knows."""
        neighbour = self.neighbours.get(name)
        base = self.table.base(neighbour.acknowledged_version if neighbour else 0)
        return wire.Gossip(
            daemon=self.settings.daemon_name,
            domain=self.settings.daemon_failure_domain,
            config_revision=self.kernel.find("config").document.revision,
            services=[
                wire.ServiceCapacity(service, replicas, 0)
                for service, replicas in self.table.changes(base)
            ],
            leaving=self.leaving,
            leading=self.leading,
            version=self.table.version,
            base=base,
            known=neighbour.version if neighbour else 0,
        )

    def learn(self, gossip):
        """Keep what a peer told; raise `FrameMalformedError` if it is incomplete."""
        counts = [capacity.replicas for capacity in gossip.services or ()]
        if not gossip.daemon or gossip.config_revision is None or None in counts:
            raise errors.FrameMalformedError("gossip lacks a field")
        neighbour = self.neighbours.setdefault(gossip.daemon, Neighbour())
        neighbour.learn(gossip)
        neighbour.heard_at = self.clock.now()
        silence = SILENT_HEARTBEATS * self.settings.peer_heartbeat_seconds
        neighbour.fresh_until = neighbour.heard_at + silence

    async def on_gossip(self, message, _envelope):
        """Answer gossip with this daemon's own."""
        self.learn(message)
        self.refresh()
        self.told[message.daemon] = self.standing()
        if self.lags(message):
            for vm in self.kernel.find("livelist").daemons():
                if vm.id == message.daemon:
                    self.background.spawn(self.catch_up, vm)
        return self.news(message.daemon)

    async def forget(self, vms):
        """Forget peers that are no longer on the live list and have gone silent."""
        listed = {vm.id for vm in vms}
        now = self.clock.now()
        for name, neighbour in list(self.neighbours.items()):
            if name not in listed and neighbour.fresh_until < now:
                del self.neighbours[name]
                self.told.pop(name, None)
        addresses = {vm.address for vm in vms}
        for address, client in list(self.clients.items()):
            if address not in addresses and not client.waiting:
                del self.clients[address]
                await client.close()

    def fresh(self, vm):
        """Return the `Neighbour` on ``vm``, ``None`` if it is silent or leaving."""
        neighbour = self.neighbours.get(vm.id)
        if neighbour is None or neighbour.fresh_until < self.clock.now():
            return None
        return None if neighbour.gossip.leaving else neighbour

    def domain_peers(self):
        """Return the names of the other daemons of this domain that can be relied on.

        They need not be on the live list, which lags and may be out of reach.
        """
        now = self.clock.now()
        domain = self.settings.daemon_failure_domain
        return {
            name
            for name, neighbour in self.neighbours.items()
            if neighbour.gossip.domain == domain
            and not neighbour.gossip.leaving
            and neighbour.fresh_until >= now
        }

    def scheduler(self):
        """Return the peer that schedules this domain, ``None`` if none says so."""
        domain = self.settings.daemon_failure_domain
        for vm in self.kernel.find("livelist").daemons():
            neighbour = self.fresh(vm)
            if neighbour and neighbour.gossip.leading and vm.failure_domain == domain:
                return vm
        return None

    def serving(self, service):
        """Return (vm, replicas) of peers in other domains that run ``service``."""
        found = []
        for vm in self.kernel.find("livelist").daemons():
            neighbour = self.fresh(vm)
            if neighbour is None or vm.failure_domain == (
                self.settings.daemon_failure_domain
            ):
                continue
            replicas = neighbour.replicas(service)
            if replicas:
                found.append((vm, replicas))
        return found

    # Configuration from peers

    def lags(self, gossip):
        """Return whether a peer's ``gossip`` names a newer configuration."""
        return gossip.config_revision > self.kernel.find("config").document.revision

    async def catch_up(self, vm):
        """Take the document of a peer that told of a newer one."""
        try:
            await self.fetch_config(vm)
        except errors.PeerError as error:
            log.debug("%s: %s.", vm.id, error)

    async def fetch_config(self, vm):
        """Take a newer document from the peer on ``vm``."""
        watcher = self.kernel.find("config")
        known = watcher.document
        digests = [ref.digest for ref in known.head.sections.values()]
        query = wire.ConfigQuery(known.revision, digests)
        reply = await self.query(vm, wire.Kind.CONFIG, query, wire.ConfigReply)
        if reply.revision <= known.revision:
            return
        head = msgspec.json.decode(reply.head, type=config.Head)
        held = {config.digest(text): text for text in known.texts.values()}
        held.update(reply.texts)
        texts = {name: held[ref.digest] for name, ref in head.sections.items()}
        watcher.adopt(config.Document(head, texts, known))

    async def on_config(self, message, _envelope):
        """Answer with the document if it is newer than the peer's."""
        document = self.kernel.find("config").document
        if document.revision <= message.revision:
            return wire.ConfigReply(document.revision, b"", {})
        lacking = {
            config.digest(text): text
            for text in document.texts.values()
            if config.digest(text) not in message.digests
        }
        head = msgspec.json.encode(document.head)
        return wire.ConfigReply(document.revision, head, lacking)

    # Spans

    async def on_spans(self, message, _envelope):
        """Answer with this daemon's spans of a trace."""
        spans = self.kernel.find("tracing").tracer.spans.find(message.trace_id)
        return wire.SpansReply([msgspec.json.encode(span).decode() for span in spans])

    async def spans(self, trace_id):
        """Return the spans of a trace from this daemon and all its peers."""
        found = list(self.kernel.find("tracing").tracer.spans.find(trace_id))
        query = wire.SpansQuery(trace_id)
        replies = await asyncio.gather(
            *(
                self.query(vm, wire.Kind.SPANS, query, wire.SpansReply)
                for vm in self.kernel.find("livelist").daemons()
            ),
            return_exceptions=True,
        )
        for reply in replies:
            if isinstance(reply, wire.SpansReply):
                found += [
                    msgspec.json.decode(text, type=tracing.SpanImage)
                    for text in reply.spans
                ]
        return sorted(found, key=lambda span: span.start)
