"""Tables of services that daemons tell each other, with versions and deltas."""

#: Versions of a table begin with the time of its making, in units of a second.
VERSIONS_PER_SECOND = 1000
#: Services without replicas that a table remembers.
GONE_LIMIT = 1000


class ServiceTable:
    """Replicas by service of one domain; ``version`` grows with each change.

    Versions begin with the time ``now``, in seconds since the Unix epoch, so they grow
    over restarts too.
    """

    __slots__ = ("first", "version", "replicas", "changed")

    def __init__(self, now):
        self.first = int(now * VERSIONS_PER_SECOND)
        self.version = self.first
        self.replicas = {}
        self.changed = {}

    def update(self, replicas):
        """Take {service: replicas}; what is absent has none."""
        if replicas == self.replicas:
            return
        self.version += 1
        for service in replicas.keys() | self.replicas.keys():
            if replicas.get(service, 0) != self.replicas.get(service, 0):
                self.changed[service] = self.version
        self.replicas = replicas
        if len(self.changed) > len(replicas) + GONE_LIMIT:
            self.begin_again()

    def begin_again(self):
        """Forget services without replicas; peers are told the whole table."""
        self.first = self.version = self.version + 1
        self.changed = dict.fromkeys(self.replicas, self.version)

    def base(self, known):
        """Return the version that changes can be told from, 0 for the whole table."""
        return known if self.first <= known <= self.version else 0

    def changes(self, base):
        """Return (service, replicas) of what changed after ``base``."""
        if not base:
            return list(self.replicas.items())
        return [
            (service, self.replicas.get(service, 0))
            for service, version in self.changed.items()
            if version > base
        ]


class Neighbour:
    """What a peer told of itself.

    ``version`` is that of the peer's table here, ``acknowledged_version`` that of this
    daemon's table there; ``heard_at`` and the deadline ``fresh_until`` are in seconds.
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
        """Take in a `wire.Gossip`; changes on an unknown base are passed over."""
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
        """Return how many replicas of ``service`` the peer's domain runs."""
        return self.table.get(service, 0)
