"""A failure domain loses all its entry VMs while its endpoints keep running."""

from standins.cluster import Cluster
from standins.process import wait_for
from tests.system import helpers

SETTINGS = "[scheduler]\nadopt_after_seconds = 1\n"


def test_work_of_a_domain_without_entry_vms_is_adopted():
    with Cluster(domains=("a", "b"), daemons=1, endpoints=1, extra=SETTINGS) as cluster:
        survivor, lost = cluster.daemons
        helpers.submit(survivor, "minutes", 40, processors=4, run_seconds=2)
        wait_for(
            "a task running in b",
            lambda: any(run["endpoint"] == "b-0" for run in running_tasks(cluster)),
        )
        lost.process.kill()
        cluster.update_live_list(remove=[lost.name])
        helpers.wait_done(survivor, "minutes", 40, seconds=60)
        helpers.assert_each_done_once(cluster, "minutes", 40)
        assert not cluster.violations()


def running_tasks(cluster):
    return [run for run in cluster.runs() if run["state"] == "running"]
