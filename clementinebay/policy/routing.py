"""Routing policies, which choose the replica for a request, and shares of endpoints."""

from abc import ABC, abstractmethod

#: Weight of a new latency in the moving average.
LATENCY_WEIGHT = 0.1
#: Lower bound of the average, so that it does not outweigh the requests in flight.
MIN_LATENCY_SECONDS = 0.0005
#: Time without a response after which the average counts half.
LATENCY_HALF_LIFE_SECONDS = 2.0


class Load:
    """Requests in flight to one target, and a moving average of its latency.

    The average decays while no response arrives, so that a target that was slow once is
    tried again.  The first response after a pause gets a larger weight.
    """

    __slots__ = ("in_flight", "latency", "observed_at")

    def __init__(self):
        self.in_flight = 0
        self.latency = 0.0
        self.observed_at = 0.0

    def observe(self, seconds, now):
        """Add the latency of a response to the average."""
        weight = max(LATENCY_WEIGHT, 1.0 - self.freshness(now))
        self.latency += weight * (seconds - self.latency)
        self.observed_at = now

    def freshness(self, now):
        """Return the weight of the average, from 1 just after a response down to 0."""
        silent_seconds = max(0.0, now - self.observed_at)
        return 0.5 ** (silent_seconds / LATENCY_HALF_LIFE_SECONDS)

    def current_latency(self, now):
        """Return the decayed average latency at ``now``, in seconds."""
        return max(MIN_LATENCY_SECONDS, self.latency * self.freshness(now))

    def expected(self, now):
        """Return the latency of one more request that queues behind the others."""
        return (self.in_flight + 1) * self.current_latency(now)


class RoutingPolicy(ABC):
    """Chooses among replicas that can accept one more request."""

    @abstractmethod
    def choose(self, replicas, loads, rng, now):
        """Return one of ``replicas``; ``loads`` maps an endpoint to its `Load`."""


class RandomChoice(RoutingPolicy):
    """A random replica."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        return rng.choice(replicas)


class RoundRobin(RoutingPolicy):
    """Each replica in turn, ordered by endpoint."""

    def __init__(self):
        self.last_endpoint = ""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        ordered = sorted(replicas, key=lambda replica: replica.endpoint)
        later = [
            replica for replica in ordered if replica.endpoint > self.last_endpoint
        ]
        choice = later[0] if later else ordered[0]
        self.last_endpoint = choice.endpoint
        return choice


class PowerOfTwo(RoutingPolicy):
    """The one of two random replicas with fewer requests in flight."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        pair = rng.sample(replicas, min(2, len(replicas)))
        return min(pair, key=lambda replica: loads[replica.endpoint].in_flight)


class LeastExpected(RoutingPolicy):
    """The replica with the lowest expected latency."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        return min(
            replicas,
            key=lambda replica: (loads[replica.endpoint].expected(now), rng.random()),
        )


class TwoExpected(RoutingPolicy):
    """The one of two random replicas with the lower expected latency."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""
        count = len(replicas)
        first = int(rng.random() * count)
        # A second, different replica; much cheaper than rng.sample.
        second = (first + 1 + int(rng.random() * (count - 1))) % count
        one, other = replicas[first], replicas[second]
        if loads[other.endpoint].expected(now) < loads[one.endpoint].expected(now):
            return other
        return one


class LeastInFlight(RoutingPolicy):
    """The replica with the fewest requests in flight, among equals a faster one."""

    def choose(self, replicas, loads, rng, now):
        """See `RoutingPolicy`."""

        def rank(replica):
            load = loads[replica.endpoint]
            return load.in_flight, load.current_latency(now) * rng.uniform(0.5, 1.5)

        return min(replicas, key=rank)


POLICIES = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "power-of-two": PowerOfTwo,
    "least-expected": LeastExpected,
    "two-expected": TwoExpected,
    "least-in-flight": LeastInFlight,
}


def connection_share(connections, reserved, daemons, max_daemons):
    """Return how many connections to an endpoint one daemon may use for requests.

    ``daemons`` is the number of daemons on the live list, ``max_daemons`` the number
    that operators provide for.  ``reserved`` connections of each daemon are for orders.
    The share does not change when a daemon joins, so the sum stays within
    ``connections`` even if live lists are outdated.
    """
    return max(1, connections // max(daemons, max_daemons) - reserved)


def slot_share(slots, daemons, overcommit_percent):
    """Return how many requests one of ``daemons`` may have in flight to an endpoint."""
    return max(1, -(-slots * overcommit_percent // (100 * max(1, daemons))))


def should_spill(local_seconds, remote_seconds, cost_seconds):
    """Return whether a request should be sent to another domain.

    The arguments are the expected latencies in this and in the other domain, and the
    cost of the hop between them.
    """
    return local_seconds > remote_seconds + cost_seconds
