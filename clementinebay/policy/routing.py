"""Which replica a request goes to: policies by name, each a pure decision."""

from abc import ABC, abstractmethod

#: Weight of the newest latency in the average.
LATENCY_WEIGHT = 0.1
#: Latency assumed at least, in seconds, so that in-flight counts stay decisive.
LATENCY_FLOOR = 0.0005
#: An average that gets no new answer counts half after so many seconds.
LATENCY_HALF_LIFE_SECONDS = 2.0


class Load:
    """What this daemon knows of one target: requests in flight and mean latency.

    The average fades while no answer comes, so a target that was slow once is tried
    again, and the answer that ends the silence weighs the more.
    """

    __slots__ = ("in_flight", "latency", "noted_at")

    def __init__(self):
        self.in_flight = 0
        self.latency = 0.0
        self.noted_at = 0.0

    def observe(self, seconds, now):
        """Take the latency of an answer into the average."""
        weight = max(LATENCY_WEIGHT, 1.0 - self.freshness(now))
        self.latency += weight * (seconds - self.latency)
        self.noted_at = now

    def freshness(self, now):
        """Return what the average still counts: 1 for a new one, 0 for none."""
        silent = max(0.0, now - self.noted_at)
        return 0.5 ** (silent / LATENCY_HALF_LIFE_SECONDS)

    def faded(self, now):
        """Return the average latency at ``now``, in seconds."""
        return max(LATENCY_FLOOR, self.latency * self.freshness(now))

    def expected(self, now):
        """Latency of one more request, in seconds, if it queues behind the others."""
        return (self.in_flight + 1) * self.faded(now)


class RoutingPolicy(ABC):
    """Chooses among replicas that may take one more request."""

    @abstractmethod
    def choose(self, replicas, loads, rng, now):
        """Return one of ``replicas``; ``loads`` maps an endpoint to its `Load`."""


class RandomChoice(RoutingPolicy):
    """Any replica."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        return rng.choice(replicas)


class RoundRobin(RoutingPolicy):
    """Each replica in turn, in order of their endpoints."""

    def __init__(self):
        self.last = ""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        ordered = sorted(replicas, key=lambda replica: replica.endpoint)
        later = [replica for replica in ordered if replica.endpoint > self.last]
        choice = later[0] if later else ordered[0]
        self.last = choice.endpoint
        return choice


class PowerOfTwo(RoutingPolicy):
    """The one of two random replicas with fewer requests in flight."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        pair = rng.sample(replicas, min(2, len(replicas)))
        return min(pair, key=lambda replica: loads[replica.endpoint].in_flight)


class LeastExpected(RoutingPolicy):
    """The replica with the least product of requests in flight and latency."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        return min(
            replicas,
            key=lambda replica: (loads[replica.endpoint].expected(now), rng.random()),
        )


class TwoExpected(RoutingPolicy):
    """The one of two random replicas with the less expected latency."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        count = len(replicas)
        first = int(rng.random() * count)
        # A second one that differs; much cheaper than rng.sample.
        second = (first + 1 + int(rng.random() * (count - 1))) % count
        one, other = replicas[first], replicas[second]
        if loads[other.endpoint].expected(now) < loads[one.endpoint].expected(now):
            return other
        return one


class LeastInFlight(RoutingPolicy):
    """The replica with the fewest requests in flight, the quicker one of equals."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""

        def rank(replica):
            load = loads[replica.endpoint]
            return load.in_flight, load.faded(now) * rng.uniform(0.5, 1.5)

        return min(replicas, key=rank)


POLICIES = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "power-of-two": PowerOfTwo,
    "least-expected": LeastExpected,
    "two-expected": TwoExpected,
    "least-in-flight": LeastInFlight,
}


def connection_share(connections, reserved, sharers, most_sharers):
    """Return how many connections to an endpoint one daemon may have.

    ``sharers`` daemons are seen, ``most_sharers`` is what operators allow for;
    ``reserved`` connections of each daemon are for orders.  The share is the same
    before and after a daemon joins, so no list that lags can make the sum too large.
    """
    return max(1, connections // max(sharers, most_sharers) - reserved)


def slot_share(slots, sharers, overcommit_percent):
    """Return how many requests one of ``sharers`` daemons keeps at an endpoint."""
    return max(1, -(-slots * overcommit_percent // (100 * max(1, sharers))))


def should_spill(local_seconds, remote_seconds, cost_seconds):
    """Return whether a request should leave its domain.

    The arguments are the expected latency here, the expected latency there, and what
    the hop costs; a domain that serves in time keeps its requests.
    """
    return local_seconds > remote_seconds + cost_seconds
