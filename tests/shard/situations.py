"""Rules that bring about, in one step each, what single steps seldom add up to.

Each begins where the run happens to be, and its choices are drawn: who sleeps, at which
call, what is lost and how long it lasts.  The run goes on from where it ends.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from clementinebay.shard.wire import ttypes as wire
from tests.shard import factory, world

DAEMONS = st.integers(0, 3)
DOMAINS = st.sampled_from(world.DOMAINS)
ENDPOINTS = st.sampled_from(["a0", "a1", "b0", "b1"])
#: How many calls an operation makes before its daemon sleeps.
CALLS = st.integers(0, 5)
#: Calls of a delivery before its daemon sleeps, whether the last waits for its answer,
#: whether another daemon delivers meanwhile, and whether the target is read again.
DELIVERIES = st.sampled_from([(1, True, True, True), (2, True, True, True)]) | (
    st.tuples(CALLS, st.booleans(), st.booleans(), st.booleans())
)
#: What another daemon does while an endpoint is cut off.
HABITS = st.sampled_from(["sleeps", "renews", "reads"])
#: How long an endpoint is cut off, around the time after which its tasks run elsewhere.
CUT_SECONDS = st.sampled_from([4.0, 30.25, 31.25, 33.0, 62.0])
#: Whether the record of the cut is late, what another daemon does, and how long.
CUTS = st.tuples(st.booleans(), HABITS, CUT_SECONDS)
#: The same, such that leases are close to their ends.
CLOSE_CUTS = st.sampled_from(
    [
        (False, "renews", 30.25),
        (False, "renews", 33.0),
        (False, "sleeps", 33.0),
        (True, "reads", 33.0),
        (True, "reads", 62.0),
    ]
)
#: Whether the domain is emptied before; a full one hides much.
ROOM = st.sampled_from([True, True, False])
#: Jobs that one run submits.
JOBS_LIMIT = 12
#: Times that a domain's daemons must work until nothing is left to do after a change.
ROUNDS = 4


class Situations(RuleBasedStateMachine):
    """Parts of `ShardMachine` that need its ``world``."""

    # What situations are made of

    def pair(self, domain, swap):
        """Return the two daemons of ``domain``, in turn if ``swap``."""
        pair = [d for d in self.world.daemons if d.domain == domain]
        return pair[::-1] if swap else pair

    def do(self, daemon, operation):
        """Finish what ``daemon`` does, then carry out ``operation`` without a fault."""
        daemon.finish()
        daemon.begin(operation)
        daemon.finish()

    def work_once(self, daemon, shift=0, starts_first=False):
        """Let ``daemon`` read, decide and give its orders, without a fault."""
        daemon.finish()
        daemon.look()
        self.do(daemon, daemon.read())
        self.do(daemon, daemon.tick(shift))
        daemon.orders.reconcile()
        self.deliver_all_messages(starts_first)

    def renew_all(self, daemon):
        """Let ``daemon`` renew the leases of all its endpoints."""
        for endpoint in self.world.endpoints:
            daemon.renew(endpoint)
        self.deliver_all_messages()

    def submit_job(self, daemon, count, service):
        """Submit a new job of ``count`` tasks in the domain of ``daemon``."""
        if len(self.world.totals) >= JOBS_LIMIT:
            return
        name = f"job-{len(self.world.totals)}"
        workload = wire.Workload.SERVICE if service else wire.Workload.BATCH
        spec = factory.spec(name, count, workload=workload, max_attempts=1000)
        self.do(daemon, daemon.submit(spec))
        if name in self.world.observers[daemon.domain].state.jobs:
            self.world.totals[name] = count
            self.world.submissions[name] = (daemon.domain, spec)

    def make_room(self, daemon):
        """Cancel all jobs that have parts in the domain of ``daemon``."""
        state = self.world.observers[daemon.domain].state
        for origin in sorted(state.parts.keys() & self.world.totals.keys()):
            self.world.cancelled.add(origin)
            # The first write may find that the snapshot was replaced.
            for _write in range(2):
                self.do(daemon, daemon.cancel(origin))
        for _round in range(2):
            self.work_once(daemon)

    def busy_endpoint(self, domain):
        """Return the name of an endpoint of ``domain``, if possible one with work."""
        names = [e for e in self.world.endpoints.values() if e.domain == domain]
        return max(names, key=lambda endpoint: len(endpoint.running())).name

    def deliver_all_messages(self, starts_first=False):
        """Let every message arrive; starts may overtake the others."""
        messages, self.world.network = self.world.network, []
        if starts_first:
            messages.sort(key=lambda message: message.kind != "start")
        for message in messages:
            self.world.deliver(message)

    def take_late_writes(self):
        """Let the writes that are under way take effect, if they still can."""
        late, self.world.late = self.world.late, []
        for action in late:
            try:
                action()
            except world.errors.PlatformError:
                pass
            self.world.check()

    def finish_runs(self, domain=""):
        """End the batch tasks that run, in ``domain`` or everywhere, as done."""
        for endpoint in self.world.endpoints.values():
            for run in endpoint.running():
                batch = run.order.spec.workload == wire.Workload.BATCH
                if batch and endpoint.domain.startswith(domain):
                    endpoint.end(run, "done")

    def end_work(self, domain):
        """Have the tasks of ``domain`` run and end, and forget their jobs."""
        one = self.pair(domain, False)[0]
        for shift in range(ROUNDS):
            self.work_once(one, shift)
            self.renew_all(one)
            self.finish_runs(domain)
            self.renew_all(one)
        self.work_once(one)
        for _job in range(ROUNDS):
            self.do(one, one.forget())

    # The situations

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        room=ROOM,
        service=st.sampled_from([False, False, True]),
        cut=CUTS,
        returns=st.booleans(),
    )
    def lose_endpoint(self, domain, swap, room, service, cut, returns):
        """Cut an endpoint off the list while another daemon goes on renewing it."""
        self.cut_off(domain, swap, room, service, cut)
        if returns:
            self.bring_back(self.pair(domain, swap)[0])

    @rule(domain=DOMAINS, swap=st.booleans(), cut=CLOSE_CUTS)
    def lose_endpoint_of_a_task(self, domain, swap, cut):
        """Cut the endpoint of a batch task off until others may think it has ended."""
        self.world.change_domain(domain, False)
        self.cut_off(domain, swap, True, False, cut)

    def cut_off(self, domain, swap, room, service, cut):
        """Cut an endpoint off the list and have its work taken over."""
        late, habit, seconds = cut
        one, two = self.pair(domain, swap)
        self.world.hidden = set()
        if room:
            self.make_room(one)
        self.submit_job(one, 1, service)
        self.work_once(two)
        self.work_once(one)
        self.work_once(one)
        self.do(two, two.read())
        endpoint = self.busy_endpoint(domain)
        self.world.hidden = {endpoint}
        one.look()
        one.begin(one.tick())
        one.step("late" if late else "do")
        if not late:
            self.work_once(one)
            self.work_once(one)
        self.keep_renewing(two, endpoint, habit, seconds)
        self.take_late_writes()
        for shift in range(ROUNDS):
            self.work_once(one, shift)

    def keep_renewing(self, daemon, endpoint, habit, seconds):
        """Let ``seconds`` pass; ``daemon`` renews ``endpoint`` if it does not sleep."""
        while seconds > 0:
            self.world.advance(min(seconds, 1.0))
            seconds -= 1.0
            if habit == "reads":
                self.do(daemon, daemon.read())
            if habit != "sleeps":
                daemon.renew(endpoint)
                self.deliver_all_messages()

    def bring_back(self, daemon):
        """List every endpoint again and bind there at once."""
        self.world.hidden = set()
        self.submit_job(daemon, 3, False)
        for shift in range(ROUNDS):
            self.work_once(daemon, shift, starts_first=True)

    @rule(
        endpoint=ENDPOINTS,
        swap=st.booleans(),
        word=st.sampled_from(["refuse", "lose", "late"]),
    )
    def fail_to_record_an_end(self, endpoint, swap, word):
        """Have a task end whose record is not written when its report was taken."""
        one, two = self.pair(endpoint[0], swap)
        for daemon in (one, two):
            self.work_once(daemon)
            self.renew_all(daemon)
        self.finish_runs(endpoint[0])
        self.renew_all(one)
        one.begin(one.tick())
        one.step(word)
        self.renew_all(one)

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        room=ROOM,
        way=DELIVERIES,
        after=st.booleans(),
    )
    def sleep_in_delivery(self, domain, swap, room, way, after):
        """Have a daemon sleep while it delivers a part that others deliver and end."""
        calls, held, before, aside = way
        one, sleeper = self.pair(domain, swap)
        target = self.other(domain)
        self.world.change_domain(target, False)
        if room:
            self.make_room(self.pair(target, False)[0])
        self.submit_job(one, 1, False)
        self.world.change_domain(domain, True)
        for _round in range(ROUNDS):
            self.work_once(one)
        self.do(sleeper, sleeper.read())
        sleeper.begin(sleeper.deliver())
        for _call in range(calls):
            sleeper.step("do")
        if held:
            sleeper.step("hold")
        if before:
            self.do(one, one.deliver())
        self.end_work(target)
        if aside:
            sleeper.catch_up_aside(target)
        if after:
            self.do(one, one.deliver())
        sleeper.finish()
        self.work_once(self.pair(target, False)[0])

    def other(self, domain):
        """Return the domain that ``domain`` moves its work to."""
        return world.DOMAINS[1 - world.DOMAINS.index(domain)]

    @rule(domain=DOMAINS, turns=st.integers(1, 3))
    def swing(self, domain, turns):
        """Take the domains out by turns, so that tasks go from one to the other."""
        self.submit_job(self.pair(domain, False)[0], 1, False)
        for _turn in range(turns):
            other = self.other(domain)
            self.world.change_domain(other, False)
            self.world.change_domain(domain, True)
            for daemon in self.pair(domain, False) + self.pair(other, False):
                for _round in range(ROUNDS):
                    self.work_once(daemon)
                self.do(daemon, daemon.deliver())
            domain = other

    @rule(domain=DOMAINS, swap=st.booleans(), calls=CALLS, batches=st.integers(1, 4))
    def sleep_over_truncation(self, domain, swap, calls, batches):
        """Have a writer sleep while its index is written and deleted again."""
        busy, sleeper = self.pair(domain, swap)
        self.do(sleeper, sleeper.read())
        sleeper.begin(sleeper.tick())
        for _batch in range(batches):
            self.do(busy, busy.read())
            self.do(busy, busy.tick())
            self.world.advance(1.0)
        busy.begin(busy.shorten())
        for _call in range(calls):
            busy.step("do")
        sleeper.finish()
        busy.finish()
        self.work_once(sleeper)

    @rule(
        domain=DOMAINS,
        seconds=st.sampled_from([1.0, 3.5, 4.5, 9.0]),
        released=st.booleans(),
    )
    def hold_starts_back(self, domain, seconds, released):
        """Take a domain out, or release its tasks, while starts are under way."""
        one, two = self.pair(domain, False)
        self.world.change_domain(domain, False)
        self.submit_job(one, 2, False)
        for _round in range(2):
            one.look()
            self.do(one, one.read())
            self.do(one, one.tick())
        one.orders.reconcile()
        starts, self.world.network = self.world.network, []
        self.world.change_domain(domain, True)
        if released:
            self.work_once(two)
            self.work_once(two)
            self.world.change_domain(domain, False)
            self.work_once(two, 1)
        self.world.advance(seconds)
        self.world.network += starts
        self.deliver_all_messages()

    @rule(
        endpoint=ENDPOINTS,
        swap=st.booleans(),
        starts_first=st.booleans(),
    )
    def drain(self, endpoint, swap, starts_first):
        """Have an endpoint leave and come back while its tasks still run there."""
        one, _two = self.pair(endpoint[0], swap)
        self.work_once(one)
        self.world.leaving ^= {endpoint}
        for shift in range(ROUNDS):
            self.work_once(one, shift, starts_first)
        self.world.leaving -= {endpoint}

    @rule(
        domain=DOMAINS,
        swap=st.booleans(),
        words=st.lists(st.sampled_from(["lose", "late", "refuse"]), max_size=3),
        first=st.booleans(),
    )
    def take_over_after_lost_answers(self, domain, swap, words, first):
        """Have another writer go on while one does not know if it wrote."""
        one, two = self.pair(domain, swap)
        self.submit_job(one, 1, False)
        one.begin(one.tick())
        for word in words:
            one.step(word)
        if first:
            self.take_late_writes()
        self.work_once(two, 1)
        self.take_late_writes()
        one.finish()
        self.work_once(one)

    @rule(key=st.integers(0, 3), one=DAEMONS, two=DAEMONS, word=st.just("lose"))
    def claim_twice(self, key, one, two, word):
        """Have two daemons claim a key, the first of which loses its answer."""
        one, two = self.world.daemons[one], self.world.daemons[two]
        one.finish()
        one.begin(one.claim(f"key-{key}"))
        one.step(word)
        two.begin(two.claim(f"key-{key}"))
        two.finish()
        one.finish()
