import asyncio

from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.policy import lending, planner, quota
from clementinebay.quotaparts import QuotaParts
from clementinebay.shard.wire import ttypes as wire
from clementinebay.store.keyspace import KeySpace, MemoryStore
from tests.policy import factory

QUOTA = (6000, None, None)
DOMAINS = ("a", "b", "c")


class Clock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class FaultyStore(MemoryStore):
    """Fails while ``disconnected``; ``lose_response`` makes it lose one response."""

    disconnected = lose_response = False

    async def scan(self, start, end, limit=0):
        self.check()
        return await super().scan(start, end, limit)

    async def commit(self, compares, puts=(), deletes=()):
        self.check()
        revision = await super().commit(compares, puts, deletes)
        if self.lose_response:
            self.lose_response = False
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision

    def check(self):
        if self.disconnected:
            raise errors.PlatformUnavailableError("disconnected")


class Domain:
    """A shard's state with endpoints, and its quota shares; also acts as its log."""

    def __init__(self, name, space, clock):
        self.name = name
        self.clock = clock
        self.state = factory.fleet(3)
        self.store = FaultyStore(space)
        self.parts = QuotaParts(self.store, name, clock)

    async def catch_up(self):
        self.store.check()

    async def step(self, quotas):
        await self.parts.adjust(self, quotas)
        if self.store.disconnected:
            return  # binding tasks requires a write, too
        ledger = quota.ledger(self.state, self.parts.limits)
        plan = planner.plan(self.state, 1.0, 5.0, ledger=ledger)
        factory.bind_all(self.state, plan)
        self.state.index += 1

    async def refresh(self):
        """Apply the changes that the watch would deliver."""
        if not self.store.disconnected:
            found, _revision = await MemoryStore.scan(self.store, "quota/", "quota0")
            self.parts.update_needs(found)

    def submit(self, name, count, processors):
        factory.submit(self.state, name, count, processors=processors)

    def finish(self):
        for job in self.state.jobs.values():
            for task in list(job.tasks.values()):
                if task.endpoint:
                    record = wire.Finish(job.spec.id, task.index, task.attempt)
                    record.outcome, record.at = wire.Outcome.DONE, 1.0
                    self.state.apply(wire.Record(finish=record))
                    return

    @property
    def held(self):
        return lending.team_usage(self.state, ["t"])["t"].held[0]


def make_domains():
    clock = Clock()
    space = KeySpace(clock)
    return clock, [Domain(name, space, clock) for name in DOMAINS]


async def run_rounds(clock, domains, count, quotas=None, finish=False):
    for _round in range(count):
        clock.time += 1.0
        for domain in domains:
            await domain.refresh()
            await domain.step(quotas or {"t": QUOTA})
            if finish:
                domain.finish()
        assert sum(domain.held for domain in domains) <= QUOTA[0]


OPERATIONS = (
    "step",
    "step",
    "refresh",
    "finish",
    "disconnect",
    "reconnect",
    "lose response",
    "reset",
)
JOBS = (("submit", 2, 500), ("submit", 6, 1000), ("submit", 2, 4000))


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from(OPERATIONS + JOBS)), max_size=80
    )
)
def test_domains_together_never_exceed_the_quota_despite_faults(operations):
    async def run():
        clock, domains = make_domains()
        for number, (index, operation) in enumerate(operations):
            clock.time += 1.0
            domain = domains[index]
            if operation in JOBS:
                domain.submit(f"j-{number}", *operation[1:])
            elif operation == "step":
                await domain.step({"t": QUOTA})
            elif operation == "refresh":
                await domain.refresh()
            elif operation == "finish":
                domain.finish()
            elif operation == "reset":
                domain.parts.reset()
            elif operation == "lose response":
                domain.store.lose_response = True
            else:
                domain.store.disconnected = operation == "disconnect"
            assert sum(domain.held for domain in domains) <= QUOTA[0]
        for domain in domains:
            domain.store.disconnected = domain.store.lose_response = False
        await run_rounds(clock, domains, 100, finish=True)
        waiting = [
            planner.has_waiting_tasks(j) for d in domains for j in d.state.jobs.values()
        ]
        assert not any(waiting)

    asyncio.run(run())


def test_domain_uses_the_whole_quota_and_releases_it_as_its_tasks_end():
    async def run():
        clock, domains = make_domains()
        one, other, _third = domains
        one.submit("minutes", 50, 1000)
        await run_rounds(clock, domains, 8)
        assert one.held == 6000
        other.submit("route", 50, 1000)
        await run_rounds(clock, domains, 30, finish=True)
        await run_rounds(clock, domains, 1)
        assert (one.held, other.held) == (3000, 3000)

    asyncio.run(run())


def test_task_larger_than_an_equal_share_runs():
    async def run():
        clock, domains = make_domains()
        for domain in domains:
            domain.submit(f"large-{domain.name}", 2, 5000)
        await run_rounds(clock, domains, 4)
        assert sorted(domain.held for domain in domains) == [0, 0, 5000]
        await run_rounds(clock, domains, 30, finish=True)
        assert not any(d.held for d in domains)

    asyncio.run(run())


async def lose_response_to_lowering(clock, domains):
    """Make the first domain lower its share for the second, but lose the response."""
    one, other, _third = domains
    one.submit("minutes", 9, 1000)
    await run_rounds(clock, domains, 4)
    other.submit("route", 9, 1000)
    await run_rounds(clock, [other], 1)
    one.finish()
    await one.refresh()
    one.store.lose_response = True
    clock.time += 1.0
    await one.step({"t": QUOTA})


def test_share_that_may_have_been_released_is_not_used():
    async def run():
        clock, domains = make_domains()
        one, other, _third = domains
        await lose_response_to_lowering(clock, domains)
        assert not one.store.lose_response
        await run_rounds(clock, [other, other], 1)
        assert (one.held, other.held) == (5000, 1000)

    asyncio.run(run())


def test_domains_that_raise_their_shares_concurrently_stay_within_the_quota():
    async def run():
        clock, domains = make_domains()
        await run_rounds(clock, domains, 1)
        for domain in domains:
            domain.submit(f"j-{domain.name}", 9, 1000)
        clock.time += 1.0
        for domain in domains:
            await domain.step({"t": QUOTA})
        assert sum(domain.held for domain in domains) <= QUOTA[0]

    asyncio.run(run())


def test_disconnected_domain_keeps_its_share_and_uses_no_more():
    async def run():
        clock, domains = make_domains()
        one, other, _third = domains
        one.submit("minutes", 3, 1000)
        await run_rounds(clock, domains, 4)
        one.store.disconnected = True
        one.submit("more", 9, 1000)
        other.submit("route", 50, 1000)
        await run_rounds(clock, domains, 6)
        assert one.held == 3000
        kept = lending.team_usage(one.state, ["t"])["t"]
        assert kept.held[0] + other.held <= 6000
        one.store.disconnected = False
        await run_rounds(clock, domains, 6)
        assert one.held + other.held == 6000

    asyncio.run(run())


def test_adopted_domain_keeps_only_the_share_that_its_tasks_hold():
    async def run():
        clock, domains = make_domains()
        one, other, _third = domains
        one.submit("minutes", 9, 1000)
        await run_rounds(clock, domains, 4)
        for _task in range(4):
            one.finish()
        other.submit("route", 9, 1000)
        await run_rounds(clock, [other], 1)
        adopter = QuotaParts(one.store, one.name, clock)
        await adopter.adjust(one, {"t": QUOTA}, leaving=True)
        one.state.index += 1
        clock.time += 1.0
        await adopter.adjust(one, {"t": QUOTA}, leaving=True)
        assert adopter.limits["t"] == (2000, None, None)
        await run_rounds(clock, [other], 2)
        assert (one.held, other.held) == (2000, 4000)

    asyncio.run(run())


def test_work_within_the_share_causes_no_writes():
    async def run():
        clock, domains = make_domains()
        one = domains[0]
        one.submit("minutes", 3, 1000)
        await run_rounds(clock, domains, 4)
        revision = one.store.space.revision
        for number in range(20):
            one.finish()
            one.submit(f"next-{number}", 1, 1000)
            await run_rounds(clock, domains, 1)
        assert one.store.space.revision == revision

    asyncio.run(run())


def test_share_that_may_have_been_released_is_not_used_for_new_jobs_either():
    async def run():
        clock, domains = make_domains()
        one, other, _third = domains
        await lose_response_to_lowering(clock, domains)
        await run_rounds(clock, [other, other], 1)
        one.submit("large", 1, 6000)
        one.store.disconnected = True
        clock.time += 1.0
        await one.parts.adjust(one, {"t": QUOTA})
        assert one.parts.limits["t"][0] <= QUOTA[0] - other.held
        one.store.disconnected = False
        await run_rounds(clock, domains, 60, finish=True)
        assert not any(d.held for d in domains)

    asyncio.run(run())
