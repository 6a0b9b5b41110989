"""Requests with an idempotency key run at most once, whatever fails on the way."""

import time
import uuid

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=1, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 2)
        yield cluster


@pytest.fixture
def cluster(system):
    yield system
    helpers.restore(system)


def send_to_all(cluster, keys):
    """Send each key to every daemon at once; return (answers, number of runs)."""
    before = len(cluster.executed_requests())
    answers = helpers.in_parallel(
        [
            lambda d=daemon, k=key: helpers.request(d, Idempotency_Key=k)
            for key in keys
            for daemon in cluster.daemons
        ]
    )
    return answers, len(cluster.executed_requests()) - before


def new_keys(count):
    return [f"crew-{uuid.uuid4().hex}" for _number in range(count)]


def test_same_key_at_two_domains_at_once(cluster):
    answers, runs = send_to_all(cluster, new_keys(10))
    outcomes = [helpers.outcome(answer) for answer in answers]
    assert (outcomes.count("done"), outcomes.count("not-run"), runs) == (10, 10, 10)


def test_same_key_after_the_platform_lost_answers(cluster):
    cluster.platform_faults(lose=0.5)
    keys = new_keys(10)
    answers, runs = send_to_all(cluster, keys)
    done = [helpers.outcome(answer) for answer in answers].count("done")
    assert done == runs <= 10
    cluster.platform_faults(lose=0.0)
    retried, retried_runs = send_to_all(cluster, keys)
    assert runs + retried_runs <= 10
    assert {helpers.outcome(answer) for answer in retried} <= {"not-run", "done"}


def test_same_key_after_its_daemon_was_killed(cluster):
    killed, other = cluster.daemons
    for name in cluster.endpoints:
        cluster.endpoint_faults(name, service_seconds=1.0)
    key = new_keys(1)[0]
    before = len(cluster.executed_requests())

    def kill():
        wait_for(
            "the request to run", lambda: len(cluster.executed_requests()) > before
        )
        killed.process.kill()

    helpers.in_parallel([lambda: helpers.request(killed, Idempotency_Key=key), kill])
    retried = helpers.request(other, Idempotency_Key=key)
    assert retried.json()["code"] == "duplicate-key"
    assert len(cluster.executed_requests()) - before == 1


def test_key_during_a_platform_outage(cluster):
    cluster.platform_faults(down=True)
    keys = new_keys(4)
    answers, runs = send_to_all(cluster, keys)
    codes = {answer.json()["code"] for answer in answers}
    assert (codes, runs) == ({"key-not-claimed"}, 0)
    unkeyed = helpers.request(cluster.daemons[0])
    assert helpers.outcome(unkeyed) == "done"
    cluster.platform_faults(down=False)
    _answers, runs = send_to_all(cluster, keys)
    assert runs == 4


def test_key_whose_claim_reaches_the_platform_late(cluster):
    """The claim is delayed and takes effect after the request was refused."""
    daemon, other = cluster.daemons
    key = new_keys(1)[0]
    before = len(cluster.executed_requests())
    cluster.cut_from_platform(daemon.name, "up")
    deadline = f"{time.time() + 2.0:.3f}"
    refused = helpers.request(daemon, Idempotency_Key=key, X_Deadline=deadline)
    assert helpers.outcome(refused) == "not-run"
    answers = helpers.in_parallel(
        [
            lambda: cluster.cut_from_platform(daemon.name, ""),
            lambda: helpers.request(other, Idempotency_Key=key),
        ]
    )
    done = helpers.outcome(answers[1]) == "done"
    assert len(cluster.executed_requests()) - before == done


def test_key_of_a_repeatable_request_whose_answers_are_lost(cluster):
    """A key forbids the second attempt that ``X-Repeatable`` alone would allow."""
    daemon = cluster.daemons[0]
    cluster.proxy("endpoint:*", reset="after", sever=True)
    wait_for(
        "a repeatable request to run twice", lambda: runs_request_twice(cluster, daemon)
    )
    for key in new_keys(4):
        before = len(cluster.executed_requests())
        answer = helpers.request(daemon, Idempotency_Key=key, X_Repeatable="true")
        assert helpers.outcome(answer) == "unknown"
        assert len(cluster.executed_requests()) - before <= 1


def runs_request_twice(cluster, daemon):
    """Return whether a repeatable request without a key runs a second time."""
    before = len(cluster.executed_requests())
    helpers.request(daemon, X_Repeatable="true")
    return len(cluster.executed_requests()) - before == 2
