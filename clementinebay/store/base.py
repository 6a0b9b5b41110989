"""Contracts of the platform: a key-value service and a lagging list of VMs."""

from abc import ABC, abstractmethod

#: Largest value that the platform holds, in bytes.
MAX_VALUE_BYTES = 1_000_000


def prefix_end(prefix):
    """Return the first key after all keys that begin with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class Entry:
    """A key with its value; ``version`` is the revision of its last change.

    Version 0 stands for a key that does not exist.
    """

    __slots__ = ("key", "value", "version", "lease")

    def __init__(self, key, value, version, lease=0):
        self.key = key
        self.value = value
        self.version = version
        self.lease = lease


class Put:
    """A write inside `KeyValueStore.commit`; a lease of 0 is none."""

    __slots__ = ("key", "value", "lease")

    def __init__(self, key, value, lease=0):
        self.key = key
        self.value = value
        self.lease = lease


class KeyValueStore(ABC):
    """The platform's key-value service.

    Keys are texts and values bytes.  Every call raises `PlatformUnavailableError` when
    it had no effect and `PlatformOutcomeUnknownError` when a write may have taken
    effect.
    """

    @abstractmethod
    async def get(self, key):
        """Return the `Entry` at ``key``, or ``None``."""

    @abstractmethod
    async def scan(self, start, end, limit=0):
        """Return the entries from ``start`` to before ``end``, and the revision."""

    @abstractmethod
    async def commit(self, compares, puts=(), deletes=()):
        """Write atomically and return the new revision.

        ``compares`` lists (key, version) that must hold, else `CompareFailedError` with
        the entry found; ``deletes`` lists (start, end) ranges.
        """

    @abstractmethod
    async def grant(self, ttl):
        """Return the id of a new lease of ``ttl`` whole seconds."""

    @abstractmethod
    async def keep_alive(self, lease):
        """Renew ``lease`` and return its seconds to live, 0 if it is gone."""

    @abstractmethod
    async def revoke(self, lease):
        """End ``lease`` and delete its keys."""

    @abstractmethod
    def watch(self, start, end, revision):
        """Iterate asynchronously over changes after ``revision``.

        Yields (entries, revision); a deleted key comes with the value ``None``.
        Raises `PlatformError` when the watch breaks.
        """

    async def create(self, key, value, lease=0):
        """Write ``key`` if it does not exist; return its version."""
        return await self.commit([(key, 0)], [Put(key, value, lease)])

    async def swap(self, key, value, version, lease=0):
        """Write ``key`` if its version is ``version``; return the new version."""
        return await self.commit([(key, version)], [Put(key, value, lease)])

    async def reserve(self):
        """Wait for the turn of one write, so that the next one need not wait.

        For a store that limits its callers, before a read that a write rests on.
        """

    async def close(self):
        """Give up connections."""


class Vm:
    """One VM of the live list."""

    __slots__ = (
        "id",
        "role",
        "address",
        "failure_domain",
        "rack",
        "leaving",
        "processors_milli",
        "memory_mb",
        "accelerators",
        "slots",
        "connections",
    )

    def __init__(self, id, role, address, failure_domain, **rest):
        self.id = id
        self.role = role
        self.address = address
        self.failure_domain = failure_domain
        self.rack = rest.get("rack", "")
        self.leaving = bool(rest.get("leaving", False))
        self.processors_milli = int(rest.get("processors_milli", 0))
        self.memory_mb = int(rest.get("memory_mb", 0))
        self.accelerators = int(rest.get("accelerators", 0))
        self.slots = int(rest.get("slots", 8))
        self.connections = int(rest.get("connections", 64))


class LiveList(ABC):
    """The platform's lagging list of VMs."""

    @abstractmethod
    async def read(self):
        """Return a list of `Vm`, or ``None`` if it has not changed since last read."""

    async def close(self):
        """Give up connections."""
