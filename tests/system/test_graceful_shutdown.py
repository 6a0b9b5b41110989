"""A daemon that shuts down answers the requests that it has accepted."""

import signal

import httpx
import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from standins.senders import Senders
from tests.system import helpers

CLIENTS = 4


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS
    ) as cluster:
        helpers.start_service(cluster, cluster.daemons[0], 2)
        for name in cluster.endpoints:
            cluster.endpoint_faults(name, service_seconds=0.4)
        yield cluster


class SteadyClients(Senders):
    """Clients that keep their connections open and send requests until stopped."""

    def __init__(self, daemon):
        super().__init__(CLIENTS)
        self.daemon = daemon
        self.outcomes = []
        self.failures = []
        self.disconnected = 0

    def run(self, number):
        body = f"booking {number} ".encode() * 500
        with httpx.Client(timeout=20) as client:
            while not self.stopping.is_set():
                try:
                    answer = helpers.request(self.daemon, body=body, client=client)
                except httpx.HTTPError as error:
                    self.failures.append(repr(error))
                    return
                self.outcomes.append(helpers.outcome(answer))
                if self.outcomes[-1] == "done" and answer.content != body:
                    self.failures.append("answer to another request")
                if answer.headers.get("connection") == "close":
                    # The daemon is draining; a balancer would use another one.
                    self.disconnected += 1
                    self.stopping.wait()


def test_rolling_shutdown_leaves_no_request_unanswered(cluster):
    for daemon in cluster.daemons:
        with SteadyClients(daemon) as clients:
            wait_for("answers", lambda c=clients: len(c.outcomes) > 6)
            daemon.process.signal(signal.SIGTERM)
            assert daemon.process.child.wait(20) == 0
            wait_for("the last answers", lambda c=clients: c.disconnected == CLIENTS)
        assert not clients.failures
        assert set(clients.outcomes) <= {"done", "not-run"}
        cluster.restart(daemon)
    assert not cluster.violations()


def test_shutdown_of_the_serving_peer_leaves_no_request_unanswered(cluster):
    """Domain a is out, so its daemons forward to those of domain b."""
    helpers.set_domain(cluster.daemons[0], "a", "out")
    for daemon in cluster.daemons[:2]:
        wait_for("an answer", lambda d=daemon: done(d))
    wait_for("no replica in domain a", lambda: not helpers.running_in(cluster, "a"))
    for peer in cluster.daemons[2:]:
        with SteadyClients(cluster.daemons[0]) as clients:
            wait_for("answers", lambda c=clients: len(c.outcomes) > 6)
            peer.process.signal(signal.SIGTERM)
            assert peer.process.child.wait(20) == 0
            earlier = len(clients.outcomes)
            wait_for(
                "more answers",
                lambda c=clients, earlier=earlier: len(c.outcomes) > earlier + 2,
            )
        assert not clients.failures
        assert set(clients.outcomes) <= {"done", "not-run"}
        cluster.restart(peer)
        wait_for("an answer", lambda: done(cluster.daemons[0]))


def done(daemon):
    return helpers.outcome(helpers.request(daemon)) == "done"
