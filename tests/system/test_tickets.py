"""Idempotency keys and daemon-issued tickets are accepted at most once."""

import signal
import time
import uuid

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

TICKETS = 8
#: Each request is forwarded to one of two peers at random; enough that both get some.
FORWARDED = 14


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 2)
        for daemon in cluster.daemons:
            wait_for(
                "tickets of the first daemon to be accepted",
                lambda d=daemon: accepts_tickets(cluster, d),
            )
        yield cluster


def accepts_tickets(cluster, daemon):
    """Return whether ``daemon`` accepts tickets issued by the first daemon."""
    return (
        helpers.outcome(send_with_key(daemon, issue_ticket(cluster.daemons[0])))
        == "done"
    )


@pytest.fixture
def cluster(system):
    yield system
    helpers.restore(system)


def issue_ticket(daemon):
    url = f"{daemon.url}/v1/services/call-in/tickets"
    answer = helpers.CLIENT.post(url)
    assert answer.status_code == 200, answer.text
    return answer.json()["key"]


def new_key(_daemon):
    return f"crew-{uuid.uuid4().hex}"


TICKET_OR_KEY = pytest.mark.parametrize(
    "new", [issue_ticket, new_key], ids=["ticket", "key"]
)


def send_with_key(daemon, key, seconds=5.0):
    deadline = f"{time.time() + seconds:.3f}"
    return helpers.request(daemon, Idempotency_Key=key, X_Deadline=deadline)


def send_concurrently(daemons, keys):
    """Send every key to all ``daemons`` concurrently."""
    calls = [lambda d=d, k=k: send_with_key(d, k) for k in keys for d in daemons]
    return helpers.in_parallel(calls)


def refusal_code(answer):
    """Return the error code of an answer, which must be *not-run*."""
    assert helpers.outcome(answer) == "not-run", answer.text
    return answer.json()["code"]


@pytest.mark.parametrize("senders", [(0, 2), (1, 2)], ids=["issuer", "others"])
@pytest.mark.parametrize("down", [False, True], ids=["up", "outage"])
def test_ticket_sent_to_two_daemons_at_once(cluster, senders, down):
    before = len(cluster.executed_requests())
    cluster.platform_faults(down=down)
    keys = [issue_ticket(cluster.daemons[0]) for _number in range(TICKETS)]
    answers = send_concurrently([cluster.daemons[number] for number in senders], keys)
    codes = [a.json()["code"] for a in answers if helpers.outcome(a) != "done"]
    assert codes == ["duplicate-key"] * TICKETS
    assert len(cluster.executed_requests()) - before == TICKETS


def test_ticket_whose_issuer_is_killed(cluster):
    issuer, neighbour, other, _last = cluster.daemons
    before = len(cluster.executed_requests())
    keys = [issue_ticket(issuer) for _number in range(2)]
    issuer.process.kill()
    for daemon in (neighbour, other):
        assert {refusal_code(send_with_key(daemon, key, 2.0)) for key in keys} == {
            "key-not-claimed"
        }
    cluster.restart(issuer)
    for daemon in (issuer, other):
        assert {refusal_code(send_with_key(daemon, key)) for key in keys} == {
            "key-not-claimed"
        }
    assert len(cluster.executed_requests()) == before


def test_ticket_whose_issuer_is_paused(cluster):
    """The issuer receives the redemption after the request was refused."""
    issuer, neighbour, other, _last = cluster.daemons
    before = len(cluster.executed_requests())
    key = issue_ticket(issuer)
    issuer.process.signal(signal.SIGSTOP)
    try:
        refused = [send_with_key(daemon, key, 1.0) for daemon in (neighbour, other)]
        assert {refusal_code(answer) for answer in refused} == {"key-not-claimed"}
    finally:
        issuer.process.signal(signal.SIGCONT)
    answers = send_concurrently((issuer, neighbour, other), [key])
    done = [helpers.outcome(answer) for answer in answers].count("done")
    assert done == len(cluster.executed_requests()) - before <= 1


@TICKET_OR_KEY
def test_key_is_accepted_again_after_not_run(cluster, new):
    first, _second, other, _last = cluster.daemons
    key = new(first)
    before = len(cluster.executed_requests())
    for name in cluster.endpoints:
        cluster.endpoint_faults(name, fail_requests=True)
    assert refusal_code(send_with_key(first, key)) != "duplicate-key"
    for name in cluster.endpoints:
        cluster.endpoint_faults(name, fail_requests=False)
    wait_for(
        "the key to be accepted",
        lambda: helpers.outcome(send_with_key(other, key)) == "done",
    )
    assert refusal_code(send_with_key(first, key)) == "duplicate-key"
    assert len(cluster.executed_requests()) - before == 1


@TICKET_OR_KEY
def test_key_is_refused_after_unknown(cluster, new):
    first, _second, other, _last = cluster.daemons
    key = new(first)
    before = len(cluster.executed_requests())
    # Open connections are not severed: one could then fail before the request is sent.
    cluster.proxy("endpoint:*", reset="after")
    assert helpers.outcome(send_with_key(first, key)) == "unknown"
    cluster.clear_faults()
    helpers.pause(0.5)
    for daemon in (first, other):
        assert refusal_code(send_with_key(daemon, key)) == "duplicate-key"
    assert len(cluster.executed_requests()) - before == 1


@TICKET_OR_KEY
def test_peer_killed_while_serving_forwarded_requests(cluster, new):
    """Two peers serve; the one that survives must not run the requests again."""
    entry, _second, killed, other = cluster.daemons
    helpers.set_domain(entry, "a", "out")
    wait_for("no replica in domain a", lambda: not helpers.running_in(cluster, "a"))
    wait_for("an answer", lambda: helpers.outcome(helpers.request(entry)) == "done")
    cluster.endpoint_faults("b-0", service_seconds=1.0)
    keys = [new(entry) for _number in range(FORWARDED)]
    before = len(cluster.executed_requests())

    def kill():
        wait_for(
            "requests to run",
            lambda: len(cluster.executed_requests()) - before >= TICKETS,
        )
        killed.process.kill()

    *answers, _none = helpers.in_parallel(
        [*(lambda k=key: send_with_key(entry, k, 8.0) for key in keys), kill]
    )
    assert "unknown" in {helpers.outcome(answer) for answer in answers}
    for key in keys:
        assert refusal_code(send_with_key(other, key)) == "duplicate-key"
    ran = cluster.executed_requests()
    for answer in answers:
        times = ran.count(answer.headers["X-Request-Id"])
        assert times == 1 if helpers.outcome(answer) == "done" else times <= 1
    assert len(ran) - before <= FORWARDED
