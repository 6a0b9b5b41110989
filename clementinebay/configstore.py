"""Storage of the configuration document: optimistic writes, incremental reads."""

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
#: Number of changes kept in the history; deletions are remembered equally long.
HISTORY_LIMIT = 2_000
#: Maximum number of changes returned by one read of the history.
HISTORY_READ_LIMIT = 200
#: Page size when a reader catches up through the history; a reader that is further
#: behind reads the head instead.
FOLLOW_LIMIT = 20
#: Maximum number of section texts fetched one by one; more are fetched by scans.
MAX_SINGLE_FETCHES = 8
#: Number of texts returned by one scan.
SCAN_LIMIT = 100
#: Maximum attempts to merge a change with concurrent ones.
MERGE_ATTEMPTS = 100
#: Maximum wait for earlier changes made by this process, in seconds.
LOCK_TIMEOUT_SECONDS = 10.0
#: Delay before a read or write is retried, in seconds.
RETRY_SECONDS = 0.2
#: Maximum time to determine the outcome of a write without a response, in seconds.
SETTLE_TIMEOUT_SECONDS = 10.0


def text_key(section, digest):
    """Return the store key of a section's text."""
    return f"{SECTION_PREFIX}{section}/{digest}"


def history_key(revision):
    """Return the store key of the change that produced ``revision``."""
    return f"{HISTORY_PREFIX}{revision:010d}"


class ConfigStore:
    """Reads and changes the document in a `KeyValueStore`."""

    def __init__(self, store, clock):
        self.store = store
        self.clock = clock
        self.write_lock = asyncio.Lock()

    async def revision(self):
        """Return the newest revision number, which is cheaper than `head`."""
        entry = await self.store.get(REVISION_KEY)
        return int(entry.value) if entry else 0

    async def head(self):
        """Return the newest `Head` and the version of its key."""
        entry = await self.store.get(HEAD_KEY)
        if entry is None:
            return config.Head(), 0
        return msgspec.json.decode(entry.value, type=config.Head), entry.version

    async def document(self, known=None):
        """Return the newest `Document`, fetching only what changed since ``known``."""
        updated = await self.follow(known) if known and known.revision else None
        if updated is not None:
            return updated
        while True:
            head, _version = await self.head()
            try:
                return config.Document(head, await self.texts(head, known), known)
            except errors.ConfigError:
                # The section was replaced between the two reads.
                await asyncio.sleep(RETRY_SECONDS)

    async def follow(self, known):
        """Return ``known`` with later changes applied, ``None`` if they are too many.

        Changes contain the new texts, so neither the head nor a section is read.
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
        """Return {section: text} of ``head``.

        Raises `ConfigError` if a text has been deleted meanwhile.
        """
        texts = _unchanged_texts(head, known)
        missing = {
            section: text_key(section, ref.digest)
            for section, ref in head.sections.items()
            if section not in texts
        }
        if len(missing) > MAX_SINGLE_FETCHES:
            found = await self.scan_texts()
        else:
            entries = await asyncio.gather(*map(self.store.get, missing.values()))
            found = {entry.key: entry.value for entry in entries if entry}
        for section, key in missing.items():
            if key not in found:
                raise errors.ConfigError(f"the text of [{section}] was deleted")
            texts[section] = found[key].decode()
        return texts

    async def scan_texts(self):
        """Return {key: value} of all section texts, read in pages."""
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
        """Apply ``changes`` and return the new revision.

        ``changes`` maps sections to their new texts, or to ``None`` to delete them;
        ``base`` is the revision on which they are based.  Concurrent changes to other
        sections are merged.  A `Document` passed as ``known`` saves reads.

        Raises `ConfigConflictError` if a section was changed differently after
        ``base``, `ConfigInvalidError` if the resulting document would be invalid, and
        `ConfigOutcomeUnknownError` if the outcome of the write cannot be determined.
        """
        changes = _clean(changes)
        async with self.exclusive_write():
            return await self.merge(changes, base, author, known)

    @contextlib.asynccontextmanager
    async def exclusive_write(self):
        """Serialize the changes of this process, so that they do not conflict.

        Raises `ConfigError` if earlier changes take too long.
        """
        try:
            async with asyncio.timeout(LOCK_TIMEOUT_SECONDS):
                await self.write_lock.acquire()
        except TimeoutError as error:
            raise errors.ConfigError(
                "timed out waiting for earlier changes; try again"
            ) from error
        try:
            yield
        finally:
            self.write_lock.release()

    async def merge(self, changes, base, author, known):
        """Write ``changes`` on top of the newest revision; retry after conflicts."""
        nonce = uuid.uuid4().hex
        for _attempt in range(MERGE_ATTEMPTS):
            head, version = await self.head()
            _check_conflicts(changes, base, head)
            known = await self.document(known)
            if known.revision != head.revision:
                continue
            revised = _revise(head, changes)
            if revised.sections == head.sections:
                return head.revision
            _check_merged(known.texts, changes)
            change = config.Change(
                revised.revision, author, nonce, self.clock.now(), changes
            )
            if await self.write(head, version, revised, change):
                return revised.revision
        raise errors.ConfigError("too many concurrent changes; try again")

    async def write(self, head, version, revised, change):
        """Write ``revised``, repeatedly if responses are lost.

        Returns whether the write took effect.
        """
        puts = _build_puts(revised, change)
        deletes = _obsolete_ranges(head, revised, change)
        deadline = self.clock.now() + SETTLE_TIMEOUT_SECONDS
        uncertain = False
        while True:
            try:
                await self.store.commit([(HEAD_KEY, version)], puts, deletes)
                return True
            except errors.CompareFailedError:
                # The compared version is outdated, so no delayed copy of this write
                # can still take effect.
                return uncertain and await self.took_effect(change, deadline)
            except errors.PlatformOutcomeUnknownError:
                uncertain = True
            except errors.PlatformError:
                if not uncertain:
                    raise
            await self.wait_before_retry(deadline)

    async def wait_before_retry(self, deadline):
        """Wait before the next attempt to determine the outcome of a write.

        Raises `ConfigOutcomeUnknownError` once the deadline has passed.
        """
        if self.clock.now() >= deadline:
            raise errors.ConfigOutcomeUnknownError(
                "the platform did not confirm whether the change is in force"
            )
        await asyncio.sleep(RETRY_SECONDS)

    async def took_effect(self, change, deadline):
        """Return whether the history contains ``change`` at its revision."""
        while True:
            try:
                entry = await self.store.get(history_key(change.revision))
            except errors.PlatformError:
                await self.wait_before_retry(deadline)
                continue
            if entry is None:
                return False
            found = msgspec.json.decode(entry.value, type=config.Change)
            return found.nonce == change.nonce


def _unchanged_texts(head, known):
    """Return {section: text} of the sections of ``head`` that ``known`` contains."""
    if known is None:
        return {}
    old = known.head.sections
    return {
        section: known.texts[section]
        for section, ref in head.sections.items()
        if section in old and old[section].digest == ref.digest
    }


def _clean(changes):
    """Return ``changes`` with canonical texts.

    Raises `ConfigInvalidError` with the problems of all sections.
    """
    cleaned, problems = {}, []
    for section, text in changes.items():
        try:
            cleaned[section] = None if text is None else config.clean(section, text)
        except errors.ConfigInvalidError as error:
            problems += error.problems
    if problems:
        raise errors.ConfigInvalidError(problems)
    return cleaned


def _check_conflicts(changes, base, head):
    """Raise `ConfigConflictError` if a section was changed after ``base``."""
    oldest_known = head.revision - HISTORY_LIMIT
    for section, text in changes.items():
        ref = head.sections.get(section)
        digest = None if text is None else config.digest(text)
        if digest == (ref.digest if ref else None):
            # Another operator has already made the same change.
            continue
        found = ref.revision if ref else head.deleted.get(section, oldest_known)
        if found > base:
            raise errors.ConfigConflictError(section, base, found)


def _check_merged(texts, changes):
    """Raise `ConfigInvalidError` if ``changes`` make the document invalid."""
    merged = {**texts, **changes}
    problems = config.check({s: t for s, t in merged.items() if t is not None})
    if problems:
        raise errors.ConfigInvalidError(problems)


def _revise(head, changes):
    """Return the `Head` of the next revision, with ``changes`` applied."""
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


def _build_puts(revised, change):
    """Return the writes of the head, the history entry and the changed texts."""
    puts = [
        Put(HEAD_KEY, msgspec.json.encode(revised)),
        Put(REVISION_KEY, str(revised.revision).encode()),
        Put(history_key(revised.revision), msgspec.json.encode(change)),
    ]
    for section, text in change.sections.items():
        if text is not None:
            key = text_key(section, config.digest(text))
            puts.append(Put(key, text.encode()))
    _check_sizes(puts)
    return puts


def _check_sizes(puts):
    """Raise `ConfigInvalidError` if a value is too large for the store."""
    allowed = f"at most {MAX_VALUE_BYTES} bytes per change and head"
    for put in puts:
        if len(put.value) > MAX_VALUE_BYTES:
            problem = config.Problem("*", "*", len(put.value), allowed)
            raise errors.ConfigInvalidError([problem])


def _obsolete_ranges(head, revised, change):
    """Return the key ranges to delete: replaced texts and the oldest change."""
    obsolete_keys = []
    oldest = revised.revision - HISTORY_LIMIT
    if oldest > 0:
        obsolete_keys.append(history_key(oldest))
    for section in change.sections:
        old, new = head.sections.get(section), revised.sections.get(section)
        if old and (new is None or new.digest != old.digest):
            obsolete_keys.append(text_key(section, old.digest))
    return [(key, key + "\0") for key in obsolete_keys]
