"""Service "router": sends requests to replicas, in this domain or through a peer."""

import asyncio
import random
from collections import defaultdict

from clementinebay import claims, errors, metrics, model, tickets, tracing
from clementinebay.log import Log
from clementinebay.peer.wire import ttypes as wire
from clementinebay.policy import health, hedge, overload, retry, routing
from clementinebay.service import Service
from clementinebay.services.lane import ServiceQueue

#: Time between two checks of the queued requests, in seconds.
RECHECK_SECONDS = 0.02
#: Connections to one endpoint that a daemon reserves for orders.
ORDER_CONNECTIONS = 2


log = Log("router")


class Router(Service):
    """Routes requests; ``in_progress`` counts unanswered requests."""

    name = "router"
    requires = ("config", "peers", "shard", "driver", "tracing", "livelist", "platform")

    async def start(self):
        """Open the router for requests from clients and peers."""
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
        self.service_queues = {}
        self.hedges = defaultdict(hedge.HedgeDelay)
        self.policy = routing.POLICIES[settings.router_policy]()
        self.ejector = health.Ejector(settings.router_eject_percent)
        self.budget = retry.RetryBudget(settings.router_retry_percent)
        self.rng = random.Random(settings.daemon_name)
        self.clients = overload.ClientLimit()
        self.in_progress = 0
        self.draining = False
        self.counted_vms = None
        self.sharers = 1
        self.peers.handle(wire.Kind.FORWARD, wire.Forward, self.on_forward)
        self.peers.handle(wire.Kind.REDEEM, wire.Redeem, self.on_redeem)
        self.background.spawn(self.recheck)

    # Requests from clients and from peers

    async def route(self, request):
        """Return the `Answer` to a client's ``request`` or raise a `RequestError`.

        The key, if any, is claimed first, and released if the request did not run.
        """
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
        """Answer a forwarded request; the sending peer has claimed its key."""
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
        """Answer a request whose key, if any, is already claimed."""
        self.check(request)
        if self.clients.refuses(request.client):
            raise errors.OverloadedError(
                "this client has too many requests in progress"
            )
        self.clients.hold(request.client, self.clock.now())
        self.in_progress += 1
        try:
            return await self.attempts(request)
        except errors.InvariantBrokenError as error:
            metrics.INVARIANTS_BROKEN.inc()
            log.error("Invariant broken: %s.", error)
            raise errors.OutcomeUnknownError(str(error)) from error
        finally:
            self.in_progress -= 1
            self.clients.release(request.client)

    def check(self, request):
        """Raise a `NotRunError` if the daemon drains or the deadline has passed."""
        if self.draining:
            raise errors.DrainingError("the daemon is stopping")
        if request.deadline <= self.clock.now():
            raise errors.DeadlinePassedError("the deadline has passed")

    # Keys of requests that run at most once

    async def claim(self, request):
        """Claim the key; return a coroutine function that releases the claim."""
        issuer = tickets.issuer(request.key)
        if issuer:
            await self.redeem(issuer, request)
            return lambda: self.redeem(issuer, request, release=True)
        with self.tracer.span("platform"):
            claim_record = await self.claims.claim(
                request.key, request.id, request.deadline
            )
        return lambda: self.claims.release(claim_record)

    async def redeem(self, issuer, request, release=False):
        """Redeem the request's ticket at its issuer, or undo that if ``release``."""
        message = wire.Redeem(request.key, request.id, release)
        if issuer == self.settings.daemon_name:
            await self.on_redeem(message, None)
            return
        vm = next((vm for vm in self.livelist.daemons() if vm.id == issuer), None)
        if vm is None:
            if release:
                return
            raise errors.KeyNotClaimedError(
                f"the ticket's issuer {issuer} is not on the live list"
            )
        try:
            await self.peers.client(vm).call(
                wire.Kind.REDEEM, message, wire.RedeemReply, request.deadline
            )
        except errors.PeerError as error:
            if not release:
                raise errors.KeyNotClaimedError(f"{issuer}: {error}") from error

    async def on_redeem(self, message, _envelope):
        """Redeem a ticket issued by this daemon, or undo that."""
        if message.release:
            self.tickets.release(message.ticket, message.request_id)
        else:
            now = self.clock.now()
            self.tickets.redeem(message.ticket, message.request_id, now)
        return wire.RedeemReply()

    # Attempts

    async def attempts(self, request):
        """Retry until answered, or until the deadline or the retry budget is reached.

        Once an attempt may have run, the outcome stays "unknown" even if all later
        attempts are refused.
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
        """Send ``request`` to one replica, or forward it to one peer."""
        queue = self.service_queue(request.service)
        usable = queue.usable()
        replica = queue.try_reserve(usable, excluded)
        if replica is None:
            untried = [pair for pair in usable if pair[0].endpoint not in excluded]
            vm = (
                self.choose_peer(request, queue, untried, excluded)
                if request.hops
                else None
            )
            if vm is not None:
                excluded.add(vm.id)
                return await self.forward(request, vm)
            if not untried:
                raise errors.NoEndpointError(f"no replica of {request.service} is left")
            replica = await queue.wait(request, untried, excluded)
        excluded.add(replica.endpoint)
        if request.repeatable:
            return await self.send_hedged(request, replica, queue, excluded)
        return await self.send(request, replica, queue)

    async def send(self, request, replica, queue):
        """Send ``request`` to a replica at which it has reserved a slot."""
        start = self.clock.now()
        succeeded = cancelled = False
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
            succeeded = status < 500
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
            self.observe_latency(queue, replica, succeeded or cancelled, start)
            if not cancelled:
                self.observe_outcome(replica, succeeded)
            queue.release(replica)

    def observe_latency(self, queue, replica, valid, start):
        """Record a latency, for cancelled attempts the lower bound; skip failures."""
        if not valid:
            return
        now = self.clock.now()
        self.loads[replica.endpoint].observe(now - start, now)
        queue.load.observe(now - start, now)
        self.hedges[queue.service].observe(now - start)

    def observe_outcome(self, replica, succeeded):
        """Record whether an attempt at ``replica`` succeeded, for outlier ejection."""
        if self.ejector.observe(replica.endpoint, succeeded, self.clock.now()):
            metrics.EJECTIONS.inc()

    async def send_hedged(self, request, replica, queue, excluded):
        """Send a repeatable request; hedge it at a second replica after a delay."""
        delay = self.hedges[request.service].seconds
        if delay is None or len(queue.usable()) < 2:
            return await self.send(request, replica, queue)
        section = f"service:{request.service}"
        queue.hedges.percent = self.config.document.get(section, "hedge_percent")
        queue.hedges.earn()
        tasks = {asyncio.create_task(self.send(request, replica, queue))}
        try:
            await asyncio.wait(tasks, timeout=delay)
            if not next(iter(tasks)).done():
                second = queue.choose(queue.usable(), excluded)
                if second is not None and self.spend_hedge(queue):
                    metrics.HEDGES.inc()
                    queue.reserve(second)
                    excluded.add(second.endpoint)
                    tasks.add(asyncio.create_task(self.send(request, second, queue)))
            return await first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def spend_hedge(self, queue):
        """Spend one hedge from the budgets of the service and of the daemon.

        Returns ``False`` if a budget is exhausted or requests of the service wait.
        """
        return not queue.pending and queue.hedges.spend() and self.budget.spend()

    # Other domains

    def choose_peer(self, request, queue, usable, excluded):
        """Return the peer to forward ``request`` to, ``None`` to queue it here."""
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
        here = queue.wait_seconds(request.client, usable) + queue.load.latency
        there = max(
            self.loads[vm.id].current_latency(self.clock.now()), queue.load.latency
        )
        cost = self.settings.router_spill_seconds
        return vm if routing.should_spill(here, there, cost) else None

    async def forward(self, request, vm):
        """Forward ``request`` to a peer of another domain."""
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

    # Queues and limits

    def service_queue(self, service):
        """Return the queue of ``service``, created on first use."""
        queue = self.service_queues.get(service)
        if queue is None:
            queue = self.service_queues[service] = ServiceQueue(self, service)
        return queue

    def in_flight_limit(self, replica):
        """Return how many requests this daemon may have in flight at ``replica``."""
        if self.livelist.vms is not self.counted_vms:
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
        """Count the daemons of this domain, this one included: they share endpoints."""
        self.counted_vms = self.livelist.vms
        domain = self.settings.daemon_failure_domain
        daemons = self.livelist.daemons()
        self.sharers = 1 + sum(vm.failure_domain == domain for vm in daemons)

    def dispatch(self):
        """Assign free slots to the queued requests of all services."""
        for queue in self.service_queues.values():
            if queue.pending:
                queue.dispatch()

    async def recheck(self):
        """Check the queued requests periodically.

        Slots also become free as time passes and as the shard's state changes. The
        lateness of each check measures the lag of the event loop.
        """
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + RECHECK_SECONDS
            await asyncio.sleep(RECHECK_SECONDS)
            self.clients.adapt(loop.time() - due, self.clock.now())
            for name, queue in list(self.service_queues.items()):
                if queue.pending:
                    queue.expire()
                    queue.dispatch()
                elif not self.shard.replicas(name):
                    del self.service_queues[name]

    async def drain(self, deadline):
        """Refuse new requests and wait for those in progress."""
        self.draining = True
        self.peers.leaving = True
        while self.in_progress and self.clock.now() < deadline:
            await asyncio.sleep(RECHECK_SECONDS)


async def first_answer(tasks):
    """Return the first answer of ``tasks``, or raise a failure if all fail.

    If any copy may have run, the failure is an `OutcomeUnknownError`.
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
