"""Service "peers": the peer server, clients, gossip and what peers told."""

import asyncio

import msgspec

from clementinebay import config, errors, tracing
from clementinebay.log import Log
from clementinebay.peer.link import PeerClient, PeerServer
from clementinebay.peer.wire import ttypes as wire
from clementinebay.service import Service

#: Longest wait for an answer to gossip or a query, in seconds.
QUERY_SECONDS = 2.0
#: Time between two looks for the first list of VMs, in seconds.
FIRST_LIST_SECONDS = 0.02
#: A peer that has not gossiped for so long takes no requests, in seconds.
SILENCE_SECONDS = 5.0

log = Log("peers")


class Neighbour:
    """What a peer last told of itself; ``fresh_until`` is a deadline."""

    __slots__ = ("gossip", "fresh_until")

    def __init__(self, gossip, fresh_until):
        self.gossip = gossip
        self.fresh_until = fresh_until

    def replicas(self, service):
        """Return how many replicas of ``service`` the peer's domain runs."""
        for capacity in self.gossip.services or ():
            if capacity.service_name == service:
                return capacity.replicas
        return 0


class Peers(Service):
    """Owns the links to all peers on the live list."""

    name = "peers"
    requires = ("livelist", "config", "shard", "tracing")

    async def start(self):
        """Open the server and begin to gossip."""
        self.clients = {}
        self.neighbours = {}
        self.leaving = False
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
        """Tell every peer of this daemon at every interval."""
        livelist = self.kernel.find("livelist")
        while not (livelist.vms or livelist.confirmed_at):
            await asyncio.sleep(FIRST_LIST_SECONDS)
        while True:
            await asyncio.gather(*(self.tell(vm) for vm in livelist.daemons()))
            self.kernel.find("config").peers_asked.set()
            await asyncio.sleep(self.settings.peer_gossip_seconds)

    async def leave(self):
        """Tell every peer at once that this daemon takes no more requests."""
        self.leaving = True
        vms = self.kernel.find("livelist").daemons()
        await asyncio.gather(*(self.tell(vm) for vm in vms))

    async def tell(self, vm):
        """Exchange gossip with one peer."""
        try:
            reply = await self.query(vm, wire.Kind.GOSSIP, self.news(), wire.Gossip)
            self.learn(reply)
            if reply.config_revision > self.kernel.find("config").document.revision:
                await self.fetch_config(vm)
        except errors.PeerError as error:
            log.debug("%s: %s.", vm.id, error)

    def news(self):
        """Return this daemon's gossip."""
        shard = self.kernel.find("shard")
        return wire.Gossip(
            self.settings.daemon_name,
            self.settings.daemon_failure_domain,
            self.kernel.find("config").document.revision,
            [
                wire.ServiceCapacity(name, len(shard.replicas(name)), 0)
                for name in shard.service_names()
            ],
            self.leaving,
        )

    def learn(self, gossip):
        """Keep what a peer told; raise `FrameMalformedError` if it is incomplete."""
        counts = [capacity.replicas for capacity in gossip.services or ()]
        if not gossip.daemon or gossip.config_revision is None or None in counts:
            raise errors.FrameMalformedError("gossip lacks a field")
        fresh_until = self.clock.now() + SILENCE_SECONDS
        self.neighbours[gossip.daemon] = Neighbour(gossip, fresh_until)

    async def on_gossip(self, message, _envelope):
        """Answer gossip with this daemon's own."""
        self.learn(message)
        return self.news()

    def serving(self, service):
        """Return (vm, replicas) of peers in other domains that run ``service``."""
        now = self.clock.now()
        found = []
        for vm in self.kernel.find("livelist").daemons():
            neighbour = self.neighbours.get(vm.id)
            if (
                neighbour is None
                or neighbour.fresh_until < now
                or neighbour.gossip.leaving
                or vm.failure_domain == self.settings.daemon_failure_domain
            ):
                continue
            replicas = neighbour.replicas(service)
            if replicas:
                found.append((vm, replicas))
        return found

    # Configuration from peers

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
        watcher.adopt(config.Document(head, texts))

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
