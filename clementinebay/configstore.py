"""The configuration document in the platform: read by revision, changed by swap."""

import asyncio
import contextlib
import uuid

import msgspec

from clementinebay import config, errors
from clementinebay.store.base import MAX_VALUE_BYTES, Put, prefix_end

HEAD_KEY = "config/head"
REVISION_KEY = "config/revision"
HISTORY_PREFIX = "config/history/"
SECTION_PREFIX = "config/section/"
#: Changes that the history keeps; deletions are remembered as long.
HISTORY_LIMIT = 2_000
#: Most changes that one read of the history returns.
HISTORY_READ_LIMIT = 200
#: Changes that are taken one by one; a reader that is further behind reads the head.
FOLLOW_LIMIT = 20
#: Reads of section texts in progress at once.
FETCHES = 8
#: Texts that one scan returns; when more than `FETCHES` lack, they are scanned.
SCAN_LIMIT = 100
#: Attempts to merge a change with those of others.
MERGE_ATTEMPTS = 100
#: Longest wait for the changes that this process was asked for earlier, in seconds.
TURN_SECONDS = 10.0
#: Wait before a change whose answer was lost is tried again, in seconds.
RETRY_SECONDS = 0.2
#: Longest time in which a write whose answer was lost is settled, in seconds.
SETTLE_SECONDS = 10.0


def text_key(section, digest):
    """Return the platform key of a section's text."""
    return f"{SECTION_PREFIX}{section}/{digest}"


def history_key(revision):
    """Return the platform key of the change that made ``revision``."""
    return f"{HISTORY_PREFIX}{revision:010d}"


class ConfigStore:
    """Reads and changes the document; needs only a `KeyValueStore` and a clock."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.turn = asyncio.Lock()

    async def revision(self):
        """Return the newest revision, a small read."""
        entry = await self.store.get(REVISION_KEY)
        return int(entry.value) if entry else 0

    async def head(self):
        """Return the newest `Head` and the version of its key."""
        entry = await self.store.get(HEAD_KEY)
        if entry is None:
            return config.Head(), 0
        return msgspec.json.decode(entry.value, type=config.Head), entry.version

    async def document(self, known=None):
        """Return the newest `Document`, fetching only what ``known`` lacks."""
        followed = await self.follow(known) if known and known.revision else None
        if followed is not None:
            return followed
        while True:
            head, _version = await self.head()
            try:
                return config.Document(head, await self.texts(head, known), known)
            except errors.ConfigError:
                # The section was replaced between the two reads.
                await asyncio.sleep(RETRY_SECONDS)

    async def follow(self, known):
        """Return ``known`` with the changes since, ``None`` if they are too many.

        The changes carry the texts, so neither the head nor a section is read.
        """
        entries, _revision = await self.store.scan(
            history_key(known.revision + 1), prefix_end(HISTORY_PREFIX), FOLLOW_LIMIT
        )
        if len(entries) == FOLLOW_LIMIT:
            return None
        head, texts = known.head, dict(known.texts)
        for entry in entries:
            change = msgspec.json.decode(entry.value, type=config.Change)
            if change.revision != head.revision + 1:
                return None
            head = _revise(head, change.sections)
            texts.update(change.sections)
        texts = {name: text for name, text in texts.items() if text is not None}
        return config.Document(head, texts, known)

    async def texts(self, head, known):
        """Return {section: text} of ``head``; raise `ConfigError` if one is gone."""
        texts = _unchanged(head, known)
        lacking = {
            section: text_key(section, ref.digest)
            for section, ref in head.sections.items()
            if section not in texts
        }
        if len(lacking) > FETCHES:
            found = await self.scan_texts()
        else:
            entries = await asyncio.gather(*map(self.store.get, lacking.values()))
            found = {entry.key: entry.value for entry in entries if entry}
        for section, key in lacking.items():
            if key not in found:
                raise errors.ConfigError(f"the text of [{section}] is gone")
            texts[section] = found[key].decode()
        return texts

    async def scan_texts(self):
        """Return {key: value} of all texts, in few calls."""
        found = {}
        start = SECTION_PREFIX
        while True:
            entries, _revision = await self.store.scan(
                start, prefix_end(SECTION_PREFIX), SCAN_LIMIT
            )
            found.update((entry.key, entry.value) for entry in entries)
            if len(entries) < SCAN_LIMIT:
                return found
            start = entries[-1].key + "\0"

    async def history(self, limit):
        """Return the newest ``limit`` changes, newest first."""
        limit = min(limit, HISTORY_READ_LIMIT)
        head, _version = await self.head()
        start = history_key(max(0, head.revision - limit + 1))
        entries, _revision = await self.store.scan(start, prefix_end(HISTORY_PREFIX))
        changes = [msgspec.json.decode(e.value, type=config.Change) for e in entries]
        return changes[::-1]

    async def apply(self, changes, base, author, known=None):
        """Change sections and return the new revision.

        ``changes`` maps sections to texts, or to ``None`` to delete; ``base`` is the
        revision on which they were made.  Changes to other sections are merged; a
        newer change or deletion of the same section raises `ConfigConflictError`
        unless it was the same change, a document that would be wrong
        `ConfigInvalidError`, and an answer that stays lost
        `ConfigOutcomeUnknownError`.  ``known`` is a `Document` that saves reads.
        """
        changes = _clean(changes)
        async with self.wait_for_turn():
            return await self.merge(changes, base, author, known)

    @contextlib.asynccontextmanager
    async def wait_for_turn(self):
        """Hold the only write of this process, so that its changes do not race.

        Raises `ConfigError` if those before take too long.
        """
        try:
            async with asyncio.timeout(TURN_SECONDS):
                await self.turn.acquire()
        except TimeoutError as error:
            raise errors.ConfigError("earlier changes take long; try again") from error
        try:
            yield
        finally:
            self.turn.release()

    async def merge(self, changes, base, author, known):
        """Write ``changes`` on the newest revision, again after each lost race."""
        nonce = uuid.uuid4().hex
        for _attempt in range(MERGE_ATTEMPTS):
            head, version = await self.head()
            _raise_conflicts(changes, base, head)
            known = await self.document(known)
            if known.revision != head.revision:
                continue
            revised = _revise(head, changes)
            if revised.sections == head.sections:
                return head.revision
            _raise_invalid(known.texts, changes)
            change = config.Change(
                revised.revision, author, nonce, self.clock.now(), changes
            )
            if await self.write(head, version, revised, change):
                return revised.revision
        raise errors.ConfigError("too many changes at once; try again")

    async def write(self, head, version, revised, change):
        """Write ``revised``; return whether it took effect."""
        puts = _puts(revised, change)
        deletes = _stale(head, revised, change)
        deadline = self.clock.now() + SETTLE_SECONDS
        uncertain = False
        while True:
            try:
                await self.store.commit([(HEAD_KEY, version)], puts, deletes)
                return True
            except errors.CompareFailedError:
                # No copy of the write can take effect any more.
                return uncertain and await self.took_effect(change, deadline)
            except errors.PlatformOutcomeUnknownError:
                uncertain = True
            except errors.PlatformError:
                if not uncertain:
                    raise
            await self.wait_to_settle(deadline)

    async def wait_to_settle(self, deadline):
        """Wait before the next try; raise `ConfigOutcomeUnknownError` if too late."""
        if self.clock.now() >= deadline:
            raise errors.ConfigOutcomeUnknownError(
                "the platform does not tell whether the change is in force"
            )
        await asyncio.sleep(RETRY_SECONDS)

    async def took_effect(self, change, deadline):
        """Return whether the history shows ``change`` at its revision."""
        while True:
            try:
                entry = await self.store.get(history_key(change.revision))
            except errors.PlatformError:
                await self.wait_to_settle(deadline)
                continue
            if entry is None:
                return False
            found = msgspec.json.decode(entry.value, type=config.Change)
            return found.nonce == change.nonce


def _unchanged(head, known):
    """Return {section: text} of what ``known`` holds of ``head``."""
    if known is None:
        return {}
    old = known.head.sections
    return {
        section: known.texts[section]
        for section, ref in head.sections.items()
        if section in old and old[section].digest == ref.digest
    }


def _clean(changes):
    """Return ``changes`` with canonical texts; raise `ConfigInvalidError`."""
    cleaned, problems = {}, []
    for section, text in changes.items():
        try:
            cleaned[section] = None if text is None else config.clean(section, text)
        except errors.ConfigInvalidError as error:
            problems += error.problems
    if problems:
        raise errors.ConfigInvalidError(problems)
    return cleaned


def _raise_conflicts(changes, base, head):
    forgotten = head.revision - HISTORY_LIMIT
    for section, text in changes.items():
        ref = head.sections.get(section)
        digest = None if text is None else config.digest(text)
        if digest == (ref.digest if ref else None):
            # Somebody else has made the same change.
            continue
        found = ref.revision if ref else head.deleted.get(section, forgotten)
        if found > base:
            raise errors.ConfigConflictError(section, base, found)


def _raise_invalid(texts, changes):
    merged = {**texts, **changes}
    problems = config.check({s: t for s, t in merged.items() if t is not None})
    if problems:
        raise errors.ConfigInvalidError(problems)


def _revise(head, changes):
    revision = head.revision + 1
    sections = dict(head.sections)
    deleted = {s: r for s, r in head.deleted.items() if r > revision - HISTORY_LIMIT}
    for section, text in changes.items():
        if text is None:
            if sections.pop(section, None):
                deleted[section] = revision
            continue
        deleted.pop(section, None)
        digest = config.digest(text)
        if section not in sections or sections[section].digest != digest:
            sections[section] = config.SectionRef(digest, revision)
    return config.Head(revision, sections, deleted)


def _puts(revised, change):
    puts = [
        Put(HEAD_KEY, msgspec.json.encode(revised)),
        Put(REVISION_KEY, str(revised.revision).encode()),
        Put(history_key(revised.revision), msgspec.json.encode(change)),
    ]
    for section, text in change.sections.items():
        if text is not None:
            key = text_key(section, config.digest(text))
            puts.append(Put(key, text.encode()))
    _raise_oversize(puts)
    return puts


def _raise_oversize(puts):
    allowed = f"at most {MAX_VALUE_BYTES} bytes a change and a head"
    for put in puts:
        if len(put.value) > MAX_VALUE_BYTES:
            problem = config.Problem("*", "*", len(put.value), allowed)
            raise errors.ConfigInvalidError([problem])


def _stale(head, revised, change):
    """Return ranges to delete: replaced texts and the oldest change."""
    doomed = []
    oldest = revised.revision - HISTORY_LIMIT
    if oldest > 0:
        doomed.append(history_key(oldest))
    for section in change.sections:
        old, new = head.sections.get(section), revised.sections.get(section)
        if old and (new is None or new.digest != old.digest):
            doomed.append(text_key(section, old.digest))
    return [(key, key + "\0") for key in doomed]
