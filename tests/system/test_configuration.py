"""Configuration changes reach every daemon and are never reverted."""

import httpx
import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from standins.senders import Senders
from tests.system import helpers

#: Time limit for an accepted change to reach every reachable daemon.
IN_FORCE_SECONDS = 10.0


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


@pytest.fixture
def cluster(system):
    with RevisionMonitor(system) as monitor:
        yield system
        system.clear_faults()
        for daemon in system.daemons:
            if daemon.process.child.poll() is not None:
                system.restart(daemon)
    assert not monitor.reverted


class RevisionMonitor(Senders):
    """Polls the revision in force at every daemon and records each decrease.

    A restarted daemon reports revision 0 at first; the first revision that it adopts
    must not be older than the one it had before.
    """

    def __init__(self, cluster):
        super().__init__(1)
        self.cluster = cluster
        self.reverted = []
        self.seen = {}

    def run(self, _number):
        with httpx.Client(timeout=5.0) as client:
            while not self.stopping.wait(0.05):
                for daemon in self.cluster.daemons:
                    self.check_revision(client, daemon)

    def check_revision(self, client, daemon):
        try:
            found = client.get(f"{daemon.url}/v1/status").json()["config_revision"]
        except httpx.HTTPError:
            return
        before = self.seen.setdefault(daemon.name, 0)
        if found and found < before:
            self.reverted.append((daemon.name, before, found))
        self.seen[daemon.name] = max(found, before)


def revisions(cluster, daemons=None):
    return {
        cluster.status(daemon)["config_revision"]
        for daemon in daemons or cluster.daemons
    }


def config_document(daemon):
    return helpers.CLIENT.get(f"{daemon.url}/v1/config").json()


def config_history(daemon):
    return helpers.CLIENT.get(
        f"{daemon.url}/v1/config/history", params={"limit": 200}
    ).json()


def test_fifty_concurrent_changes_with_lost_answers(cluster):
    base = config_document(cluster.daemons[0])["revision"]
    cluster.platform_faults(lose=0.1)

    def change(number):
        daemon = cluster.daemons[number % len(cluster.daemons)]
        section = "domain:shared" if number % 2 else f"team:team-{number}"
        text = f"owner = operator-{number}"
        return helpers.apply_config(daemon, {section: text}, base, f"operator-{number}")

    answers = helpers.in_parallel([lambda n=n: change(n) for n in range(50)])
    cluster.platform_faults(lose=0.0)
    accepted = {
        answer.json()["revision"]: f"operator-{number}"
        for number, answer in enumerate(answers)
        if answer.status_code < 300
    }
    codes = {a.json()["code"] for a in answers if a.status_code >= 300}
    assert codes == {"config-conflict"}
    newest = config_document(cluster.daemons[0])["revision"]
    wait_for(
        "all daemons to have the newest revision",
        lambda: revisions(cluster) == {newest},
        seconds=IN_FORCE_SECONDS,
    )
    written = {c["revision"]: c["author"] for c in config_history(cluster.daemons[0])}
    assert {revision: written[revision] for revision in accepted} == accepted
    # 25 changes have a section each; of the 25 to the shared section only one succeeds.
    assert len(accepted) == 26


def test_daemon_cut_off_from_the_platform_learns_from_peers(cluster):
    cut, other = cluster.daemons[0], cluster.daemons[-1]
    cluster.cut_from_platform(cut.name)
    base = config_document(other)["revision"]
    answer = helpers.apply_config(other, {"team:peers": "processors = 5"}, base)
    newest = answer.json()["revision"]
    wait_for(
        "the disconnected daemon to have the newest revision",
        lambda: revisions(cluster, [cut]) == {newest},
        seconds=IN_FORCE_SECONDS,
    )


def test_stale_platform_reads_revert_nothing(cluster):
    """The platform serves stale reads while one daemon restarts and others run on."""
    started, other = cluster.daemons[1], cluster.daemons[-1]
    base = config_document(other)["revision"]
    cluster.http.post(f"{cluster.platform_url}/control/mark")
    newest = helpers.apply_config(other, {"team:old": "processors = 7"}, base).json()[
        "revision"
    ]
    wait_for(
        "all daemons to have the newest revision",
        lambda: revisions(cluster) == {newest},
    )
    cluster.platform_faults(old=True)
    started.process.kill()
    cluster.restart(started)
    wait_for(
        "the newest revision from peers",
        lambda: revisions(cluster, [started]) == {newest},
        seconds=IN_FORCE_SECONDS,
    )
    # A stale read does not confirm the revision in force, so its age grows.
    wait_for(
        "the age of the configuration to grow",
        lambda: cluster.status(other)["config_age_seconds"] > 2.0,
        seconds=5.0,
    )
    assert revisions(cluster) == {newest}


def test_changes_during_a_rolling_restart(cluster):
    for number, daemon in enumerate(cluster.daemons):
        operator = cluster.daemons[number - 1]
        daemon.process.kill()
        base = config_document(operator)["revision"]
        text = f"processors = {number + 1}"
        answer = helpers.apply_config(operator, {"team:restarts": text}, base)
        assert answer.status_code < 300
        cluster.restart(daemon)
        newest = answer.json()["revision"]
        wait_for(
            "all daemons to have the newest revision",
            lambda r=newest: revisions(cluster) == {r},
            seconds=IN_FORCE_SECONDS,
        )
