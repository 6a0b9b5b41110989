"""No task runs twice, whichever process or connection fails."""

import pytest

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers


@pytest.fixture(scope="module")
def system():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=2, extra=helpers.SHORT_SETTINGS, proxied=True
    ) as cluster:
        yield cluster


@pytest.fixture
def cluster(system):
    yield system
    helpers.restore(system)
    revision = helpers.set_domain(system.daemons[0], "a", "in")
    wait_for("all domains to be in", lambda: all_domains_in(system, revision))
    system.update_live_list([system.endpoint_vm(name) for name in system.endpoints])


def all_domains_in(cluster, revision):
    """Return whether every daemon has the revision and sees no domain as out."""
    statuses = [cluster.status(d) for d in cluster.daemons]
    return all(
        s["config_revision"] >= revision and not s["domain_out"] for s in statuses
    )


def leader(cluster, domain):
    return wait_for(f"the scheduler of {domain}", lambda: cluster.leader(domain))


def other_daemon(cluster, daemon):
    return next(d for d in cluster.daemons if d is not daemon)


def count(cluster, name, daemon, phase):
    return helpers.job_counts(daemon, name)[phase]


def test_scheduler_killed_between_commit_and_start(cluster):
    killed = leader(cluster, "a")
    operator = other_daemon(cluster, killed)
    cluster.proxy("endpoint:a-*", cut="up")
    helpers.submit(operator, "before-start", 8)
    wait_for("bindings", lambda: count(cluster, "before-start", operator, "bound"))
    killed.process.kill()
    cluster.proxy("endpoint:a-*", cut="")
    helpers.wait_done(operator, "before-start", 8)
    helpers.assert_each_done_once(cluster, "before-start", 8)


def test_start_delivered_after_its_attempt_was_released(cluster):
    operator = cluster.daemons[0]
    cluster.proxy("endpoint:a-0", cut="up")
    helpers.submit(operator, "late-start", 8)
    # The proxy holds the orders of the first attempts until their leases have expired.
    helpers.pause(3.0)
    cluster.proxy("endpoint:a-0", cut="")
    helpers.wait_done(operator, "late-start", 8)
    helpers.assert_each_done_once(cluster, "late-start", 8)


def test_scheduler_killed_between_stop_and_release(cluster):
    killed = leader(cluster, "a")
    operator = next(d for d in cluster.daemons if d.domain == "b")
    helpers.submit(operator, "before-release", 8, run_seconds=3)
    wait_for("runs", lambda: count(cluster, "before-release", operator, "running") == 8)
    helpers.pause(1.0)
    cluster.proxy("endpoint:a-*", cut="down")
    helpers.set_domain(operator, "a", "out")
    wait_for("stops", lambda: stopped(cluster, "before-release"))
    killed.process.kill()
    cluster.proxy("endpoint:a-*", cut="")
    helpers.wait_done(operator, "before-release", 8)
    helpers.assert_each_done_once(cluster, "before-release", 8)
    for runs in helpers.runs_by_task(cluster.runs()).values():
        if runs[0]["origin"] == "before-release" and len(runs) > 1:
            last = runs[-1]
            assert last["ended"] - last["started"] < 2.6, (
                "the task restarted without its checkpoint"
            )


def stopped(cluster, name):
    return any(
        run["state"] == "stopped" and run["origin"] == name for run in cluster.runs()
    )


def test_platform_loses_answers_to_log_writes(cluster):
    operator = cluster.daemons[0]
    cluster.platform_faults(lose=0.3)
    wait_for("an accepted job", lambda: submitted(operator, "lost-answers", 16))
    helpers.wait_done(operator, "lost-answers", 16)
    helpers.assert_each_done_once(cluster, "lost-answers", 16)


def submitted(operator, name, tasks):
    """Return whether the submission was acknowledged; it can be repeated safely."""
    try:
        helpers.submit(operator, name, tasks)
    except AssertionError:
        return False
    return True


def test_endpoint_disconnected_and_reconnected_during_runs(cluster):
    operator = cluster.daemons[0]
    helpers.submit(operator, "cut-endpoint", 8, run_seconds=6)
    wait_for("runs", lambda: count(cluster, "cut-endpoint", operator, "running") == 8)
    cluster.proxy("endpoint:a-0", cut="both")
    cluster.update_live_list(remove=["a-0"])
    helpers.pause(2.0)
    cluster.proxy("endpoint:a-0", cut="")
    cluster.update_live_list([cluster.endpoint_vm("a-0")])
    helpers.wait_done(operator, "cut-endpoint", 8)
    helpers.assert_each_done_once(cluster, "cut-endpoint", 8)


def test_domain_cut_from_the_platform_beyond_reclaim_after(cluster):
    operator = next(d for d in cluster.daemons if d.domain == "b")
    helpers.submit(operator, "cut-domain", 8, run_seconds=6)
    wait_for("runs", lambda: count(cluster, "cut-domain", operator, "running") == 8)
    cluster.cut_from_platform("a-*")
    wait_for(
        "tasks to stop when their leases expire", lambda: stopped(cluster, "cut-domain")
    )
    cluster.cut_from_platform("a-*", "")
    helpers.wait_done(operator, "cut-domain", 8)
    helpers.assert_each_done_once(cluster, "cut-domain", 8)


@pytest.mark.parametrize("killed_domain", ["a", "b"])
def test_scheduler_killed_during_a_move(cluster, killed_domain):
    name = f"move-{killed_domain}"
    source = leader(cluster, "a")
    killed = leader(cluster, killed_domain)
    operator = next(d for d in cluster.daemons if d not in (source, killed))
    helpers.submit(operator, name, 8, run_seconds=12)
    wait_for("runs", lambda: count(cluster, name, operator, "running") == 8)
    # Answers to the source are delayed, so that writes are in flight at the kill.
    cluster.proxy(f"platform:{source.name}", delay=[0.0, 0.3])
    helpers.set_domain(operator, "a", "out")
    wait_for("stops", lambda: stopped(cluster, name))
    helpers.pause(0.3)
    killed.process.kill()
    cluster.clear_faults()
    helpers.wait_done(operator, name, 8, seconds=40)
    helpers.assert_each_done_once(cluster, name, 8)
