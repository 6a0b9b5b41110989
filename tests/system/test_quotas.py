"""A team's quota is divided among the domains and is never exceeded."""

import pytest

from clementinebay import registry
from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

DOMAINS = ("a", "b", "c")
QUOTA = 6


@pytest.fixture
def cluster():
    with Cluster(
        DOMAINS,
        daemons=1,
        endpoints=1,
        processors=64,
        extra=helpers.SHORT_SETTINGS,
        proxied=True,
    ) as cluster:
        answer = helpers.apply_config(
            cluster.daemons[0], {"team:t": f"processors = {QUOTA}\n"}, 0
        )
        assert answer.status_code < 300, answer.text
        revision = answer.json()["revision"]
        for daemon in cluster.daemons:
            wait_for(
                "the quota",
                lambda d=daemon: cluster.status(d)["config_revision"] >= revision,
            )
        yield cluster


def submit_in(cluster, domain, count, **fields):
    """Submit ``count`` jobs of one task that start in ``domain`` through its daemon."""
    operator = next(d for d in cluster.daemons if d.domain == domain)
    names = (f"u-{number}" for number in range(10_000))
    for name in names:
        if count and registry.split(name, 1, DOMAINS)[0].domain == domain:
            helpers.submit(operator, name, team="t", **fields)
            count -= 1


def running_by_domain(cluster):
    """Return the number of running tasks by domain; fail if they exceed the quota."""
    found = dict.fromkeys(DOMAINS, 0)
    for run in cluster.runs():
        if run["state"] == "running":
            found[run["endpoint"][0]] += 1
    assert sum(found.values()) <= QUOTA
    return found


def test_quota_follows_demand_and_holds_under_a_partition(cluster):
    submit_in(cluster, "a", 30, run_seconds=1.0)
    wait_for("the whole quota in a", lambda: running_by_domain(cluster)["a"] == QUOTA)
    submit_in(cluster, "b", 30, run_seconds=1.0)
    wait_for(
        "half of the quota in b", lambda: running_by_domain(cluster)["b"] == QUOTA // 2
    )
    cluster.cut_from_platform("a-*")
    cluster.cut_from_domains("a")
    for _poll in range(20):
        running_by_domain(cluster)
        helpers.pause(0.2)
    cluster.clear_faults()
    wait_for(
        "tasks in both domains",
        lambda: running_by_domain(cluster)["a"] and running_by_domain(cluster)["b"],
    )
    assert not cluster.violations()


def test_task_larger_than_an_equal_share_runs(cluster):
    helpers.submit(
        cluster.daemons[0], "large", 3, processors=4.0, team="t", run_seconds=0.5
    )
    helpers.wait_done(cluster.daemons[0], "large", 3, seconds=30)
    assert not cluster.violations()
