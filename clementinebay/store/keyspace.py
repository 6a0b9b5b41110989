"""An in-memory key-value space with revisions, leases and a history of changes.

`MemoryStore` provides it as a `KeyValueStore` for tests and for programs that embed
parts of this package without a platform.
"""

import asyncio

from clementinebay import errors
from clementinebay.store.base import Entry, KeyValueStore

#: Maximum number of changes kept for watches that start at an earlier revision.
HISTORY_LIMIT = 10_000


class KeySpace:
    """Keys, leases and change history; every method is atomic."""

    def __init__(self, clock):
        self.clock = clock
        self.entries = {}
        self.revision = 1
        self.history = []
        self.compacted = False
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()

    def range(self, start, end, limit=0):
        """Return the entries from ``start`` up to before ``end``, in order."""
        self.expire()
        keys = sorted(key for key in self.entries if start <= key < end)
        return [self.entries[key] for key in (keys[:limit] if limit else keys)]

    def get(self, key):
        """Return the entry at ``key``, or ``None``."""
        self.expire()
        return self.entries.get(key)

    def commit(self, compares, puts=(), deletes=()):
        """Apply the writes if all ``compares`` match; return the revision."""
        self.expire()
        for key, version in compares:
            entry = self.entries.get(key)
            if (entry.version if entry else 0) != version:
                raise errors.CompareFailedError(key, entry)
        for put in puts:
            if put.lease and put.lease not in self.leases:
                raise errors.LeaseGoneError(f"no lease {put.lease} for key {put.key}")
        deleted_keys = [key for s, e in deletes for key in self.entries if s <= key < e]
        if not puts and not deleted_keys:
            return self.revision
        self.revision += 1
        for key in deleted_keys:
            self.remove(key)
        for put in puts:
            self.apply_put(put)
        self.notify_watches()
        return self.revision

    def apply_put(self, put):
        """Set one key at the current revision."""
        old = self.entries.get(put.key)
        if old and old.lease in self.leases:
            self.leases[old.lease].keys.discard(put.key)
        if put.lease:
            self.leases[put.lease].keys.add(put.key)
        entry = Entry(put.key, put.value, self.revision, put.lease)
        self.entries[put.key] = entry
        self.record_change(entry)

    def remove(self, key):
        """Delete one key at the current revision."""
        entry = self.entries.pop(key)
        if entry.lease in self.leases:
            self.leases[entry.lease].keys.discard(key)
        self.record_change(Entry(key, None, self.revision))

    def record_change(self, entry):
        """Add a change to the history."""
        self.history.append(entry)
        if len(self.history) > HISTORY_LIMIT:
            del self.history[: HISTORY_LIMIT // 2]
            self.compacted = True

    def notify_watches(self):
        """Wake up all waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    def changes(self, start, end, revision):
        """Return the changes after ``revision``; raise `LogGapError` if compacted."""
        if self.compacted and revision < self.history[0].version - 1:
            raise errors.LogGapError("the requested changes are compacted")
        found = []
        for entry in reversed(self.history):
            if entry.version <= revision:
                break
            if start <= entry.key < end:
                found.append(entry)
        return found[::-1]

    def grant(self, ttl):
        """Return the id of a new lease of ``ttl`` seconds."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = _Lease(ttl, self.clock.now() + ttl)
        return lease

    def keep_alive(self, lease):
        """Renew ``lease``; return its remaining seconds, or 0 if it does not exist."""
        self.expire()
        lease_state = self.leases.get(lease)
        if lease_state is None:
            return 0
        lease_state.deadline = self.clock.now() + lease_state.ttl
        return lease_state.ttl

    def revoke(self, lease):
        """Revoke ``lease`` and delete its keys."""
        lease_state = self.leases.pop(lease, None)
        if lease_state and lease_state.keys:
            self.revision += 1
            for key in list(lease_state.keys):
                self.remove(key)
            self.notify_watches()

    def expire(self):
        """Revoke leases whose deadline has passed."""
        now = self.clock.now()
        for lease in [
            i for i, lease_state in self.leases.items() if lease_state.deadline <= now
        ]:
            self.revoke(lease)


class _Lease:
    __slots__ = ("ttl", "deadline", "keys")

    def __init__(self, ttl, deadline):
        self.ttl = ttl
        self.deadline = deadline
        self.keys = set()


class MemoryStore(KeyValueStore):
    """A `KeyValueStore` backed by a `KeySpace`."""

    def __init__(self, space):
        self.space = space

    async def get(self, key):
        """See `KeyValueStore`."""
        return self.space.get(key)

    async def scan(self, start, end, limit=0):
        """See `KeyValueStore`."""
        return self.space.range(start, end, limit), self.space.revision

    async def commit(self, compares, puts=(), deletes=()):
        """See `KeyValueStore`."""
        return self.space.commit(compares, puts, deletes)

    async def grant(self, ttl):
        """See `KeyValueStore`."""
        return self.space.grant(ttl)

    async def keep_alive(self, lease):
        """See `KeyValueStore`."""
        return self.space.keep_alive(lease)

    async def revoke(self, lease):
        """See `KeyValueStore`."""
        self.space.revoke(lease)

    async def watch(self, start, end, revision):
        """See `KeyValueStore`."""
        while True:
            changed = self.space.changed
            entries = self.space.changes(start, end, revision)
            revision = self.space.revision
            if entries:
                yield entries, revision
            else:
                await changed.wait()
