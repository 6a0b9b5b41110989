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
    """Fails while it is cut; with ``lose``, the answer to one write is lost."""

    cut = lose = False

    async def scan(self, start, end, limit=0):
        self.check()
        return await super().scan(start, end, limit)

    async def commit(self, compares, puts=(), deletes=()):
        self.check()
        revision = await super().commit(compares, puts, deletes)
        if self.lose:
            self.lose = False
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision

    def check(self):
        if self.cut:
            raise errors.PlatformUnavailableError("cut")


class Domain:
    """A shard's state with endpoints, and its parts; it is also its own log."""

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
        if self.store.cut:
            return  # a binding is a write, too
        ledger = quota.ledger(self.state, self.parts.limits)
        plan = planner.plan(self.state, 1.0, 5.0, ledger=ledger)
        factory.bind_all(self.state, plan)
        self.state.index += 1

    async def refresh(self):
        """Take in what the watch would bring."""
        if not self.store.cut:
            found, _revision = await MemoryStore.scan(self.store, "quota/", "quota0")
            self.parts.take(found)

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


def system():
    clock = Clock()
    space = KeySpace(clock)
    return clock, [Domain(name, space, clock) for name in DOMAINS]


async def rounds(clock, domains, count, quotas=None, finish=False):
    for _round in range(count):
        clock.time += 1.0
        for domain in domains:
            await domain.refresh()
            await domain.step(quotas or {"t": QUOTA})
            if finish:
                domain.finish()
        assert sum(domain.held for domain in domains) <= QUOTA[0]


OPERATIONS = ("step", "step", "refresh", "finish", "cut", "heal", "lose", "again")
JOBS = (("submit", 2, 500), ("submit", 6, 1000), ("submit", 2, 4000))


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.sampled_from(OPERATIONS + JOBS)), max_size=80
    )
)
def test_domains_never_hold_more_than_the_quota_whatever_is_cut(operations):
    async def run():
        clock, domains = system()
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
            elif operation == "again":
                domain.parts.reset()
            elif operation == "lose":
                domain.store.lose = True
            else:
                domain.store.cut = operation == "cut"
            assert sum(domain.held for domain in domains) <= QUOTA[0]
        for domain in domains:
            domain.store.cut = domain.store.lose = False
        await rounds(clock, domains, 100, finish=True)
        waiting = [planner.waits(j) for d in domains for j in d.state.jobs.values()]
        assert not any(waiting)

    asyncio.run(run())


def test_one_domain_uses_the_whole_quota_and_gives_it_up_as_its_tasks_end():
    async def run():
        clock, domains = system()
        one, other, _third = domains
        one.submit("minutes", 50, 1000)
        await rounds(clock, domains, 8)
        assert one.held == 6000
        other.submit("route", 50, 1000)
        await rounds(clock, domains, 30, finish=True)
        await rounds(clock, domains, 1)
        assert (one.held, other.held) == (3000, 3000)

    asyncio.run(run())


def test_task_larger_than_an_equal_share_runs():
    async def run():
        clock, domains = system()
        for domain in domains:
            domain.submit(f"large-{domain.name}", 2, 5000)
        await rounds(clock, domains, 4)
        assert sorted(domain.held for domain in domains) == [0, 0, 5000]
        await rounds(clock, domains, 30, finish=True)
        assert not any(d.held for d in domains)

    asyncio.run(run())


async def lose_the_answer_to_a_lowering(clock, domains):
    """Have the first domain give up a part of the quota for the second."""
    one, other, _third = domains
    one.submit("minutes", 9, 1000)
    await rounds(clock, domains, 4)
    other.submit("route", 9, 1000)
    await rounds(clock, [other], 1)
    one.finish()
    await one.refresh()
    one.store.lose = True
    clock.time += 1.0
    await one.step({"t": QUOTA})


def test_part_that_was_perhaps_given_up_is_not_used():
    async def run():
        clock, domains = system()
        one, other, _third = domains
        await lose_the_answer_to_a_lowering(clock, domains)
        assert not one.store.lose
        await rounds(clock, [other, other], 1)
        assert (one.held, other.held) == (5000, 1000)

    asyncio.run(run())


def test_two_domains_that_raise_their_parts_at_once_share_what_is_free():
    async def run():
        clock, domains = system()
        await rounds(clock, domains, 1)
        for domain in domains:
            domain.submit(f"j-{domain.name}", 9, 1000)
        clock.time += 1.0
        for domain in domains:
            await domain.step({"t": QUOTA})
        assert sum(domain.held for domain in domains) <= QUOTA[0]

    asyncio.run(run())


def test_domain_that_is_cut_off_keeps_its_part_and_no_more():
    async def run():
        clock, domains = system()
        one, other, _third = domains
        one.submit("minutes", 3, 1000)
        await rounds(clock, domains, 4)
        one.store.cut = True
        one.submit("more", 9, 1000)
        other.submit("route", 50, 1000)
        await rounds(clock, domains, 6)
        assert one.held == 3000
        kept = lending.team_usage(one.state, ["t"])["t"]
        assert kept.held[0] + other.held <= 6000
        one.store.cut = False
        await rounds(clock, domains, 6)
        assert one.held + other.held == 6000

    asyncio.run(run())


def test_domain_without_daemons_keeps_only_what_its_tasks_hold():
    async def run():
        clock, domains = system()
        one, other, _third = domains
        one.submit("minutes", 9, 1000)
        await rounds(clock, domains, 4)
        for _task in range(4):
            one.finish()
        other.submit("route", 9, 1000)
        await rounds(clock, [other], 1)
        adopter = QuotaParts(one.store, one.name, clock)
        await adopter.adjust(one, {"t": QUOTA}, leaving=True)
        one.state.index += 1
        clock.time += 1.0
        await adopter.adjust(one, {"t": QUOTA}, leaving=True)
        assert adopter.limits["t"] == (2000, None, None)
        await rounds(clock, [other], 2)
        assert (one.held, other.held) == (2000, 4000)

    asyncio.run(run())


def test_work_within_its_part_writes_nothing():
    async def run():
        clock, domains = system()
        one = domains[0]
        one.submit("minutes", 3, 1000)
        await rounds(clock, domains, 4)
        revision = one.store.space.revision
        for number in range(20):
            one.finish()
            one.submit(f"next-{number}", 1, 1000)
            await rounds(clock, domains, 1)
        assert one.store.space.revision == revision

    asyncio.run(run())


def test_part_that_was_perhaps_given_up_is_not_used_for_new_work_either():
    async def run():
        clock, domains = system()
        one, other, _third = domains
        await lose_the_answer_to_a_lowering(clock, domains)
        await rounds(clock, [other, other], 1)
        one.submit("large", 1, 6000)
        one.store.cut = True
        clock.time += 1.0
        await one.parts.adjust(one, {"t": QUOTA})
        assert one.parts.limits["t"][0] <= QUOTA[0] - other.held
        one.store.cut = False
        await rounds(clock, domains, 60, finish=True)
        assert not any(d.held for d in domains)

    asyncio.run(run())
