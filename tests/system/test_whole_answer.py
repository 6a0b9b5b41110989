"""No client receives a partial answer or the answer to another request."""

import socket
import time

import httpx
import pytest

from standins.cluster import Cluster
from tests.system import helpers

ROUTE = "endpoint:a-0"


@pytest.fixture(scope="module")
def system():
    with Cluster(("a",), daemons=1, endpoints=1, proxied=True) as cluster:
        helpers.start_service(cluster, cluster.daemons[0])
        yield cluster


@pytest.fixture
def cluster(system):
    yield system
    system.proxy(ROUTE, **helpers.NO_FAULTS)
    system.endpoint_faults(
        "a-0", cross_answers=False, service_seconds=0.0, answer_factor=1
    )
    assert_own_answers(system, 8)


def send_many(cluster, number):
    """Send requests concurrently; return a list of (body, answer)."""
    daemon = cluster.daemons[0]
    bodies = [f"yard {n} {time.monotonic_ns()}".encode() for n in range(number)]
    answers = helpers.in_parallel(
        [lambda b=body: helpers.request(daemon, body=b) for body in bodies]
    )
    return list(zip(bodies, answers, strict=True))


def assert_own_answers(cluster, number):
    """Check that each *done* answer matches its request; return the outcomes."""
    outcomes = []
    for body, answer in send_many(cluster, number):
        outcomes.append(helpers.outcome(answer))
        if outcomes[-1] == "done":
            assert answer.content == body
    return outcomes


def test_answers_swapped_by_the_endpoint(cluster):
    cluster.endpoint_faults("a-0", cross_answers=True)
    outcomes = assert_own_answers(cluster, 16)
    assert "unknown" in outcomes and "not-run" not in outcomes


def test_answers_swapped_by_the_proxy(cluster):
    cluster.proxy(ROUTE, sever=True, swap=True)
    cluster.endpoint_faults("a-0", service_seconds=0.2)
    outcomes = assert_own_answers(cluster, 8)
    assert "unknown" in outcomes and "not-run" not in outcomes


@pytest.mark.parametrize("size", [40, 1_000])
def test_truncated_answer(cluster, size):
    cluster.proxy(ROUTE, sever=True, truncate=size)
    answer = helpers.request(cluster.daemons[0], body=b"x" * 5_000)
    assert helpers.outcome(answer) == "unknown"


def test_oversize_answer(cluster):
    cluster.endpoint_faults("a-0", answer_factor=10)
    answer = helpers.request(cluster.daemons[0], body=b"x" * 900_000)
    assert helpers.outcome(answer) == "unknown"
    cluster.endpoint_faults("a-0", answer_factor=1)


def test_late_answer_on_a_reused_connection(cluster):
    daemon = cluster.daemons[0]
    assert helpers.outcome(helpers.request(daemon)) == "done"
    cluster.proxy(ROUTE, delay=[0.0, 1.0])
    deadline = f"{time.time() + 0.4:.3f}"
    timed_out = helpers.request(daemon, body=b"late", X_Deadline=deadline)
    assert helpers.outcome(timed_out) == "unknown"
    cluster.proxy(ROUTE, delay=[0.0, 0.0])
    assert set(assert_own_answers(cluster, 16)) == {"done"}


def test_client_that_disconnects_early(cluster):
    daemon = cluster.daemons[0]
    cluster.endpoint_faults("a-0", service_seconds=0.3)
    for _number in range(4):
        connection = socket.create_connection(("127.0.0.1", daemon.front))
        connection.sendall(
            b"POST /v1/services/call-in/requests HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 4\r\n\r\ngone"
        )
        connection.close()
    with httpx.Client() as client:
        for number in range(3):
            body = f"after {number}".encode()
            answer = helpers.request(daemon, body=body, client=client)
            assert helpers.outcome(answer) == "done" and answer.content == body
