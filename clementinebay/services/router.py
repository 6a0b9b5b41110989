"""Service "router": takes a request to a replica, here or through a peer."""

import asyncio
import random
from collections import defaultdict

from clementinebay import claims, errors, metrics, model, tickets, tracing
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.policy import health, hedge, overload, retry, routing
from clementinebay.service import Service
from clementinebay.services.lane import Lane

#: Time between two looks at those who wait, in seconds.
RECHECK_SECONDS = 0.02
#: Orders' share of the connections that a daemon may have to one endpoint.
ORDER_CONNECTIONS = 2


log = Log("router")


class Router(Service):
    """Routes requests; ``in_progress`` counts those that are not answered yet."""

    name = "router"
    requires = ("config", "peers", "shard", "driver", "tracing", "livelist", "platform")

    async def start(self):
        """Begin to take requests."""
        settings = self.settings
        self.shard = self.kernel.find("shard")
        self.peers = self.kernel.find("peers")
        self.livelist = self.kernel.find("livelist")
        self.config = self.kernel.find("config")
        self.driver = self.kernel.find("driver").driver
        self.tracer = self.kernel.find("tracing").tracer
        self.claims = claims.SharedClaims(
            self.kernel.find("platform").store, self.clock
        )
        self.tickets = tickets.TicketIssuer(
            settings.daemon_name, settings.router_ticket_limit
        )
        self.loads = defaultdict(routing.Load)
        self.lanes = {}
        self.hedges = defaultdict(hedge.HedgeDelay)
        self.policy = routing.POLICIES[settings.router_policy]()
        self.ejector = health.Ejector(settings.router_eject_percent)
        self.budget = retry.RetryBudget(settings.router_retry_percent)
        self.rng = random.Random(settings.daemon_name)
        self.clients = overload.ClientLimit()
        self.in_progress = 0
        self.draining = False
        self.seen_vms = None
        self.sharers = 1
        self.peers.handle(wire.Kind.FORWARD, wire.Forward, self.on_forward)
        self.peers.handle(wire.Kind.REDEEM, wire.Redeem, self.on_redeem)
        self.background.spawn(self.recheck)

    # Requests from clients and from peers

    async def route(self, request):
        """Return the `Answer` to a client's ``request`` or raise a `RequestError`."""
        if not request.key:
            return await self.serve(request)
        self.check(request)
        release = await self.claim(request)
        request.claimed = True
        try:
            return await self.serve(request)
        except errors.NotRunError:
            self.background.spawn(release)
            raise

    async def on_forward(self, message, envelope):
        """Answer a request that a peer forwarded; the peer has claimed its key."""
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
        request.claimed = True
        with self.tracer.remote("forwarded", envelope.traceparent):
            answer = await self.serve(request)
        return wire.ForwardReply(answer.status, answer.body)

    async def serve(self, request):
        """Answer a request whose key, if any, is claimed."""
        self.check(request)
        if self.clients.refuses(request.client):
            raise errors.OverloadedError("this client has too many requests here")
        self.clients.hold(request.client, self.clock.now())
        self.in_progress += 1
        try:
            return await self.attempts(request)
        except errors.InvariantBrokenError as error:
            metrics.INVARIANTS_BROKEN.inc()
            log.error("An invariant is broken: %s.", error)
            raise errors.OutcomeUnknownError(str(error)) from error
        finally:
            self.in_progress -= 1
            self.clients.release(request.client)

    def check(self, request):
        """Raise a `NotRunError` if ``request`` need not be tried at all."""
        if self.draining:
            raise errors.DrainingError("the daemon is stopping")
        if request.deadline <= self.clock.now():
            raise errors.DeadlinePassedError("the deadline has passed")

    # Keys that run once

    async def claim(self, request):
        """Claim the key; return a coroutine function that gives it back."""
        issuer = tickets.issuer(request.key)
        if issuer:
            await self.redeem(issuer, request)
            return lambda: self.redeem(issuer, request, release=True)
        with self.tracer.span("platform"):
            made = await self.claims.claim(request.key, request.id, request.deadline)
        return lambda: self.claims.release(made)

    async def redeem(self, issuer, request, release=False):
        """Use a ticket at its issuer, or give its use back."""
        message = wire.Redeem(request.key, request.id, release)
        if issuer == self.settings.daemon_name:
            await self.on_redeem(message, None)
            return
        vm = next((vm for vm in self.livelist.daemons() if vm.id == issuer), None)
        if vm is None:
            if release:
                return
            raise errors.KeyNotClaimedError(f"the ticket's issuer {issuer} is gone")
        try:
            await self.peers.client(vm).call(
                wire.Kind.REDEEM, message, wire.RedeemReply, request.deadline
            )
        except errors.PeerError as error:
            if not release:
                raise errors.KeyNotClaimedError(f"{issuer}: {error}") from error

    async def on_redeem(self, message, _envelope):
        """Use a ticket of this daemon, or give its use back."""
        if message.release:
            self.tickets.release(message.ticket, message.request_id)
        else:
            now = self.clock.now()
            self.tickets.redeem(message.ticket, message.request_id, now)
        return wire.RedeemReply()

    # Attempts

    async def attempts(self, request):
        """Try until an attempt is answered or no further one is allowed.

        Once an attempt may have run, no later refusal makes the outcome "not run".
        """
        self.budget.earn()
        excluded = set()
        unknown = None
        while True:
            try:
                return await self.attempt(request, excluded)
            except errors.AttemptNotRunError as error:
                failure = unknown or error
            except errors.NotRunError as error:
                raise unknown or error from None
            except errors.OutcomeUnknownError as error:
                failure = unknown = error
                if not request.repeatable:
                    raise
            if self.clock.now() >= request.deadline or not self.budget.spend():
                raise failure
            metrics.RETRIES.inc()

    async def attempt(self, request, excluded):
        """Send ``request`` to one replica, or through one peer."""
        lane = self.lane(request.service)
        usable = lane.usable()
        replica = lane.try_place(usable, excluded)
        if replica is None:
            fresh = [pair for pair in usable if pair[0].endpoint not in excluded]
            vm = self.remote(request, lane, fresh, excluded) if request.hops else None
            if vm is not None:
                excluded.add(vm.id)
                return await self.forward(request, vm)
            if not fresh:
                raise errors.NoEndpointError(f"no replica of {request.service} is left")
            replica = await lane.wait(request, fresh, excluded)
        excluded.add(replica.endpoint)
        if request.repeatable:
            return await self.send_hedged(request, replica, lane, excluded)
        return await self.send(request, replica, lane)

    async def send(self, request, replica, lane):
        """Send ``request`` to a replica where it holds a place."""
        start = self.clock.now()
        worked = cancelled = False
        try:
            request.begin_attempt()
            with self.tracer.span("endpoint", endpoint=replica.endpoint):
                status, body = await self.driver.request(
                    replica.address,
                    request.service,
                    request.id,
                    request.body,
                    request.deadline,
                    tracing.traceparent(),
                )
            worked = status < 500
            return model.Answer(status, body)
        except (
            errors.EndpointUnreachableError,
            errors.EndpointRefusedError,
        ) as error:
            request.record_not_run()
            raise errors.AttemptNotRunError(str(error)) from error
        except errors.EndpointAnswerLostError as error:
            raise errors.OutcomeUnknownError(str(error)) from error
        except asyncio.CancelledError:
            cancelled = True
            raise
        finally:
            self.note_latency(lane, replica, worked or cancelled, start)
            if not cancelled:
                self.note_health(replica, worked)
            lane.free(replica)

    def note_latency(self, lane, replica, known, start):
        """Learn a latency, or that it is longer than so far; not from a failure."""
        if not known:
            return
        now = self.clock.now()
        self.loads[replica.endpoint].observe(now - start, now)
        lane.load.observe(now - start, now)
        self.hedges[lane.service].observe(now - start)

    def note_health(self, replica, worked):
        """Count an attempt at a replica; one that was cancelled shows nothing."""
        if self.ejector.observe(replica.endpoint, worked, self.clock.now()):
            metrics.EJECTIONS.inc()

    async def send_hedged(self, request, replica, lane, excluded):
        """Send a repeatable request, and a copy elsewhere if it takes long."""
        delay = self.hedges[request.service].seconds
        if delay is None or len(lane.usable()) < 2:
            return await self.send(request, replica, lane)
        section = f"service:{request.service}"
        lane.hedges.percent = self.config.document.get(section, "hedge_percent")
        lane.hedges.earn()
        tasks = {asyncio.create_task(self.send(request, replica, lane))}
        try:
            await asyncio.wait(tasks, timeout=delay)
            if not next(iter(tasks)).done():
                second = lane.choose(lane.usable(), excluded)
                if second is not None and self.may_hedge(lane):
                    metrics.HEDGES.inc()
                    lane.take(second)
                    excluded.add(second.endpoint)
                    tasks.add(asyncio.create_task(self.send(request, second, lane)))
            return await first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def may_hedge(self, lane):
        """Take a copy from the budgets of the service and of the daemon."""
        return not lane.queue and lane.hedges.spend() and self.budget.spend()

    # Other domains

    def remote(self, request, lane, usable, excluded):
        """Return the peer that should serve ``request``, ``None`` to wait here."""
        serving = [
            (vm, count)
            for vm, count in self.peers.serving(request.service)
            if vm.id not in excluded
        ]
        if not serving:
            if usable or excluded:
                return None
            raise errors.NoEndpointError(f"no replica of {request.service} anywhere")
        weights = [count for _vm, count in serving]
        vm = self.rng.choices([vm for vm, _count in serving], weights)[0]
        if not usable:
            return vm
        here = lane.wait_seconds(request.client, usable) + lane.load.latency
        there = max(self.loads[vm.id].faded(self.clock.now()), lane.load.latency)
        cost = self.settings.router_spill_seconds
        return vm if routing.should_spill(here, there, cost) else None

    async def forward(self, request, vm):
        """Send ``request`` through a peer of another domain."""
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
        request.begin_attempt()
        load = self.loads[vm.id]
        load.in_flight += 1
        start = self.clock.now()
        try:
            with self.tracer.span("peer", peer=vm.id):
                reply = await self.peers.client(vm).call(
                    wire.Kind.FORWARD,
                    message,
                    wire.ForwardReply,
                    request.deadline,
                    tracing.traceparent(),
                )
        except (errors.PeerUnreachableError, errors.FrameTooLargeError) as error:
            request.record_not_run()
            raise errors.AttemptNotRunError(f"{vm.id}: {error}") from error
        except errors.NotRunError as error:
            request.record_not_run()
            text = f"{vm.id}: {error.code}: {error}"
            raise errors.AttemptNotRunError(text) from error
        except errors.ClementineError as error:
            raise errors.OutcomeUnknownError(f"{vm.id}: {error}") from error
        finally:
            load.in_flight -= 1
        now = self.clock.now()
        load.observe(now - start, now)
        return model.Answer(reply.status, reply.body)

    # Lanes and limits

    def lane(self, service):
        """Return the lane of ``service``."""
        found = self.lanes.get(service)
        if found is None:
            found = self.lanes[service] = Lane(self, service)
        return found

    def share(self, replica):
        """Return the requests this daemon may have in flight at ``replica``."""
        if self.livelist.vms is not self.seen_vms:
            self.count_sharers()
        settings = self.settings
        connections = routing.connection_share(
            replica.connections,
            ORDER_CONNECTIONS,
            self.sharers,
            settings.router_daemons_per_domain,
        )
        slots = routing.slot_share(
            replica.slots, self.sharers, settings.router_slot_percent
        )
        return min(connections, slots)

    def count_sharers(self):
        """Count the daemons that share this domain's endpoints, this one too."""
        self.seen_vms = self.livelist.vms
        domain = self.settings.daemon_failure_domain
        daemons = self.livelist.daemons()
        self.sharers = 1 + sum(vm.failure_domain == domain for vm in daemons)

    def dispatch(self):
        """Give free places to those who wait, whatever their service."""
        for lane in self.lanes.values():
            if lane.queue:
                lane.dispatch()

    async def recheck(self):
        """Look at those who wait; places also become free by time and by the log.

        How late the look comes shows how late all else is.
        """
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + RECHECK_SECONDS
            await asyncio.sleep(RECHECK_SECONDS)
            self.clients.adapt(loop.time() - due, self.clock.now())
            for name, lane in list(self.lanes.items()):
                if lane.queue:
                    lane.expire()
                    lane.dispatch()
                elif not self.shard.replicas(name):
                    del self.lanes[name]

    async def drain(self, deadline):
        """Take no more requests and wait for those in progress."""
        self.draining = True
        self.peers.leaving = True
        while self.in_progress and self.clock.now() < deadline:
            await asyncio.sleep(RECHECK_SECONDS)


async def first_answer(tasks):
    """Return the first answer of ``tasks``, or raise the failure that says most.

    One copy that may have run makes the outcome unknown.
    """
    pending = tasks
    failures = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.exception() is None:
                return task.result()
            failures.append(task.exception())
    unknown = [f for f in failures if isinstance(f, errors.OutcomeUnknownError)]
    raise (unknown or failures)[0]
