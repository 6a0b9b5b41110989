"""The model of `tests.workflow.seriesmodel` with requests that outlive incarnations.

Endpoints crash while requests for reports are under way, come back under their ids and
are listed late; the requests reach the next incarnation.  Soon after, the endpoints are
out of reach of all schedulers, and a term ends.  Runs may outlast the longest lease.
The store names the starts of the incarnations that have reported.
"""

from clementinebay.workflow import leases
from tests.workflow.seriesmodel import SeriesEndpoint, SeriesScheduler, SeriesWorld

#: Longest lease that endpoints accept where it is far beyond the longest granted one.
LONG_LEASE_SECONDS = 10.0
#: Longest time for which an endpoint is down, from its return until a request for the
#: incarnation before arrives, and from there until its entry is listed.
MAX_DOWN_SECONDS = 0.6
MAX_UNDER_WAY_SECONDS = 0.5
MAX_UNLISTED_SECONDS = 2.0
#: Longest time from the return to the cut, and shortest and longest time of the cut.
MAX_GAP_SECONDS = 3.0
CUT_SECONDS = (3.0, 9.0)


class RestartEndpoint(SeriesEndpoint):
    """An endpoint whose entry names the incarnation before until ``listed_at``."""

    def __init__(self, id, domain, world):
        self.listed_at = 0.0
        super().__init__(id, domain, world)
        self.max_lease_seconds = world.max_lease_seconds


class RestartScheduler(SeriesScheduler):
    """One scheduler's term; ``recorded`` has the starts to be stored, by endpoint."""

    def __init__(self, world, term, now):
        self.recorded = dict(world.used_starts)
        super().__init__(world, term, now)

    def expect_endpoint(self, endpoint_id, domain):
        """Expect runs at an endpoint that the store names as in use."""
        record = self.world.lease_record
        stored = leases.UNKNOWN if record is None else record.of(endpoint_id)
        self.engine.inherited_endpoints.expect(
            endpoint_id, domain, stored, self.world.used_starts[endpoint_id]
        )

    def register(self, model, now):
        """Register an endpoint as listed; it is used once its start is stored."""
        born = model.born if now >= model.listed_at else model.born - 1
        endpoint = self.engine.register_endpoint(self.listed_info(model, born), now)
        start = endpoint.info.born_ms
        endpoint.recorded = self.world.used_starts.get(model.id) == start
        if endpoint.has_reported or model.id not in self.recorded:
            self.recorded[model.id] = start

    def write(self, records, record):
        """Let a write take effect; the endpoints in use go with a `LeaseRecord`."""
        world = self.world
        if record is not None:
            for endpoint_id, start in self.recorded.items():
                world.used_endpoints[endpoint_id] = world.by_id[endpoint_id].domain
                world.used_starts[endpoint_id] = start
        super().write(records, record)
        for endpoint_id in world.used_starts.keys() - world.used_endpoints.keys():
            del world.used_starts[endpoint_id]
            self.recorded.pop(endpoint_id, None)

    def leave_request(self, model, delay, now):
        """Let a request for a report be under way until ``delay`` s later."""
        endpoint = self.engine.endpoints.get(model.id)
        if endpoint is None or self.ended or not self.reaches(model):
            return
        deadline_ms = endpoint.extend(now, self.lease_seconds(endpoint, now))
        args = (deadline_ms, endpoint.last_acknowledged_end, endpoint.fence(self.fence))
        self.world.execute_late(model, model.report, args, delay)


class RestartWorld(SeriesWorld):
    """A world in which requests for reports reach later incarnations.

    With ``late_acknowledgements``, such requests also acknowledge ends, which an
    incarnation takes for its own.
    """

    endpoint_class = RestartEndpoint
    scheduler_class = RestartScheduler
    max_run_seconds = 12.0

    def __init__(
        self,
        seed,
        max_lease_seconds=LONG_LEASE_SECONDS,
        late_acknowledgements=False,
        late_at_restarted=False,
    ):
        self.max_lease_seconds = max_lease_seconds
        self.late_acknowledgements = late_acknowledgements
        self.used_starts = {}
        self.events = []
        super().__init__(seed, late_at_restarted)

    def execute_late(self, model, action, args, delay):
        """Execute an order late; only requests for reports outlive an incarnation."""
        if action != model.report:
            super().execute_late(model, action, args, delay)
            return
        born = model.born

        def execute(now, deadline_ms, acknowledged, fence):
            if model.born != born and not self.late_acknowledgements:
                acknowledged = 0
            model.report(now, deadline_ms, acknowledged, fence)

        self.late_orders.append((self.now + delay, execute, args))

    def step(self):
        """Let events happen whose time has come; advance the time by one step."""
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        for _at, action, *args in due:
            action(*args)
        super().step()

    def inject_fault(self):
        """Inject a random fault."""
        if self.random.random() < 0.4:
            self.recut()
        else:
            super().inject_fault()

    def recut(self):
        """Restart endpoints, cut the same ones off soon after, and end a term."""
        domain = self.random.choice("ab")
        models = [e for e in self.endpoints if e.up and e.domain == domain]
        models = models[: self.random.randint(1, 3)]
        back_at = self.now + self.random.uniform(0.1, MAX_DOWN_SECONDS)
        cut_at = back_at + self.random.uniform(0.2, MAX_GAP_SECONDS)
        end_at = self.random.uniform(self.now, cut_at + MAX_GAP_SECONDS)
        for model in models:
            delay = back_at - self.now + self.random.uniform(0.0, MAX_UNDER_WAY_SECONDS)
            for scheduler in [self.scheduler, *self.replaced_schedulers]:
                scheduler.leave_request(model, delay, self.now)
            model.up = False
            model.runs = {}
            self.events.append((back_at, self.bring_back, model))
            self.events.append((cut_at, self.cut_off, model))
        self.events.append((end_at, self.end_term))

    def bring_back(self, model):
        """Start the next incarnation of an endpoint, which may be listed late."""
        if model.up or model not in self.endpoints:
            return
        model.up = True
        model.restart(self.now)
        unlisted = self.random.choice((0.0, MAX_UNLISTED_SECONDS))
        model.listed_at = self.now + self.random.uniform(0.0, unlisted)

    def cut_off(self, model):
        """Put an endpoint out of reach of all schedulers for a time."""
        model.cut_until = self.now + self.random.uniform(*CUT_SECONDS)

    def end_term(self):
        """End the term, unless there is none."""
        if not self.vacant:
            super().end_term()

    def finish(self, seconds=240.0):
        """Remove all faults and assert that every job ends."""
        self.events = []
        super().finish(seconds)
