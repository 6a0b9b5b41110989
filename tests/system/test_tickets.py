"""Once-only tickets and keys: their issuer, their use, and their use again."""

import signal
import time
import uuid

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

TICKETS = 8
#: Enough to be sure that either peer has some; each takes one of two at random.
FORWARDED = 14


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 2)
        for daemon in cluster.daemons:
            wait_for("the issuer on its list", lambda d=daemon: redeems(cluster, d))
        yield cluster


def redeems(cluster, daemon):
    """Return whether ``daemon`` can use tickets of the first one."""
    return helpers.outcome(use(daemon, issue(cluster.daemons[0]))) == "done"


@pytest.fixture
def cluster(system):
    yield system
    helpers.restore(system)


def issue(daemon):
    url = f"{daemon.url}/v1/services/call-in/tickets"
    answer = helpers.CLIENT.post(url)
    assert answer.status_code == 200, answer.text
    return answer.json()["key"]


def new_key(_daemon):
    return f"crew-{uuid.uuid4().hex}"


KINDS = pytest.mark.parametrize("new", [issue, new_key], ids=["ticket", "key"])


def use(daemon, key, seconds=5.0):
    deadline = f"{time.time() + seconds:.3f}"
    return helpers.request(daemon, Idempotency_Key=key, X_Deadline=deadline)


def use_at_once(daemons, keys):
    """Send every key to all ``daemons`` at the same time."""
    calls = [lambda d=d, k=k: use(d, k) for k in keys for d in daemons]
    return helpers.in_parallel(calls)


def refusal(answer):
    """Return the code of a request that did not run."""
    assert helpers.outcome(answer) == "not-run", answer.text
    return answer.json()["code"]


@pytest.mark.parametrize("users", [(0, 2), (1, 2)], ids=["issuer", "others"])
@pytest.mark.parametrize("down", [False, True], ids=["up", "outage"])
def test_ticket_at_two_daemons_at_once(cluster, users, down):
    before = len(cluster.executed_requests())
    cluster.platform_faults(down=down)
    keys = [issue(cluster.daemons[0]) for _number in range(TICKETS)]
    answers = use_at_once([cluster.daemons[number] for number in users], keys)
    codes = [a.json()["code"] for a in answers if helpers.outcome(a) != "done"]
    assert codes == ["duplicate-key"] * TICKETS
    assert len(cluster.executed_requests()) - before == TICKETS


def test_ticket_whose_issuer_is_killed(cluster):
    issuer, neighbour, other, _last = cluster.daemons
    before = len(cluster.executed_requests())
    keys = [issue(issuer) for _number in range(2)]
    issuer.process.kill()
    for daemon in (neighbour, other):
        assert {refusal(use(daemon, key, 2.0)) for key in keys} == {"key-not-claimed"}
    cluster.restart(issuer)
    for daemon in (issuer, other):
        assert {refusal(use(daemon, key)) for key in keys} == {"key-not-claimed"}
    assert len(cluster.executed_requests()) == before


def test_ticket_whose_issuer_is_paused(cluster):
    """The redemption reaches the issuer after the request was refused."""
    issuer, neighbour, other, _last = cluster.daemons
    before = len(cluster.executed_requests())
    key = issue(issuer)
    issuer.process.signal(signal.SIGSTOP)
    try:
        refused = [use(daemon, key, 1.0) for daemon in (neighbour, other)]
        assert {refusal(answer) for answer in refused} == {"key-not-claimed"}
    finally:
        issuer.process.signal(signal.SIGCONT)
    answers = use_at_once((issuer, neighbour, other), [key])
    done = [helpers.outcome(answer) for answer in answers].count("done")
    assert done == len(cluster.executed_requests()) - before <= 1


@KINDS
def test_key_is_used_again_after_not_run(cluster, new):
    first, _second, other, _last = cluster.daemons
    key = new(first)
    before = len(cluster.executed_requests())
    for name in cluster.endpoints:
        cluster.endpoint_faults(name, fail_requests=True)
    assert refusal(use(first, key)) != "duplicate-key"
    for name in cluster.endpoints:
        cluster.endpoint_faults(name, fail_requests=False)
    wait_for("the key", lambda: helpers.outcome(use(other, key)) == "done")
    assert refusal(use(first, key)) == "duplicate-key"
    assert len(cluster.executed_requests()) - before == 1


@KINDS
def test_key_is_refused_after_unknown(cluster, new):
    first, _second, other, _last = cluster.daemons
    key = new(first)
    before = len(cluster.executed_requests())
    # A connection that is severed now could be lost before the request is sent.
    cluster.proxy("endpoint:*", reset="after")
    assert helpers.outcome(use(first, key)) == "unknown"
    cluster.clear_faults()
    helpers.pause(0.5)
    for daemon in (first, other):
        assert refusal(use(daemon, key)) == "duplicate-key"
    assert len(cluster.executed_requests()) - before == 1


@KINDS
def test_peer_killed_while_it_forwards(cluster, new):
    """Both peers of the other domain serve; one dies, the other could run it again."""
    entry, _second, killed, other = cluster.daemons
    helpers.set_domain(entry, "a", "out")
    wait_for("no replica here", lambda: not helpers.running_in(cluster, "a"))
    wait_for("an answer", lambda: helpers.outcome(helpers.request(entry)) == "done")
    cluster.endpoint_faults("b-0", service_seconds=1.0)
    keys = [new(entry) for _number in range(FORWARDED)]
    before = len(cluster.executed_requests())

    def kill():
        wait_for("them", lambda: len(cluster.executed_requests()) - before >= TICKETS)
        killed.process.kill()

    *answers, _none = helpers.in_parallel(
        [*(lambda k=key: use(entry, k, 8.0) for key in keys), kill]
    )
    assert "unknown" in {helpers.outcome(answer) for answer in answers}
    for key in keys:
        assert refusal(use(other, key)) == "duplicate-key"
    ran = cluster.executed_requests()
    for answer in answers:
        times = ran.count(answer.headers["X-Request-Id"])
        assert times == 1 if helpers.outcome(answer) == "done" else times <= 1
    assert len(ran) - before <= FORWARDED
