"""Published values: the newest stays, whatever becomes of the writes before it."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinebay import errors
from clementinebay.clock import ManualClock
from clementinebay.store.base import Put
from clementinebay.store.keyspace import KeySpace, MemoryStore
from clementinebay.workflow import jobstore
from clementinebay.workflow.model import Step
from clementinebay.workflow.published import PublishedValue
from tests.workflow import factory, virtualtime
from tests.workflow.model import CAPACITY
from tests.workflow.testbed import TestBed

KEY = jobstore.PENDING
TOO_LARGE = Step(processors_milli=2 * CAPACITY)


class LateStore(MemoryStore):
    """A store whose next writes have the outcomes ``outcomes``, then succeed.

    A "late" write is kept in ``late`` instead of being executed.
    """

    def __init__(self):
        super().__init__(KeySpace(ManualClock()))
        self.outcomes = []
        self.late = []

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        outcome = self.outcomes.pop(0) if self.outcomes else "done"
        if outcome == "refused":
            raise errors.PlatformUnavailableError("refused")
        if outcome == "late":
            self.late.append((compares, puts, deletes))
            raise errors.PlatformOutcomeUnknownError("late")
        revision = await super().commit(compares, puts, deletes)
        if outcome == "answer-lost":
            raise errors.PlatformOutcomeUnknownError("lost")
        return revision

    def execute_late(self, number):
        """Execute a late write if its conditions hold."""
        try:
            self.space.commit(*self.late.pop(number))
        except errors.CompareFailedError:
            pass

    def text(self):
        """Return the stored value as text, "" if there is none."""
        entry = self.space.get(KEY)
        return "" if entry is None else entry.value.decode()


async def make_published(store):
    """Return the `PublishedValue` of a term that has just begun."""
    writer, _lease = await jobstore.acquire_term(store, "n", "n:1", "t", 10.0)
    return PublishedValue(KEY, writer, factory.quiet_log())


async def publish(published, text):
    """Publish a text; return whether it succeeded."""
    return await published.publish(text, Put(KEY, text.encode()))


async def test_late_write_does_not_replace_a_newer_value():
    """An old count of pending jobs came back and stayed."""
    store = LateStore()
    published = await make_published(store)
    assert await publish(published, "1")
    store.outcomes = ["late"]
    assert not await publish(published, "2")
    assert await publish(published, "3")
    store.execute_late(0)
    assert store.text() == "3"


async def test_value_is_unknown_while_a_write_may_be_executed_late():
    """The value before was taken as stored, so that it was not written again."""
    store = LateStore()
    published = await make_published(store)
    assert await publish(published, "1")
    store.outcomes = ["late"]
    assert not await publish(published, "2")
    assert published.value is None
    store.execute_late(0)
    assert await publish(published, "1")
    assert (published.value, store.text()) == ("1", "1")


async def test_late_write_during_another_is_noticed():
    store = LateStore()
    published = await make_published(store)
    assert await publish(published, "1")
    store.outcomes = ["late"]
    await publish(published, "2")
    published.version = store.space.get(KEY).version
    store.execute_late(0)
    assert not await publish(published, "3")
    assert await publish(published, "3")
    assert store.text() == "3"


async def test_term_that_is_over_publishes_nothing():
    store = LateStore()
    published = await make_published(store)
    assert await publish(published, "1")
    store.space.commit((), (), [(jobstore.HOLDER, jobstore.HOLDER + "\0")])
    with pytest.raises(errors.NotLeaderError):
        await publish(published, "2")
    assert store.text() == "1"


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("1", "2", "3")),
            st.sampled_from(("done", "late", "refused", "answer-lost")),
            st.none() | st.integers(0, 3),
        )
    ),
    st.sampled_from(("1", "2", "3")),
)
def test_last_value_stays_whatever_is_executed_late(steps, last):
    async def main():
        store = LateStore()
        published = await make_published(store)
        for text, outcome, late in steps:
            store.outcomes = [outcome]
            await publish(published, text)
            if late is not None and late < len(store.late):
                store.execute_late(late)
        store.outcomes = []
        for _try in range(2):
            if published.value != last:
                await publish(published, last)
        while store.late:
            store.execute_late(0)
        assert (published.value, store.text()) == (last, last)

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(10))
def test_count_of_pending_jobs_is_right_after_late_writes(seed):
    """Late writes put old counts back, which stayed until the counts changed."""

    async def main():
        async with TestBed(seed, endpoints=1) as bed:
            await bed.run(1.0)
            jobs = []
            late = asyncio.create_task(bed.disturb_stores("late", 6.0))
            for _second in range(6):
                jobs.append(bed.submit(steps=[TOO_LARGE]))
                await bed.run(1.0)
                if bed.random.random() < 0.5:
                    bed.cancel(jobs.pop().partition(".")[0])
            await late
            await bed.run(14.0)
            assert bed.pending_counts() == ({"q": len(jobs)} if jobs else {})

    virtualtime.run(main())
