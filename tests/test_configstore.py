import asyncio

import msgspec
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from clementinebay import config, configstore, errors
from clementinebay.clock import ManualClock
from clementinebay.store.keyspace import KeySpace, MemoryStore

SECTIONS = ("domain:a", "domain:b", "team:c")


class CrashError(Exception):
    """Simulates a crash of the process that called the store."""


class FaultyStore(MemoryStore):
    """Yields at each call and injects the faults in ``plan``, one per commit.

    "late" delays a commit until `deliver`.  "lost" and "overtaken" perform it without a
    response; after "overtaken", ``meanwhile`` runs before the caller continues.
    """

    def __init__(self, space, clock):
        super().__init__(space)
        self.clock = clock
        self.plan = []
        self.delayed_writes = []
        # A coroutine function that is called once, after an "overtaken" commit.
        self.meanwhile = None

    async def get(self, key):
        await asyncio.sleep(0)
        return await super().get(key)

    async def commit(self, compares, puts=(), deletes=()):
        await asyncio.sleep(0)
        fault = self.plan.pop(0) if self.plan else "none"
        if fault == "late":
            self.delayed_writes.append((compares, puts, deletes))
        if fault in ("none", "lost", "overtaken", "crash-after"):
            result = await super().commit(compares, puts, deletes)
        if fault == "none":
            return result
        if fault == "overtaken" and self.meanwhile:
            meanwhile, self.meanwhile = self.meanwhile, None
            await meanwhile()
        self.clock.advance(3.0)
        if fault.startswith("crash"):
            raise CrashError
        if fault == "down":
            raise errors.PlatformUnavailableError(fault)
        raise errors.PlatformOutcomeUnknownError(fault)

    async def deliver(self):
        """Perform the delayed writes, unless their comparisons fail."""
        for write in self.delayed_writes:
            try:
                await super().commit(*write)
            except errors.CompareFailedError:
                pass
        self.delayed_writes = []


FAULTS = st.lists(
    st.sampled_from(
        ["none", "lost", "overtaken", "late", "down", "crash-before", "crash-after"]
    ),
    max_size=6,
)
CHANGES = st.dictionaries(
    st.sampled_from(SECTIONS),
    st.none() | st.integers(0, 3).map(lambda n: f"owner = {n}\n"),
    min_size=1,
    max_size=2,
)


class ConfigMachine(RuleBasedStateMachine):
    """Operators make concurrent changes on a faulty store."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.space = KeySpace(self.clock)
        self.store = FaultyStore(self.space, self.clock)
        self.config = configstore.ConfigStore(self.store, self.clock)
        self.number = 0
        self.accepted = {}
        self.refused = set()
        self.highest = 0
        configstore.RETRY_SECONDS = 0

    def teardown(self):
        configstore.RETRY_SECONDS = 0.2

    async def change(self, changes, age):
        self.number += 1
        author = f"operator-{self.number}"
        head, _version = await self.config.head()
        base = max(0, head.revision - age)
        # Changes at one daemon are serialized, so each uses a daemon of its own.
        daemon = configstore.ConfigStore(self.store, self.clock)
        try:
            revision = await daemon.apply(changes, base, author)
        except CrashError:
            return
        except errors.ConfigOutcomeUnknownError:
            return
        except (errors.ConfigError, errors.PlatformUnavailableError):
            self.refused.add(author)
            return
        self.accepted[author] = revision

    @rule(
        wanted=st.lists(st.tuples(CHANGES, st.integers(0, 2)), min_size=1, max_size=4),
        faults=FAULTS,
        after=CHANGES,
    )
    def race(self, wanted, faults, after):
        self.store.plan = list(faults)
        # Another operator builds on a change before its author gets the response.
        self.store.meanwhile = lambda: self.change(after, 0)

        async def all_at_once():
            await asyncio.gather(*(self.change(*one) for one in wanted))

        asyncio.run(all_at_once())
        self.store.plan = []
        self.store.meanwhile = None

    @rule()
    def deliver(self):
        asyncio.run(self.store.deliver())

    @invariant()
    def history_yields_the_document(self):
        document = asyncio.run(self.config.document())
        changes = asyncio.run(self.config.history(200))[::-1]
        assert document.revision >= self.highest
        self.highest = document.revision
        assert [c.revision for c in changes] == list(range(1, document.revision + 1))
        texts = {}
        for change in changes:
            texts.update(change.sections)
        assert document.texts == {s: t for s, t in texts.items() if t is not None}
        authors = [change.author for change in changes]
        assert len(set(authors)) == len(authors)
        assert not self.refused.intersection(authors)

        written = {change.author: change.revision for change in changes}
        for author, revision in self.accepted.items():
            # A change that is already in force is accepted without a write.
            assert written.get(author, revision) == revision <= document.revision


ConfigMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=10)
TestConfigMachine = ConfigMachine.TestCase


async def never_in_history(_store, _change, _deadline):
    return False


def test_machine_detects_a_write_that_is_not_looked_up_in_the_history(monkeypatch):
    monkeypatch.setattr(configstore.ConfigStore, "took_effect", never_in_history)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            ConfigMachine,
            settings=settings(ConfigMachine.TestCase.settings, phases=[Phase.generate]),
        )


@pytest.fixture
def store(space, clock, monkeypatch):
    monkeypatch.setattr(configstore, "RETRY_SECONDS", 0)
    return FaultyStore(space, clock)


@pytest.fixture
def operators(store, clock):
    return configstore.ConfigStore(store, clock)


@pytest.fixture
def others(store, clock):
    """Operators at another daemon."""
    return configstore.ConfigStore(store, clock)


async def test_conflict_reports_both_revisions(operators):
    await operators.apply({"domain:a": "state = in"}, 0, "first")
    with pytest.raises(errors.ConfigConflictError) as conflict:
        await operators.apply({"domain:a": "state = out"}, 0, "second")
    assert (conflict.value.expected, conflict.value.found) == (0, 1)


async def test_change_of_a_deleted_section_conflicts(operators):
    await operators.apply({"domain:a": "state = in"}, 0, "first")
    await operators.apply({"domain:a": None}, 1, "second")
    with pytest.raises(errors.ConfigConflictError) as conflict:
        await operators.apply({"domain:a": "state = out"}, 1, "third")
    assert (conflict.value.expected, conflict.value.found) == (1, 2)


async def test_accepted_change_followed_by_another_is_no_conflict(
    operators, others, store
):
    async def overtake():
        await others.apply({"domain:a": "state = in"}, 1, "second")

    store.plan, store.meanwhile = ["overtaken"], overtake
    assert await operators.apply({"domain:a": "state = out"}, 0, "first") == 1
    assert [c.author for c in await operators.history(9)] == ["second", "first"]


async def test_accepted_change_that_was_undone_is_not_repeated(
    operators, others, store
):
    await operators.apply({"team:x": "owner = 1"}, 0, "before")

    async def undo():
        await others.apply({"team:x": "owner = 1"}, 2, "second")
        await others.apply({"team:y": "owner = 1"}, 3, "third")

    store.plan, store.meanwhile = ["overtaken"], undo
    assert await operators.apply({"team:x": "owner = 2"}, 1, "first") == 2
    document = await operators.document()
    assert (document.revision, document.texts["team:x"]) == (4, "owner = 1\n")


async def test_outcome_is_unknown_while_the_platform_is_unavailable(operators, store):
    store.plan = ["lost", "down", "down", "down", "down", "down"]
    with pytest.raises(errors.ConfigOutcomeUnknownError):
        await operators.apply({"domain:a": "state = out"}, 0, "first")
    assert (await operators.document()).domain_out("a")


async def test_oversize_change_is_refused(operators):
    changes = {f"team:t{n}": "owner = " + "x" * 90_000 for n in range(12)}
    with pytest.raises(errors.ConfigInvalidError):
        await operators.apply(changes, 0, "first")


async def test_large_document_has_a_small_head_and_needs_few_reads(operators, store):
    names = [f"team:team-{n}" for n in range(48)] + [
        f"service:s-{n}" for n in range(400)
    ]
    for first in range(0, len(names), 64):
        changes = dict.fromkeys(names[first : first + 64], "owner = someone\n")
        await operators.apply(changes, 0, "first")
    calls = []
    scan, get = store.scan, store.get
    store.scan = lambda *span: calls.append(span) or scan(*span)
    store.get = lambda key: calls.append(key) or get(key)
    document = await configstore.ConfigStore(store, operators.clock).document()
    assert len(document.texts) == 448
    assert len(calls) <= 6
    assert len(msgspec.json.encode(document.head)) < 50_000
    changed = await operators.apply(
        {names[0]: "owner = other\n"}, 99, "second", document
    )
    calls.clear()
    fresh = await operators.document(document)
    assert len(calls) == 1 and fresh.revision == changed
    assert isinstance(fresh, config.Document)


async def test_following_the_history_yields_the_stored_document(store, clock):
    documents = configstore.ConfigStore(store, clock)
    await documents.apply({"team:x": "processors = 1\n"}, 0, "ann")
    known = await documents.document()
    for number in range(5):
        await documents.apply({f"team:y{number}": "processors = 2\n"}, 9, "ben")
    await documents.apply({"team:x": None, "team:y0": "processors = 3\n"}, 9, "ben")
    followed, read = await documents.follow(known), await documents.document()
    assert followed.head == read.head
    assert (followed.texts, followed.values) == (read.texts, read.values)


async def test_reader_far_behind_reads_the_head(store, clock):
    documents = configstore.ConfigStore(store, clock)
    await documents.apply({"team:x": "processors = 1\n"}, 0, "ann")
    known = await documents.document()
    for number in range(configstore.FOLLOW_LIMIT):
        await documents.apply({f"team:y{number}": "processors = 2\n"}, 99, "ben")
    assert await documents.follow(known) is None
    assert (await documents.document(known)).revision == configstore.FOLLOW_LIMIT + 1


async def test_changes_at_one_daemon_do_not_conflict():
    clock = ManualClock()
    space = KeySpace(clock)
    store = FaultyStore(space, clock)
    writes = []
    commit = store.commit

    async def counted(*arguments):
        writes.append(arguments)
        return await commit(*arguments)

    store.commit = counted
    daemon = configstore.ConfigStore(store, clock)
    revisions = await asyncio.gather(
        *(daemon.apply({f"team:t{n}": ""}, 0, "operator") for n in range(50))
    )
    assert sorted(revisions) == list(range(1, 51))
    assert len(writes) == 50
