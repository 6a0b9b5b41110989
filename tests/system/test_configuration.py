import httpx
import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from standins.senders import Senders
from tests.system import helpers

#: Within this time an accepted change is in force everywhere that can be reached.
IN_FORCE_SECONDS = 10.0


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


@pytest.fixture
def cluster(system):
    with Watch(system) as watch:
        yield system
        system.clear_faults()
        for daemon in system.daemons:
            if daemon.process.child.poll() is not None:
                system.restart(daemon)
    assert not watch.reverted


class Watch(Senders):
    """Reads the revision in force at every daemon and notes any that goes back.

    A daemon that starts again knows none at first; what it then takes is not older than
    what it had.
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
                    self.read(client, daemon)

    def read(self, client, daemon):
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


def document(daemon):
    return helpers.CLIENT.get(f"{daemon.url}/v1/config").json()


def history(daemon):
    return helpers.CLIENT.get(
        f"{daemon.url}/v1/config/history", params={"limit": 200}
    ).json()


def test_fifty_racing_changes_with_lost_answers(cluster):
    base = document(cluster.daemons[0])["revision"]
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
    newest = document(cluster.daemons[0])["revision"]
    wait_for(
        "all daemons", lambda: revisions(cluster) == {newest}, seconds=IN_FORCE_SECONDS
    )
    written = {c["revision"]: c["author"] for c in history(cluster.daemons[0])}
    assert {revision: written[revision] for revision in accepted} == accepted
    # All changes to sections of their own, and the first to the shared one.
    assert len(accepted) == 26


def test_daemon_cut_off_from_the_platform_learns_from_peers(cluster):
    cut, other = cluster.daemons[0], cluster.daemons[-1]
    cluster.cut_from_platform(cut.name)
    base = document(other)["revision"]
    answer = helpers.apply_config(other, {"team:peers": "processors = 5"}, base)
    newest = answer.json()["revision"]
    wait_for(
        "the cut daemon",
        lambda: revisions(cluster, [cut]) == {newest},
        seconds=IN_FORCE_SECONDS,
    )


def test_old_values_from_the_platform_revert_nothing(cluster):
    """Reads answer old values while one daemon starts anew and the others go on."""
    started, other = cluster.daemons[1], cluster.daemons[-1]
    base = document(other)["revision"]
    cluster.http.post(f"{cluster.platform_url}/control/mark")
    newest = helpers.apply_config(other, {"team:old": "processors = 7"}, base).json()[
        "revision"
    ]
    wait_for("all daemons", lambda: revisions(cluster) == {newest})
    cluster.platform_faults(old=True)
    started.process.kill()
    cluster.restart(started)
    wait_for(
        "the newest from peers",
        lambda: revisions(cluster, [started]) == {newest},
        seconds=IN_FORCE_SECONDS,
    )
    # An old value does not count as word of what is in force.
    wait_for(
        "doubt", lambda: cluster.status(other)["config_age_seconds"] > 2.0, seconds=5.0
    )
    assert revisions(cluster) == {newest}


def test_all_daemons_restart_in_turn_while_changes_go_on(cluster):
    for number, daemon in enumerate(cluster.daemons):
        operator = cluster.daemons[number - 1]
        daemon.process.kill()
        base = document(operator)["revision"]
        text = f"processors = {number + 1}"
        answer = helpers.apply_config(operator, {"team:restarts": text}, base)
        assert answer.status_code < 300
        cluster.restart(daemon)
        newest = answer.json()["revision"]
        wait_for(
            "all daemons",
            lambda r=newest: revisions(cluster) == {r},
            seconds=IN_FORCE_SECONDS,
        )
