import pytest

from standins.cluster import Cluster
from tests.system import helpers


@pytest.fixture(scope="module")
def cluster():
    with Cluster(
        ("a", "b"), daemons=2, endpoints=1, extra=helpers.SHORT_SETTINGS
    ) as cluster:
        yield cluster


def test_jobs_are_listed_while_a_daemon_of_their_domain_is_down(cluster):
    operator = cluster.daemons[0]
    helpers.submit(operator, "listed", 4, run_seconds=0.1)
    for killed in cluster.daemons[2:]:
        killed.process.kill()
        helpers.wait_done(operator, "listed", 4)
        cluster.restart(killed)
