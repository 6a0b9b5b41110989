"""Rules that each produce a fault scenario which single random steps rarely produce.

A scenario starts from the current state of the run and draws its parameters, such as
which daemon sleeps, at which call, what is lost and for how long.  The run continues
from the resulting state.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from clementinebay import errors
from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory, limits

DAEMONS = st.integers(0, 3)
DOMAINS = st.sampled_from(limits.DOMAINS)
ENDPOINTS = st.sampled_from(["a0", "a1", "b0", "b1"])
#: Calls of an operation before its daemon sleeps.
CALLS = st.integers(0, 5)
#: Calls of a delivery before its daemon sleeps, whether the last response is held,
#: whether another daemon delivers meanwhile, and whether the target is read again.
DELIVERIES = st.sampled_from([(1, True, True, True), (2, True, True, True)]) | (
    st.tuples(CALLS, st.booleans(), st.booleans(), st.booleans())
)
#: Activity of another daemon while an endpoint is not listed.
OTHER_DAEMON_ACTIVITIES = st.sampled_from(["sleeps", "renews", "reads"])
#: Durations for which an endpoint is not listed, around the time after which its tasks
#: may run elsewhere.
ABSENCE_SECONDS = st.sampled_from([4.0, 30.25, 31.25, 33.0, 62.0])
#: Whether the record of the loss is late, another daemon's activity, and the duration.
ABSENCES = st.tuples(st.booleans(), OTHER_DAEMON_ACTIVITIES, ABSENCE_SECONDS)
#: The same, with durations close to the expiry of leases.
LEASE_BOUNDARY_ABSENCES = st.sampled_from(
    [
        (False, "renews", 30.25),
        (False, "renews", 33.0),
        (False, "sleeps", 33.0),
        (True, "reads", 33.0),
        (True, "reads", 62.0),
    ]
)
#: Whether the domain's jobs are cancelled first; a full domain prevents many scenarios.
JOBS_CANCELLED = st.sampled_from([True, True, False])
#: Maximum number of jobs submitted in one run.
MAX_JOBS = 12
#: Work cycles after which a domain's daemons have fully reacted to a change.
ROUNDS = 4


class FaultScenarios(RuleBasedStateMachine):
    """Scenarios of `ShardMachine`, which provides ``world``."""

    # Helpers

    def pair(self, domain, swap):
        """Return the two daemons of ``domain``, in reverse order if ``swap``."""
        pair = [d for d in self.world.daemons if d.domain == domain]
        return pair[::-1] if swap else pair

    def run_operation(self, daemon, operation):
        """Finish the daemon's current operation, then run ``operation``; no faults."""
        daemon.finish_operation()
        daemon.begin_operation(operation)
        daemon.finish_operation()

    def run_cycle(self, daemon, shift=0, starts_first=False):
        """Let ``daemon`` read, decide and send its orders, without faults."""
        daemon.finish_operation()
        daemon.load_config_and_list()
        self.run_operation(daemon, daemon.read())
        self.run_operation(daemon, daemon.tick(shift))
        daemon.orders.reconcile()
        self.deliver_all_messages(starts_first)

    def renew_all(self, daemon):
        """Let ``daemon`` renew the leases of all its endpoints."""
        for endpoint in self.world.endpoints:
            daemon.renew(endpoint)
        self.deliver_all_messages()

    def submit_job(self, daemon, count, service):
        """Submit a new job of ``count`` tasks in the domain of ``daemon``."""
        if len(self.world.task_totals) >= MAX_JOBS:
            return
        name = f"job-{len(self.world.task_totals)}"
        workload = wire.Workload.SERVICE if service else wire.Workload.BATCH
        spec = factory.spec(name, count, workload=workload, max_attempts=1000)
        self.run_operation(daemon, daemon.submit(spec))
        if name in self.world.observers[daemon.domain].state.jobs:
            self.world.task_totals[name] = count
            self.world.submissions[name] = (daemon.domain, spec)

    def cancel_domain_jobs(self, daemon):
        """Cancel all jobs with parts in the domain of ``daemon``."""
        state = self.world.observers[daemon.domain].state
        for origin in sorted(state.parts.keys() & self.world.task_totals.keys()):
            self.world.cancelled.add(origin)
            # The first write may fail because the snapshot was replaced.
            for _write in range(2):
                self.run_operation(daemon, daemon.cancel(origin))
        for _round in range(2):
            self.run_cycle(daemon)

    def busiest_endpoint(self, domain):
        """Return the name of the endpoint of ``domain`` with the most running tasks."""
        names = [e for e in self.world.endpoints.values() if e.domain == domain]
        return max(names, key=lambda endpoint: len(endpoint.running())).name

    def deliver_all_messages(self, starts_first=False):
        """Deliver every message, starts first if ``starts_first``."""
        messages, self.world.network = self.world.network, []
        if starts_first:
            messages.sort(key=lambda message: message.kind != "start")
        for message in messages:
            self.world.deliver(message)

    def apply_late_writes(self):
        """Let delayed writes take effect if they still can."""
        late, self.world.late_writes = self.world.late_writes, []
        for action in late:
            try:
                action()
            except errors.PlatformError:
                pass
            self.world.check()

    def finish_runs(self, domain=""):
        """End all running batch tasks of ``domain``, or of all domains, as done."""
        for endpoint in self.world.endpoints.values():
            for run in endpoint.running():
                batch = run.order.spec.workload == wire.Workload.BATCH
                if batch and endpoint.domain.startswith(domain):
                    endpoint.end_run(run, "done")

    def complete_domain_jobs(self, domain):
        """Run the tasks of ``domain`` to their end and forget their jobs."""
        one = self.pair(domain, False)[0]
        for shift in range(ROUNDS):
            self.run_cycle(one, shift)
            self.renew_all(one)
            self.finish_runs(domain)
            self.renew_all(one)
        self.run_cycle(one)
        for _job in range(ROUNDS):
            self.run_operation(one, one.forget())

    # Scenarios

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        jobs_cancelled=JOBS_CANCELLED,
        service=st.sampled_from([False, False, True]),
        absence=ABSENCES,
        is_relisted=st.booleans(),
    )
    def lose_endpoint(
        self, domain, swap, jobs_cancelled, service, absence, is_relisted
    ):
        """Remove an endpoint from the list while another daemon may still renew it."""
        self.unlist_endpoint(domain, swap, jobs_cancelled, service, absence)
        if is_relisted:
            self.relist_endpoints(self.pair(domain, swap)[0])

    @rule(domain=DOMAINS, swap=st.booleans(), absence=LEASE_BOUNDARY_ABSENCES)
    def lose_endpoint_of_task(self, domain, swap, absence):
        """Remove a batch task's endpoint from the list until its leases may expire."""
        self.world.change_domain(domain, False)
        self.unlist_endpoint(domain, swap, True, False, absence)

    def unlist_endpoint(self, domain, swap, jobs_cancelled, service, absence):
        """Remove an endpoint from the list and let its tasks be rescheduled."""
        late, activity, seconds = absence
        one, two = self.pair(domain, swap)
        self.world.unlisted = set()
        if jobs_cancelled:
            self.cancel_domain_jobs(one)
        self.submit_job(one, 1, service)
        self.run_cycle(two)
        self.run_cycle(one)
        self.run_cycle(one)
        self.run_operation(two, two.read())
        endpoint = self.busiest_endpoint(domain)
        self.world.unlisted = {endpoint}
        one.load_config_and_list()
        one.begin_operation(one.tick())
        one.step("late" if late else "succeed")
        if not late:
            self.run_cycle(one)
            self.run_cycle(one)
        self.keep_renewing(two, endpoint, activity, seconds)
        self.apply_late_writes()
        for shift in range(ROUNDS):
            self.run_cycle(one, shift)

    def keep_renewing(self, daemon, endpoint, activity, seconds):
        """Advance by ``seconds``; ``daemon`` renews ``endpoint`` unless it sleeps."""
        while seconds > 0:
            self.world.advance(min(seconds, 1.0))
            seconds -= 1.0
            if activity == "reads":
                self.run_operation(daemon, daemon.read())
            if activity != "sleeps":
                daemon.renew(endpoint)
                self.deliver_all_messages()

    def relist_endpoints(self, daemon):
        """List every endpoint again and bind tasks immediately."""
        self.world.unlisted = set()
        self.submit_job(daemon, 3, False)
        for shift in range(ROUNDS):
            self.run_cycle(daemon, shift, starts_first=True)

    @rule(
        endpoint=ENDPOINTS,
        swap=st.booleans(),
        write_outcome=st.sampled_from(["refuse", "lose", "late"]),
    )
    def fail_to_record_end(self, endpoint, swap, write_outcome):
        """End a task and fail to write the record after processing its report."""
        one, two = self.pair(endpoint[0], swap)
        for daemon in (one, two):
            self.run_cycle(daemon)
            self.renew_all(daemon)
        self.finish_runs(endpoint[0])
        self.renew_all(one)
        one.begin_operation(one.tick())
        one.step(write_outcome)
        self.renew_all(one)

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        jobs_cancelled=JOBS_CANCELLED,
        timing=DELIVERIES,
        another_delivery=st.booleans(),
    )
    def sleep_during_delivery(
        self, domain, swap, jobs_cancelled, timing, another_delivery
    ):
        """Suspend a daemon while it delivers a part that others deliver and finish."""
        calls, response_held, delivered_meanwhile, target_read_again = timing
        one, sleeper = self.pair(domain, swap)
        target = self.other(domain)
        self.world.change_domain(target, False)
        if jobs_cancelled:
            self.cancel_domain_jobs(self.pair(target, False)[0])
        self.submit_job(one, 1, False)
        self.world.change_domain(domain, True)
        for _round in range(ROUNDS):
            self.run_cycle(one)
        self.run_operation(sleeper, sleeper.read())
        sleeper.begin_operation(sleeper.deliver())
        for _call in range(calls):
            sleeper.step("succeed")
        if response_held:
            sleeper.step("hold")
        if delivered_meanwhile:
            self.run_operation(one, one.deliver())
        self.complete_domain_jobs(target)
        if target_read_again:
            sleeper.catch_up_concurrently(target)
        if another_delivery:
            self.run_operation(one, one.deliver())
        sleeper.finish_operation()
        self.run_cycle(self.pair(target, False)[0])

    def other(self, domain):
        """Return the domain to which ``domain`` moves its tasks."""
        return limits.DOMAINS[1 - limits.DOMAINS.index(domain)]

    @rule(domain=DOMAINS, turns=st.integers(1, 3))
    def swap_domains_repeatedly(self, domain, turns):
        """Take the domains out alternately, so that tasks move back and forth."""
        self.submit_job(self.pair(domain, False)[0], 1, False)
        for _turn in range(turns):
            other = self.other(domain)
            self.world.change_domain(other, False)
            self.world.change_domain(domain, True)
            for daemon in self.pair(domain, False) + self.pair(other, False):
                for _round in range(ROUNDS):
                    self.run_cycle(daemon)
                self.run_operation(daemon, daemon.deliver())
            domain = other

    @rule(domain=DOMAINS, swap=st.booleans(), calls=CALLS, batches=st.integers(1, 4))
    def sleep_during_truncation(self, domain, swap, calls, batches):
        """Suspend a writer while others write and then truncate its next index."""
        busy, sleeper = self.pair(domain, swap)
        self.run_operation(sleeper, sleeper.read())
        sleeper.begin_operation(sleeper.tick())
        for _batch in range(batches):
            self.run_operation(busy, busy.read())
            self.run_operation(busy, busy.tick())
            self.world.advance(1.0)
        busy.begin_operation(busy.truncate_log())
        for _call in range(calls):
            busy.step("succeed")
        sleeper.finish_operation()
        busy.finish_operation()
        self.run_cycle(sleeper)

    @rule(
        domain=DOMAINS,
        seconds=st.sampled_from([1.0, 3.5, 4.5, 9.0]),
        released=st.booleans(),
    )
    def hold_back_starts(self, domain, seconds, released):
        """Take a domain out, or release its tasks, while starts are in transit."""
        one, two = self.pair(domain, False)
        self.world.change_domain(domain, False)
        self.submit_job(one, 2, False)
        for _round in range(2):
            one.load_config_and_list()
            self.run_operation(one, one.read())
            self.run_operation(one, one.tick())
        one.orders.reconcile()
        starts, self.world.network = self.world.network, []
        self.world.change_domain(domain, True)
        if released:
            self.run_cycle(two)
            self.run_cycle(two)
            self.world.change_domain(domain, False)
            self.run_cycle(two, 1)
        self.world.advance(seconds)
        self.world.network += starts
        self.deliver_all_messages()

    @rule(
        endpoint=ENDPOINTS,
        swap=st.booleans(),
        starts_first=st.booleans(),
    )
    def drain(self, endpoint, swap, starts_first):
        """Have an endpoint leave and return while its tasks still run."""
        one, _two = self.pair(endpoint[0], swap)
        self.run_cycle(one)
        self.world.leaving ^= {endpoint}
        for shift in range(ROUNDS):
            self.run_cycle(one, shift, starts_first)
        self.world.leaving -= {endpoint}

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        write_outcomes=st.lists(
            st.sampled_from(["lose", "late", "refuse"]), max_size=3
        ),
        first=st.booleans(),
    )
    def take_over_after_lost_answers(self, domain, swap, write_outcomes, first):
        """Let another writer proceed while the outcome of a first write is unknown."""
        one, two = self.pair(domain, swap)
        self.submit_job(one, 1, False)
        one.begin_operation(one.tick())
        for outcome in write_outcomes:
            one.step(outcome)
        if first:
            self.apply_late_writes()
        self.run_cycle(two, 1)
        self.apply_late_writes()
        one.finish_operation()
        self.run_cycle(one)

    @rule(
        key=st.integers(0, 3), one=DAEMONS, two=DAEMONS, write_outcome=st.just("lose")
    )
    def claim_twice(self, key, one, two, write_outcome):
        """Let two daemons claim the same key; the response to the first is lost."""
        one, two = self.world.daemons[one], self.world.daemons[two]
        one.finish_operation()
        one.begin_operation(one.claim(f"key-{key}"))
        one.step(write_outcome)
        two.begin_operation(two.claim(f"key-{key}"))
        two.finish_operation()
        one.finish_operation()
