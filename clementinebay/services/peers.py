"""Service "peers": server and clients of the peer protocol, and gossip."""

import asyncio
import contextlib

import msgspec

from clementinebay import config, decoding, errors, tracing
from clementinebay.log import Log
from clementinebay.peer.gossip import Neighbour, ServiceTable
from clementinebay.peer.link import PeerClient, PeerServer
from clementinebay.peer.wire import ttypes as wire
from clementinebay.service import Service

#: Timeout of a gossip exchange or a query, in seconds.
QUERY_SECONDS = 2.0
#: A peer silent for this many heartbeats gets no requests and no share of renewals.
MAX_SILENT_HEARTBEATS = 3
#: Polling interval until the first list of VMs is known, in seconds.
LIST_POLL_SECONDS = 0.02

log = Log("peers")

_head_decoder = decoding.Decoder(config.Head)
_span_decoder = decoding.Decoder(tracing.SpanImage)


class Peers(Service):
    """Owns the connections to all peers on the live list.

    ``leading`` and ``leaving`` are announced by gossip: whether this daemon schedules
    its domain, and whether it is about to stop.
    """

    name = "peers"
    requires = ("livelist", "config", "shard", "tracing")

    async def start(self):
        """Open the server and start to gossip."""
        self.clients = {}
        self.neighbours = {}
        self.leaving = False
        self.leading = False
        self.table = ServiceTable(self.clock.now())
        self.announced = {}
        self.exchanges = {}
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
        """Register ``handler`` for messages of ``kind`` and class ``message``."""
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
        """Send a query to the peer on ``vm`` and return its reply."""
        deadline = self.clock.now() + QUERY_SECONDS
        return await self.client(vm).call(kind, message, reply_kind, deadline)

    # Gossip

    async def gossip(self):
        """Gossip with each peer after each change, and once per heartbeat otherwise."""
        await self.gossip_at_start()
        while True:
            vms = self.kernel.find("livelist").daemons()
            self.update_table()
            await self.forget(vms)
            for vm in vms:
                if vm.id not in self.exchanges and self.is_due(vm):
                    self.start_exchange(vm)
            await asyncio.sleep(self.settings.peer_gossip_seconds)

    async def gossip_at_start(self):
        """Gossip once with every peer, before the configuration is read."""
        livelist = self.kernel.find("livelist")
        while not (livelist.vms or livelist.confirmed_at):
            await asyncio.sleep(LIST_POLL_SECONDS)
        self.update_table()
        await asyncio.gather(*(self.tell(vm) for vm in livelist.daemons()))
        self.kernel.find("config").peers_asked.set()

    def start_exchange(self, vm):
        """Start an exchange with one peer, so that a slow peer delays no other."""
        task = self.exchanges[vm.id] = self.background.spawn(self.tell, vm)
        task.add_done_callback(lambda _task: self.exchanges.pop(vm.id, None))

    def update_table(self):
        """Update the table of services from the shard's state."""
        shard = self.kernel.find("shard")
        self.table.update(
            {name: len(shard.replicas(name)) for name in shard.service_names()}
        )

    def announced_values(self):
        """Return the values whose change is announced immediately."""
        return self.leaving, self.leading, self.table.version

    def is_due(self, vm):
        """Return whether the peer lacks the current values or a heartbeat is due.

        An exchange that the peer started counts too, since both sides learn from it.
        """
        neighbour = self.neighbours.get(vm.id)
        if neighbour is None or self.announced.get(vm.id) != self.announced_values():
            return True
        silence = self.clock.now() - neighbour.heard_at
        return silence >= self.settings.peer_heartbeat_seconds

    async def leave(self):
        """Announce to every peer that this daemon takes no more requests."""
        self.leaving = True
        vms = self.kernel.find("livelist").daemons()
        await asyncio.gather(*(self.tell(vm) for vm in vms))

    async def tell(self, vm):
        """Exchange gossip with one peer."""
        values = self.announced_values()
        try:
            message = self.gossip_for(vm.id)
            reply = await self.query(vm, wire.Kind.GOSSIP, message, wire.Gossip)
            self.learn(reply)
            self.announced[vm.id] = values
            if self.has_newer_config(reply):
                await self.fetch_config(vm)
        except errors.PeerError as error:
            log.debug("%s: %s.", vm.id, error)
            if neighbour := self.neighbours.get(vm.id):
                neighbour.fresh_until = 0.0

    def gossip_for(self, name):
        """Return gossip for peer ``name``: changes since the version it has."""
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
        """Record a peer's gossip; raise `FrameMalformedError` if it is incomplete."""
        counts = [capacity.replicas for capacity in gossip.services or ()]
        if not gossip.daemon or gossip.config_revision is None or None in counts:
            raise errors.FrameMalformedError("gossip lacks a field")
        neighbour = self.neighbours.setdefault(gossip.daemon, Neighbour())
        neighbour.learn(gossip)
        neighbour.heard_at = self.clock.now()
        silence = MAX_SILENT_HEARTBEATS * self.settings.peer_heartbeat_seconds
        neighbour.fresh_until = neighbour.heard_at + silence

    async def on_gossip(self, message, _envelope):
        """Record a peer's gossip and reply with this daemon's own."""
        self.learn(message)
        self.update_table()
        self.announced[message.daemon] = self.announced_values()
        if self.has_newer_config(message):
            for vm in self.kernel.find("livelist").daemons():
                if vm.id == message.daemon:
                    self.background.spawn(self.catch_up, vm)
        return self.gossip_for(message.daemon)

    async def forget(self, vms):
        """Forget silent peers that are not in ``vms``, and close unused clients."""
        listed = {vm.id for vm in vms}
        now = self.clock.now()
        for name, neighbour in list(self.neighbours.items()):
            if name not in listed and neighbour.fresh_until < now:
                del self.neighbours[name]
                self.announced.pop(name, None)
        addresses = {vm.address for vm in vms}
        for address, client in list(self.clients.items()):
            if address not in addresses and not client.waiting:
                del self.clients[address]
                await client.close()

    def live_neighbour(self, vm):
        """Return the `Neighbour` on ``vm``, ``None`` if it is silent or leaving."""
        neighbour = self.neighbours.get(vm.id)
        if neighbour is None or neighbour.fresh_until < self.clock.now():
            return None
        return None if neighbour.gossip.leaving else neighbour

    def domain_peers(self):
        """Return the names of this domain's other daemons, unless silent or leaving.

        They need not be on the live list, which lags and may be unreachable.
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
        """Return the peer that announces to schedule this domain, or ``None``."""
        domain = self.settings.daemon_failure_domain
        for vm in self.kernel.find("livelist").daemons():
            neighbour = self.live_neighbour(vm)
            if neighbour and neighbour.gossip.leading and vm.failure_domain == domain:
                return vm
        return None

    def serving(self, service):
        """Return (vm, replica count) of peers in other domains that run ``service``."""
        found = []
        for vm in self.kernel.find("livelist").daemons():
            neighbour = self.live_neighbour(vm)
            if neighbour is None or vm.failure_domain == (
                self.settings.daemon_failure_domain
            ):
                continue
            replicas = neighbour.replicas(service)
            if replicas:
                found.append((vm, replicas))
        return found

    # Configuration from peers

    def has_newer_config(self, gossip):
        """Return whether the peer has a newer configuration than this daemon."""
        return gossip.config_revision > self.kernel.find("config").document.revision

    async def catch_up(self, vm):
        """Fetch the newer configuration of a peer; log a failure."""
        try:
            await self.fetch_config(vm)
        except errors.PeerError as error:
            log.debug("%s: %s.", vm.id, error)

    async def fetch_config(self, vm):
        """Fetch the configuration from the peer on ``vm``; adopt it if it is newer."""
        watcher = self.kernel.find("config")
        known = watcher.document
        digests = [ref.digest for ref in known.head.sections.values()]
        query = wire.ConfigQuery(known.revision, digests)
        reply = await self.query(vm, wire.Kind.CONFIG, query, wire.ConfigReply)
        if reply.revision <= known.revision:
            return
        text_by_digest = {config.digest(text): text for text in known.texts.values()}
        text_by_digest.update(reply.texts)
        try:
            head = _head_decoder.decode(reply.head)
            texts = {
                name: text_by_digest[ref.digest] for name, ref in head.sections.items()
            }
        except (errors.UnreadableError, KeyError) as error:
            raise errors.FrameMalformedError(f"configuration: {error!r}") from error
        watcher.adopt(config.Document(head, texts, known))

    async def on_config(self, message, _envelope):
        """Reply with the sections that the peer lacks, if it has an older revision."""
        document = self.kernel.find("config").document
        if document.revision <= message.revision:
            return wire.ConfigReply(document.revision, b"", {})
        missing_texts = {
            config.digest(text): text
            for text in document.texts.values()
            if config.digest(text) not in message.digests
        }
        head = msgspec.json.encode(document.head)
        return wire.ConfigReply(document.revision, head, missing_texts)

    # Spans

    async def on_spans(self, message, _envelope):
        """Reply with this daemon's spans of a trace."""
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
                found += readable_spans(reply.spans)
        return sorted(found, key=lambda span: span.start)


def readable_spans(texts):
    """Return the spans among ``texts`` that can be decoded."""
    spans = []
    for text in texts:
        with contextlib.suppress(errors.UnreadableError):
            spans.append(_span_decoder.decode(text))
    return spans
