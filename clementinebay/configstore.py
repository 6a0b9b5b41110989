"""The configuration document in the platform: read by revision, changed by swap."""

import asyncio
import uuid

import msgspec

from clementinebay import config, errors
from clementinebay.platform.base import Put, prefix_end

HEAD_KEY = "config/head"
REVISION_KEY = "config/revision"
HISTORY_PREFIX = "config/history/"
#: Changes that the history keeps.
HISTORY_LIMIT = 2_000
#: Attempts to merge a change with those of others.
MERGE_ATTEMPTS = 100
#: Wait before a change whose answer was lost is tried again, in seconds.
RETRY_SECONDS = 0.2


def text_key(section, digest):
    """Return the platform key of a section's text."""
    return f"config/section/{section}/{digest}"


def history_key(revision):
    """Return the platform key of the change that made ``revision``."""
    return f"{HISTORY_PREFIX}{revision:010d}"


class ConfigStore:
    """Reads and changes the document; needs only a `KeyValueStore` and a clock."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock

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
        """Return the newest `Document`, fetching only texts that ``known`` lacks."""
        while True:
            head, _version = await self.head()
            try:
                return config.Document(head, await self.texts(head, known))
            except errors.ConfigError:
                # The section was replaced between the two reads.
                await asyncio.sleep(RETRY_SECONDS)

    async def texts(self, head, known):
        """Return {section: text} of ``head``."""
        texts = {}
        for section, ref in head.sections.items():
            old = known.head.sections.get(section) if known else None
            if old and old.digest == ref.digest:
                texts[section] = known.texts[section]
                continue
            entry = await self.store.get(text_key(section, ref.digest))
            if entry is None:
                raise errors.ConfigError(f"the text of [{section}] is gone")
            texts[section] = entry.value.decode()
        return texts

    async def history(self, limit):
        """Return the newest ``limit`` changes, newest first."""
        head, _version = await self.head()
        start = history_key(max(0, head.revision - limit + 1))
        entries, _revision = await self.store.scan(start, prefix_end(HISTORY_PREFIX))
        changes = [msgspec.json.decode(e.value, type=config.Change) for e in entries]
        return changes[::-1]

    async def apply(self, changes, base, author):
        """Change sections and return the new revision.

        ``changes`` maps sections to texts, or to ``None`` to delete; ``base`` is the
        revision on which they were made.  Changes to other sections are merged; a
        newer change to the same section raises `ConfigConflictError`, a document that
        would be wrong `ConfigInvalidError`.
        """
        nonce = uuid.uuid4().hex
        known = None
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
        while True:
            try:
                await self.store.commit([(HEAD_KEY, version)], puts, deletes)
                return True
            except errors.CompareFailedError:
                return await self.took_effect(change)
            except errors.PlatformOutcomeUnknownError:
                await asyncio.sleep(RETRY_SECONDS)

    async def took_effect(self, change):
        """Return whether the history shows ``change`` at its revision."""
        entry = await self.store.get(history_key(change.revision))
        if entry is None:
            return False
        found = msgspec.json.decode(entry.value, type=config.Change)
        return found.nonce == change.nonce


def _raise_conflicts(changes, base, head):
    for section in changes:
        ref = head.sections.get(section)
        if ref and ref.revision > base:
            raise errors.ConfigConflictError(section, base, ref.revision)


def _raise_invalid(texts, changes):
    merged = {**texts, **changes}
    problems = config.check({s: t for s, t in merged.items() if t is not None})
    if problems:
        raise errors.ConfigInvalidError(problems)


def _revise(head, changes):
    revision = head.revision + 1
    sections = dict(head.sections)
    for section, text in changes.items():
        if text is None:
            sections.pop(section, None)
            continue
        digest = config.digest(text)
        if section not in sections or sections[section].digest != digest:
            sections[section] = config.SectionRef(digest, revision)
    return config.Head(revision, sections)


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
    return puts


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
