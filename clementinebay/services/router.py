"""Service "router": takes a request to a replica, here or through a peer."""

import asyncio
import random
from collections import defaultdict

from clementinebay import claims, errors, metrics, model, tracing
from clementinebay.peer.wire import ttypes as wire
from clementinebay.policy import retry, routing
from clementinebay.service import Service

#: Longest time between two looks for a free replica, in seconds.
RECHECK_SECONDS = 0.05


class Router(Service):
    """Routes requests; ``in_progress`` counts those that are not answered yet."""

    name = "router"
    requires = ("peers", "shard", "driver", "tracing", "livelist", "platform")

    async def start(self):
        """Begin to take requests."""
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.driver = self.kernel.find("driver").driver
        self.tracer = self.kernel.find("tracing").tracer
        self.claims = claims.Claims(self.kernel.find("platform").store, self.clock)
        self.loads = defaultdict(routing.Load)
        self.budget = retry.RetryBudget(self.settings.router_retry_percent)
        self.rng = random.Random(self.settings.daemon_name)
        self.in_progress = 0
        self.draining = False
        self.freed = asyncio.Event()
        self.peers.handle(wire.Kind.FORWARD, wire.Forward, self.on_forward)

    async def route(self, request):
        """Return the `Answer` to ``request`` or raise a `RequestError`."""
        if self.draining:
            raise errors.DrainingError("the daemon is stopping")
        if self.in_progress >= self.settings.router_queue_limit:
            raise errors.OverloadedError("too many requests wait")
        self.in_progress += 1
        try:
            if request.key and request.hops:
                await self.claims.claim(request.key, request.id, request.deadline)
                # The claim is made here; a peer must not make it again.
            return await self.attempts(request)
        finally:
            self.in_progress -= 1

    async def attempts(self, request):
        """Try replicas until one answers or nothing more may be tried."""
        self.budget.earn()
        excluded = set()
        lost = None
        while True:
            try:
                return await self.attempt(request, excluded)
            except errors.NotRunError as error:
                # An earlier attempt may have run although this one did not.
                raise lost or error from None
            except (
                errors.EndpointUnreachableError,
                errors.EndpointRefusedError,
            ) as error:
                failure = lost or errors.NotRunError(str(error))
            except errors.EndpointAnswerLostError as error:
                failure = lost = errors.OutcomeUnknownError(str(error))
                if not request.repeatable:
                    raise failure from error
            if not self.budget.spend():
                raise failure

    async def attempt(self, request, excluded):
        """Send ``request`` to one replica, or through one peer."""
        replica = await self.pick(request, excluded)
        if replica is None:
            return await self.forward(request)
        excluded.add(replica.endpoint)
        load = self.loads[replica.endpoint]
        load.in_flight += 1
        try:
            with self.tracer.span("endpoint", endpoint=replica.endpoint):
                status, body = await self.driver.request(
                    replica.address,
                    request.service,
                    request.id,
                    request.body,
                    request.deadline,
                    tracing.traceparent(),
                )
            return model.Answer(status, body)
        finally:
            load.in_flight -= 1
            self.freed.set()
            self.freed = asyncio.Event()

    async def pick(self, request, excluded):
        """Return a replica with a free share, or ``None`` if a peer should serve."""
        while True:
            replicas = self.shard.replicas(request.service)
            barred = excluded | self.kernel.find("livelist").leaving
            usable = [r for r in replicas if r.endpoint not in barred]
            if not usable:
                return None
            choice = routing.choose(usable, self.loads, self.share, excluded, self.rng)
            if choice is not None:
                return choice
            if self.clock.now() >= request.deadline:
                raise errors.DeadlinePassedError("no replica was free in time")
            try:
                async with asyncio.timeout(RECHECK_SECONDS):
                    await self.freed.wait()
            except TimeoutError:
                pass

    def share(self, replica):
        """Return the requests this daemon may have in flight at ``replica``."""
        domain = self.settings.daemon_failure_domain
        daemons = self.kernel.find("livelist").daemons()
        alike = 1 + sum(vm.failure_domain == domain for vm in daemons)
        return max(1, replica.connections // alike)

    async def forward(self, request):
        """Send ``request`` through a peer of another domain."""
        if not request.hops:
            raise errors.NoEndpointError(f"no replica of {request.service} here")
        serving = self.peers.serving(request.service)
        if not serving:
            raise errors.NoEndpointError(f"no replica of {request.service} anywhere")
        weights = [replicas for _vm, replicas in serving]
        vm, _replicas = self.rng.choices(serving, weights)[0]
        message = wire.Forward(
            request.service,
            request.client,
            request.id,
            request.repeatable,
            request.key,
            request.body,
            request.hops - 1,
        )
        metrics.FORWARDS.inc()
        with self.tracer.span("peer", peer=vm.id):
            try:
                reply = await self.peers.client(vm).call(
                    wire.Kind.FORWARD,
                    message,
                    wire.ForwardReply,
                    request.deadline,
                    tracing.traceparent(),
                )
            except errors.PeerUnreachableError as error:
                raise errors.NotRunError(str(error)) from error
            except errors.PeerError as error:
                raise errors.OutcomeUnknownError(str(error)) from error
        return model.Answer(reply.status, reply.body)

    async def on_forward(self, message, envelope):
        """Answer a request that a peer forwarded."""
        request = model.Request(
            message.service_name,
            message.client,
            message.request_id,
            envelope.deadline,
            message.repeatable,
            message.key,
            message.body,
            message.hops,
        )
        with self.tracer.span("forwarded", envelope.traceparent):
            answer = await self.route(request)
        return wire.ForwardReply(answer.status, answer.body)

    async def drain(self, deadline):
        """Take no more requests and wait for those in progress."""
        self.draining = True
        self.peers.leaving = True
        while self.in_progress and self.clock.now() < deadline:
            await asyncio.sleep(RECHECK_SECONDS)
