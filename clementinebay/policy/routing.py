"""Which replica a request goes to."""


class Load:
    """What this daemon knows of one endpoint: requests in flight and latency."""

    __slots__ = ("in_flight", "latency")

    def __init__(self):
        self.in_flight = 0
        self.latency = 0.0


def choose(replicas, loads, share, excluded, rng):
    """Return the less loaded of two random replicas, or ``None`` if all are full.

    ``share`` maps a replica to the requests that this daemon may have in flight there;
    endpoints in ``excluded`` are passed over.
    """
    open_replicas = [
        replica
        for replica in replicas
        if replica.endpoint not in excluded
        and loads[replica.endpoint].in_flight < share(replica)
    ]
    if not open_replicas:
        return None
    pair = rng.sample(open_replicas, min(2, len(open_replicas)))
    return min(pair, key=lambda replica: loads[replica.endpoint].in_flight)
