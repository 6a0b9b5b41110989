"""Requests, jobs and operator commands on a cluster without faults."""

import httpx
import pytest

from bench import demo
from standins.cluster import Cluster
from standins.process import wait_for


@pytest.fixture(scope="module")
def cluster():
    with Cluster(domains=("a", "b"), daemons=1, endpoints=1) as cluster:
        operator = cluster.daemons[0]
        demo.tool(operator, "service", "submit", "call-in", "--count", "1")
        wait_for("the replica", lambda: demo.running(operator, "service", "call-in"))
        for daemon in cluster.daemons:
            wait_for(f"{daemon.name} to serve call-in", lambda d=daemon: serves(d))
        yield cluster


def serves(daemon):
    return send_request(daemon).headers["X-Outcome"] == "done"


def send_request(daemon, headers=None, service="call-in"):
    url = f"{daemon.url}/v1/services/{service}/requests"
    return httpx.post(url, content=b"tank 7", headers=headers or {}, timeout=20)


def test_request_is_answered_through_either_daemon(cluster):
    for daemon in cluster.daemons:
        answers = [send_request(daemon) for _number in range(3)]
        assert {answer.headers["X-Outcome"] for answer in answers} == {"done"}
        assert {answer.content for answer in answers} == {b"tank 7"}


def test_request_with_an_idempotency_key_runs_once(cluster):
    keys = {"Idempotency-Key": "dispatch-crew-1"}
    outcomes = [send_request(d, keys).headers["X-Outcome"] for d in cluster.daemons]
    assert outcomes == ["done", "not-run"]


def test_request_with_an_idempotency_key_has_a_span_for_each_hop(cluster):
    answer = send_request(cluster.daemons[0], {"Idempotency-Key": "traced-crew"})
    trace = answer.headers["traceparent"].split("-")[1]
    spans = demo.tool(cluster.daemons[0], "trace", trace)
    assert {"client", "platform", "endpoint"} <= {span["name"] for span in spans}


def test_unknown_service_is_not_run(cluster):
    answer = send_request(cluster.daemons[0], service="nothing")
    assert answer.status_code == 503
    assert answer.json()["code"] == "no-endpoint"


def test_job_runs_to_completion(cluster):
    operator = cluster.daemons[1]
    demo.tool(operator, "job", "submit", "minutes", "--count", "8")
    wait_for("the job", lambda: done(operator) == 8)
    assert not cluster.violations()


def done(daemon):
    rows = demo.tool(daemon, "job", "list")
    return sum(row["done"] for row in rows)


def test_unknown_domain_is_refused(cluster):
    with pytest.raises(demo.DemoFailedError, match="unknown-domain"):
        demo.tool(cluster.daemons[0], "domain", "out", "nowhere")
