"""A job whose tasks exceed every known endpoint is parked."""

import pytest

from standins.cluster import Cluster, free_range, wait_for
from tests.system import helpers

REASON = "larger-than-any-endpoint"


@pytest.fixture
def cluster():
    with Cluster(
        ("a", "b"), daemons=1, endpoints=1, processors=8, extra=helpers.SHORT_SETTINGS
    ) as cluster:
        yield cluster


def parts(daemon, name):
    return helpers.CLIENT.get(f"{daemon.url}/v1/jobs/{name}").json()


def parked(daemon, name, count):
    rows = parts(daemon, name)
    reasons = {reason for row in rows for reason in row["reasons"]}
    return sum(row["parked"] for row in rows) == count and reasons == {REASON}


def add_big_endpoint(cluster):
    port = free_range(1)
    options = ["--name", "big", "--port", str(port), "--count", "1"]
    options += ["--processors", "16", "--memory-mb", "125000", "--accelerators", "0"]
    cluster.spawn("endpoints-big", "standins.endpoint", *options)
    cluster.endpoints["big-0"] = f"127.0.0.1:{port}"
    url = f"http://127.0.0.1:{port}/control/runs"
    wait_for("the endpoint", lambda: cluster.http.get(url))
    vm = cluster.endpoint_vm("b-0")
    vm |= {"id": "big-0", "processors_milli": 16_000}
    cluster.update_live_list([vm | {"address": cluster.endpoints["big-0"]}])


def lists(daemon, endpoint):
    """Return whether the daemon's copy of the live list has the endpoint."""
    rows = helpers.CLIENT.get(f"{daemon.url}/v1/endpoints").json()
    return any(row["id"] == endpoint for row in rows)


def test_job_larger_than_any_endpoint_is_parked_until_one_appears(cluster):
    for daemon in cluster.daemons:
        helpers.submit(daemon, f"at-{daemon.domain}", 4, processors=12.0)
    helpers.submit(cluster.daemons[0], "call-in", 2, processors=12.0, service=True)
    for daemon in cluster.daemons:
        for name, count in (("at-a", 4), ("at-b", 4), ("call-in", 2)):
            wait_for(name, lambda d=daemon, n=name, c=count: parked(d, n, c))
    helpers.submit(cluster.daemons[0], "small", 4, run_seconds=0.1)
    helpers.wait_done(cluster.daemons[0], "small", 4)
    helpers.cancel(cluster.daemons[0], "call-in")
    add_big_endpoint(cluster)
    for name in ("at-a", "at-b"):
        helpers.wait_done(cluster.daemons[0], name, 4, seconds=30)
    assert not cluster.violations()


def test_job_that_fits_only_in_a_domain_that_is_out_is_not_parked(cluster):
    add_big_endpoint(cluster)
    helpers.set_domain(cluster.daemons[0], "b", "out")
    wait_for(
        "domain b to know that it is out",
        lambda: cluster.status(cluster.daemons[1])["domain_out"],
    )
    # An endpoint that is temporarily missing from the live list is remembered, too.
    first = cluster.daemons[0]
    wait_for("the daemon to list big-0", lambda: lists(first, "big-0"))
    cluster.update_live_list(remove=["big-0"])
    wait_for("the daemon to drop big-0", lambda: not lists(first, "big-0"))
    helpers.submit(cluster.daemons[0], "minutes", 2, processors=12.0)
    wait_for("the job", lambda: helpers.job_counts(cluster.daemons[0], "minutes"))
    helpers.pause(2.0)
    assert helpers.job_counts(cluster.daemons[0], "minutes")["waiting"] == 2
    assert not any(row["reasons"] for row in parts(cluster.daemons[0], "minutes"))
