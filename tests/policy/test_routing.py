import random
from collections import defaultdict

import pytest

from clementinebay import model
from clementinebay.policy import routing

REPLICAS = [model.Replica(f"e{n}", f"10.0.0.{n}:80", 8, 64) for n in range(4)]
NOW = 1_000_000.0


@pytest.mark.parametrize("name", routing.POLICIES)
def test_every_policy_chooses_one_of_the_replicas(name):
    policy = routing.POLICIES[name]()
    rng = random.Random(1)
    loads = defaultdict(routing.Load)
    chosen = {policy.choose(REPLICAS, loads, rng, NOW).endpoint for _n in range(200)}
    assert chosen == {replica.endpoint for replica in REPLICAS}


@pytest.mark.parametrize("name", ["least-expected", "least-in-flight"])
def test_busy_replica_is_not_chosen(name):
    policy = routing.POLICIES[name]()
    loads = defaultdict(routing.Load)
    for replica in REPLICAS[1:]:
        loads[replica.endpoint].in_flight = 3
        loads[replica.endpoint].observe(0.01, NOW)
    loads["e0"].observe(0.01, NOW)
    choice = policy.choose(REPLICAS, loads, random.Random(1), NOW)
    assert choice.endpoint == "e0"


@pytest.mark.parametrize("name", routing.POLICIES)
@pytest.mark.parametrize("number", [2, 4])
def test_replica_that_was_slow_once_is_tried_again(name, number):
    # One request every 0.1 s, each answered before the next is sent.
    policy = routing.POLICIES[name]()
    rng = random.Random(1)
    loads = defaultdict(routing.Load)
    loads["e0"].observe(1.0, NOW)
    now = NOW
    while now < NOW + 30.0:
        now += 0.1
        chosen = policy.choose(REPLICAS[:number], loads, rng, now)
        if chosen.endpoint == "e0":
            return
        loads[chosen.endpoint].observe(0.001, now)
    pytest.fail("the replica was never tried again")


def test_slow_replica_gets_few_requests():
    policy = routing.TwoExpected()
    rng = random.Random(1)
    loads = defaultdict(routing.Load)
    seconds = {"e0": 0.05, "e1": 0.01, "e2": 0.01, "e3": 0.01}
    slow_requests = 0
    for number in range(6000):
        now = NOW + number * 0.01
        endpoint = policy.choose(REPLICAS, loads, rng, now).endpoint
        slow_requests += endpoint == "e0"
        loads[endpoint].observe(seconds[endpoint], now)
    # Less than 1%, so that the slow replica does not affect the p99.
    assert 1 < slow_requests < 60


@pytest.mark.parametrize("allowed", range(1, 9))
def test_shares_of_connections_never_exceed_the_limit_of_the_endpoint(allowed):
    # Live lists may be outdated, so each daemon may see any number of daemons.
    for daemons in range(1, allowed + 1):
        max_share = max(
            routing.connection_share(64, 2, seen, allowed) + 2
            for seen in range(1, daemons + 1)
        )
        assert daemons * max_share <= 64


def test_request_is_sent_to_another_domain_only_if_that_is_faster():
    assert not routing.should_spill(0.05, 0.04, cost_seconds=0.02)
    assert routing.should_spill(0.07, 0.04, cost_seconds=0.02)
