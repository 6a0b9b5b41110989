"""Versioned tables of services that daemons exchange as deltas."""

#: The first version of a table is its creation time in seconds times this number.
VERSIONS_PER_SECOND = 1000
#: Number of services without replicas whose last change a table keeps.
MAX_REMOVED_SERVICES = 1000


class ServiceTable:
    """The replicas of each service in one domain; each change increments ``version``.

    The first version is derived from the time ``now``, in seconds since the Unix epoch,
    so that versions also increase across restarts.
    """

    __slots__ = ("first_version", "version", "replicas", "change_versions")

    def __init__(self, now):
        self.first_version = int(now * VERSIONS_PER_SECOND)
        self.version = self.first_version
        self.replicas = {}
        self.change_versions = {}

    def update(self, replicas):
        """Set the table to {service: replicas}; absent services have no replicas."""
        if replicas == self.replicas:
            return
        self.version += 1
        for service in replicas.keys() | self.replicas.keys():
            if replicas.get(service, 0) != self.replicas.get(service, 0):
                self.change_versions[service] = self.version
        self.replicas = replicas
        if len(self.change_versions) > len(replicas) + MAX_REMOVED_SERVICES:
            self.reset()

    def reset(self):
        """Drop services without replicas; peers then receive the whole table."""
        self.first_version = self.version = self.version + 1
        self.change_versions = dict.fromkeys(self.replicas, self.version)

    def base(self, known):
        """Return the base version of a delta for a peer that has version ``known``.

        It is 0 if the peer needs the whole table.
        """
        return known if self.first_version <= known <= self.version else 0

    def changes(self, base):
        """Return (service, replicas) of each service that changed after ``base``."""
        if not base:
            return list(self.replicas.items())
        return [
            (service, self.replicas.get(service, 0))
            for service, version in self.change_versions.items()
            if version > base
        ]


class Neighbour:
    """A peer as described by its latest gossip.

    ``table`` is this daemon's copy of the peer's table, of version ``version``.
    ``acknowledged_version`` is the version of this daemon's table that the peer has.
    ``heard_at`` is the time of the last message and ``fresh_until`` the time until
    which the peer is considered alive, both in seconds.
    """

    __slots__ = (
        "gossip",
        "fresh_until",
        "heard_at",
        "table",
        "version",
        "acknowledged_version",
    )

    def __init__(self):
        self.gossip = None
        self.fresh_until = 0.0
        self.heard_at = 0.0
        self.table = {}
        self.version = 0
        self.acknowledged_version = 0

    def learn(self, gossip):
        """Apply a `wire.Gossip`; a delta from a base that is not known is ignored."""
        self.gossip = gossip
        self.acknowledged_version = gossip.known
        if not gossip.base:
            self.table = {}
        elif gossip.base > self.version or gossip.version < self.version:
            return
        for capacity in gossip.services or ():
            if capacity.replicas:
                self.table[capacity.service_name] = capacity.replicas
            else:
                self.table.pop(capacity.service_name, None)
        self.version = gossip.version

    def replicas(self, service):
        """Return the number of replicas of ``service`` in the peer's domain."""
        return self.table.get(service, 0)
