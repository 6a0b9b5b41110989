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


class Load(Senders):
    """Clients that keep connections and send until they are told to stop."""

    def __init__(self, daemon):
        super().__init__(CLIENTS)
        self.daemon = daemon
        self.outcomes = []
        self.cut = []
        self.left = 0

    def run(self, number):
        body = f"booking {number} ".encode() * 500
        with httpx.Client(timeout=20) as client:
            while not self.stopping.is_set():
                try:
                    answer = helpers.request(self.daemon, body=body, client=client)
                except httpx.HTTPError as error:
                    self.cut.append(repr(error))
                    return
                self.outcomes.append(helpers.outcome(answer))
                if self.outcomes[-1] == "done" and answer.content != body:
                    self.cut.append("another body")
                if answer.headers.get("connection") == "close":
                    # The daemon is not ready: the balancer goes elsewhere.
                    self.left += 1
                    self.stopping.wait()


def test_rolling_shutdown_cuts_no_request(cluster):
    for daemon in cluster.daemons:
        with Load(daemon) as load:
            wait_for("answers", lambda load=load: len(load.outcomes) > 6)
            daemon.process.signal(signal.SIGTERM)
            assert daemon.process.child.wait(20) == 0
            wait_for("the last answers", lambda load=load: load.left == CLIENTS)
        assert not load.cut
        assert set(load.outcomes) <= {"done", "not-run"}
        cluster.restart(daemon)
    assert not cluster.violations()


def test_shutdown_of_the_peer_that_serves_cuts_no_forwarded_request(cluster):
    """Domain a is out, so its daemons forward to those of domain b."""
    helpers.set_domain(cluster.daemons[0], "a", "out")
    for daemon in cluster.daemons[:2]:
        wait_for("an answer", lambda d=daemon: done(d))
    wait_for("no replica here", lambda: not helpers.running_in(cluster, "a"))
    for peer in cluster.daemons[2:]:
        with Load(cluster.daemons[0]) as load:
            wait_for("answers", lambda load=load: len(load.outcomes) > 6)
            peer.process.signal(signal.SIGTERM)
            assert peer.process.child.wait(20) == 0
            some = len(load.outcomes)
            wait_for("more", lambda load=load, some=some: len(load.outcomes) > some + 2)
        assert not load.cut
        assert set(load.outcomes) <= {"done", "not-run"}
        cluster.restart(peer)
        wait_for("an answer", lambda: done(cluster.daemons[0]))


def done(daemon):
    return helpers.outcome(helpers.request(daemon)) == "done"
