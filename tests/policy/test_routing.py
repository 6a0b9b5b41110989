import random
from collections import defaultdict

import pytest

from clementinebay import model
from clementinebay.policy import routing

REPLICAS = [model.Replica(f"e{n}", f"10.0.0.{n}:80", 8, 64) for n in range(4)]


@pytest.mark.parametrize("name", routing.POLICIES)
def test_every_policy_chooses_one_of_the_replicas(name):
    policy = routing.POLICIES[name]()
    rng = random.Random(1)
    loads = defaultdict(routing.Load)
    chosen = {policy.choose(REPLICAS, loads, rng).endpoint for _n in range(200)}
    assert chosen == {replica.endpoint for replica in REPLICAS}


@pytest.mark.parametrize("name", ["least-expected", "least-in-flight"])
def test_a_busy_replica_is_passed_over(name):
    policy = routing.POLICIES[name]()
    loads = defaultdict(routing.Load)
    for replica in REPLICAS[1:]:
        loads[replica.endpoint].in_flight = 3
        loads[replica.endpoint].note(0.01)
    loads["e0"].note(0.01)
    choice = policy.choose(REPLICAS, loads, random.Random(1))
    assert choice.endpoint == "e0"


@pytest.mark.parametrize("allowed", range(1, 9))
def test_shares_of_connections_never_exceed_the_endpoint(allowed):
    # Each daemon may see any number of daemons, as the live list lags.
    for daemons in range(1, allowed + 1):
        most = max(
            routing.connection_share(64, 2, seen, allowed) + 2
            for seen in range(1, daemons + 1)
        )
        assert daemons * most <= 64


def test_a_request_leaves_its_domain_only_if_that_is_quicker():
    assert not routing.spills(0.05, 0.04, cost_seconds=0.02)
    assert routing.spills(0.07, 0.04, cost_seconds=0.02)
