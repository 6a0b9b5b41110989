"""Interfaces of the platform: a key-value service and a lagging list of VMs."""

from abc import ABC, abstractmethod

#: Largest value that the platform accepts, in bytes.
MAX_VALUE_BYTES = 1_000_000


def prefix_end(prefix):
    """Return the first key after all keys that start with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


class Entry:
    """A key with its value; ``version`` is the revision of its last change.

    Version 0 denotes a key that does not exist.
    """

    __slots__ = ("key", "value", "version", "lease")

    def __init__(self, key, value, version, lease=0):
        self.key = key
        self.value = value
        self.version = version
        self.lease = lease


class Put:
    """A write in a `KeyValueStore.commit`; a ``lease`` of 0 means no lease."""

    __slots__ = ("key", "value", "lease")

    def __init__(self, key, value, lease=0):
        self.key = key
        self.value = value
        self.lease = lease


class KeyValueStore(ABC):
    """The platform's key-value service.

    Keys are strings and values bytes.  A call that fails raises
    `PlatformUnavailableError` if it had no effect, and `PlatformOutcomeUnknownError` if
    it may have taken effect.
    """

    @abstractmethod
    async def get(self, key):
        """Return the `Entry` at ``key``, or ``None``."""

    @abstractmethod
    async def scan(self, start, end, limit=0):
        """Return the entries from ``start`` up to before ``end``, and the revision.

        A ``limit`` of 0 means no limit.
        """

    @abstractmethod
    async def commit(self, compares, puts=(), deletes=()):
        """Write atomically and return the new revision.

        ``compares`` lists (key, version) pairs; if one does not match, nothing is
        written and `CompareFailedError` is raised with the entry found.  ``deletes``
        lists (start, end) ranges.
        """

    @abstractmethod
    async def grant(self, ttl):
        """Return the id of a new lease of ``ttl`` whole seconds."""

    @abstractmethod
    async def keep_alive(self, lease):
        """Renew ``lease``; return its remaining seconds, or 0 if it does not exist."""

    @abstractmethod
    async def revoke(self, lease):
        """Revoke ``lease`` and delete its keys."""

    @abstractmethod
    def watch(self, start, end, revision):
        """Iterate asynchronously over changes after ``revision``.

        Yields (entries, revision); the entry of a deleted key has the value ``None``.
        Raises `PlatformError` when the watch fails.
        """

    async def create(self, key, value, lease=0):
        """Write ``key`` if it does not exist; return its version."""
        return await self.commit([(key, 0)], [Put(key, value, lease)])

    async def swap(self, key, value, version, lease=0):
        """Write ``key`` if its version is ``version``; return the new version."""
        return await self.commit([(key, version)], [Put(key, value, lease)])

    async def reserve(self):
        """Wait until a write may be made, so that the next one is not delayed.

        For a store that limits its call rate.  Called before a read on which a write
        depends, to keep the time between the two short.
        """

    async def close(self):
        """Close the connections."""


class Vm:
    """A VM of the live list."""

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
    """The platform's list of VMs, which lags behind the actual state."""

    @abstractmethod
    async def read(self):
        """Return a list of `Vm`, or ``None`` if unchanged since the last read."""

    async def close(self):
        """Close the connections."""
