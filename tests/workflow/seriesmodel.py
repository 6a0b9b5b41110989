"""The model of `tests.workflow.model` with terms that end in series.

Schedulers are stopped, killed, or cut from the store and go on by the limit that they
have stored; several may end one after the other, also before their first write, and
endpoints may be lost with them.  Writes may take effect without an answer, or fail for
a time.  A new scheduler reaches some endpoints later than
it writes first.  Endpoints announce that they leave, and go; clocks run at different
rates; requests for reports may be executed late.  Some endpoints are out of reach of
all schedulers for a time.  Replicas run until the end.
"""

from clementinebay.workflow.model import Step
from tests.workflow import factory
from tests.workflow.model import (
    MAX_DELAY_SECONDS,
    TTL_SECONDS,
    ModelEndpoint,
    ModelScheduler,
    World,
)

#: Time from the end of a scheduler that is stopped or killed to the next term.
ELECTION_SECONDS = 0.6
#: Longest notice of an endpoint that leaves.
MAX_NOTICE_SECONDS = 9.0
#: Longest time for which an endpoint is out of reach of all schedulers.
MAX_CUT_SECONDS = 12.0
#: Longest time for which writes fail, or take effect without an answer.
MAX_STORE_AWAY_SECONDS = 5.0
REPLICA_JOBS = 3


class SeriesEndpoint(ModelEndpoint):
    """An endpoint whose clock is 0 to 2% slow, and which may leave.

    No scheduler reaches it before ``cut_until``.
    """

    def __init__(self, id, domain, world):
        self.rate = world.random.choice((980, 990, 1000))
        self.goes_at = None
        self.cut_until = 0.0
        super().__init__(id, domain, world)

    def clock_ms(self, now):
        """Return the endpoint's monotonic clock."""
        return int((now - self.started_at) * self.rate)


class SeriesScheduler(ModelScheduler):
    """One scheduler's term, which may end at any time.

    ``ended`` is true once its process is gone.  Endpoints in ``slow`` are first reached
    at ``reached_at``.  Until ``store_away_until`` all writes have the same outcome.
    """

    def __init__(self, world, term, now):
        self.ended = False
        self.store_away_until = 0.0
        self.store_away_draw = 0.0
        super().__init__(world, term, now)
        random = world.random
        self.slow = {e.id for e in world.endpoints if random.random() < 0.3}
        self.unreachable |= self.slow
        self.reached_at = now + random.uniform(0.2, 2.0)
        self.first_write_at = now + random.uniform(0.0, 1.0)
        for endpoint_id in world.used_endpoints.keys() - world.listed():
            model = world.by_id[endpoint_id]
            info = factory.make_info(
                endpoint_id, born_ms=model.born, failure_domain=model.domain
            )
            self.engine.await_endpoint(info, now)

    @property
    def current(self):
        """Whether the store accepts writes of this term."""
        return self.world.scheduler is self and not self.world.vacant

    def step(self, now):
        """Do the work of a scheduler in one step, unless it has ended."""
        if self.ended:
            return
        if now >= self.reached_at:
            self.unreachable -= self.slow
            self.slow = set()
        for endpoint_id in self.engine.endpoints.keys() - self.world.listed():
            self.engine.unlist_endpoint(endpoint_id)
            endpoint = self.engine.endpoints[endpoint_id]
            self.request_report(self.world.by_id[endpoint_id], endpoint, now)
        super().step(now)

    def send_start(self, order, now):
        """Send a start order with a random outcome."""
        late_orders = self.world.late_orders
        count = len(late_orders)
        super().send_start(order, now)
        if len(late_orders) > count and not self.world.late_at_restarted:
            at, action, args = late_orders.pop()
            model = self.world.by_id[order.endpoint.id]
            self.world.execute_late(model, action, args, at - now)

    def reaches(self, model):
        """Return whether an order reaches the endpoint."""
        return super().reaches(model) and self.world.now >= model.cut_until

    def request_report(self, model, endpoint, now):
        """Request a report from an endpoint; the request may be executed late."""
        lease_seconds = self.lease_seconds(endpoint, now)
        deadline_ms = endpoint.extend(now, lease_seconds)
        random = self.world.random
        args = (deadline_ms, endpoint.last_acknowledged_end, endpoint.fence(self.fence))
        if not self.reaches(model) or random.random() < 0.03:
            endpoint.mark_silent(now)
            if random.random() < 0.3:
                delay = random.uniform(0.1, MAX_DELAY_SECONDS)
                self.world.execute_late(model, model.report, args, delay)
            return
        report = model.report(now, *args)
        if report is None:
            self.alive = False
        elif random.random() < 0.95:
            self.engine.process_report(endpoint, report, now, now)

    def store(self, now):
        """Store the engine's changes; writes may fail, or succeed without an answer."""
        if now < self.first_write_at:
            return
        jobs, ends = self.engine.drain_changes()
        records = [(job, job.progress()) for job in jobs]
        record = self.engine.leases.prepare(now)
        prepared = None if record is None else self.engine.leases.prepared
        starting = self.engine.starting.prepare(now, prepared)
        draw = self.world.random.random()
        if now < self.store_away_until:
            draw = self.store_away_draw
        if draw < 0.8:
            self.write(records, record)
            self.world.starting_record = starting or self.world.starting_record
        if draw < 0.7:
            if record is not None:
                self.engine.leases.mark_stored()
            if starting is not None:
                self.engine.starting.mark_stored()
            self.engine.mark_stored(records, ends)
        else:
            self.engine.requeue_changes(jobs)

    def write(self, records, record):
        """Let a write take effect, with the endpoints in use."""
        super().write(records, record)
        engine, used = self.engine, self.world.used_endpoints
        for endpoint_id in list(used):
            expected = engine.inherited_endpoints.expects(endpoint_id)
            if endpoint_id not in engine.endpoints and not expected:
                del used[endpoint_id]


class SeriesWorld(World):
    """A world in which terms end in series and endpoints leave.

    ``vacant`` is true while there is no scheduler.  With ``late_at_restarted``, late
    orders are also executed by later incarnations of an endpoint.
    """

    endpoint_class = SeriesEndpoint
    scheduler_class = SeriesScheduler

    def __init__(self, seed, late_at_restarted=False):
        self.vacant = False
        self.late_at_restarted = late_at_restarted
        super().__init__(seed, endpoints=6)

    def listed(self):
        """Return the ids of the listed endpoints; a crashed one stays listed."""
        return {endpoint.id for endpoint in self.endpoints}

    def execute_late(self, model, action, args, delay):
        """Execute an order late, unless the endpoint has restarted by then."""
        born = model.born

        def execute(now, *args):
            if model.up and model.born == born:
                action(now, *args)

        self.late_orders.append((self.now + delay, execute, args))

    def end_term(self):
        """Stop or kill the scheduler, or cut it from the store; begin the next term."""
        old = self.scheduler
        how = self.random.choice(("stop", "kill", "cut"))
        if self.random.random() < 0.4:
            endpoint = self.random.choice(self.endpoints)
            endpoint.cut_until = self.now + MAX_CUT_SECONDS
        if how == "stop":
            old.store(self.now)
        self.vacant = True
        if how == "cut":
            seconds = TTL_SECONDS
        else:
            old.ended = True
            seconds = ELECTION_SECONDS
        until = self.now + seconds
        while self.now < until:
            self.step()
        if how == "cut":
            self.replaced_schedulers.append(old)
        term = old.term + 1
        if self.lease_record is not None and self.lease_record.term == old.term:
            self.lease_record.term = term
        else:
            self.lease_record = None
        self.scheduler = self.scheduler_class(self, term, self.now)
        self.vacant = False

    def inject_fault(self):
        """Inject a random fault."""
        kind = self.random.choice(("terms", "leave", "cut", "cut", "store", "other"))
        if kind == "terms":
            for _number in range(self.random.randint(1, 4)):
                self.end_term()
                for _step in range(self.random.choice((0, 3, 10, 20))):
                    self.step()
        elif kind == "cut":
            self.cut()
        elif kind == "store":
            seconds = self.random.uniform(0.5, MAX_STORE_AWAY_SECONDS)
            self.scheduler.store_away_until = self.now + seconds
            self.scheduler.store_away_draw = self.random.choice((0.75, 0.9))
        elif kind == "leave":
            self.leave(self.random.choice(self.endpoints))
        else:
            super().inject_fault()

    def submit(self):
        """Submit a job, of replicas at first."""
        if len(self.submitted) >= REPLICA_JOBS:
            super().submit()
            return
        job_id = f"{self.random.getrandbits(64):016x}"
        steps = [Step(count=3, processors_milli=500, replica=True)]
        domain = self.random.choice("ab")
        self.submitted[job_id] = factory.make_spec(job_id, steps, domain)

    def finish(self, seconds=60.0):
        """Remove all faults, cancel the replicas, and assert that every job ends."""
        for endpoint in self.endpoints:
            endpoint.cut_until = 0.0
        for job_id in list(self.submitted)[:REPLICA_JOBS]:
            self.scheduler.load_job(job_id, self.now, inherited=True)
            self.scheduler.engine.cancel(job_id)
        super().finish(seconds)

    def replace_scheduler(self):
        """Start a new term."""
        if self.scheduler is None:
            super().replace_scheduler()
        else:
            self.end_term()

    def cut(self):
        """Cut an endpoint off for a time; most cuts are short."""
        endpoint = self.random.choice(self.endpoints)
        longest = self.random.choice((1.5, 1.5, MAX_CUT_SECONDS))
        endpoint.cut_until = self.now + self.random.uniform(0.3, longest)

    def leave(self, endpoint):
        """Let an endpoint announce that it leaves, and start another in its place."""
        if endpoint.leaving or not endpoint.up:
            return
        endpoint.leaving = True
        endpoint.goes_at = self.now + self.random.uniform(1.0, MAX_NOTICE_SECONDS)
        number = len(self.by_id)
        other = self.endpoint_class(f"e{number}", endpoint.domain, self)
        other.restart(self.now)
        self.endpoints.append(other)
        self.by_id[other.id] = other

    def step(self):
        """Let endpoints go whose time has come; advance the time by one step."""
        for endpoint in list(self.endpoints):
            if endpoint.goes_at is not None and self.now >= endpoint.goes_at:
                endpoint.up = False
                endpoint.runs = {}
                self.endpoints.remove(endpoint)
        super().step()
