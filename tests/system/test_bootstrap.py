"""A daemon is replaced while the platform is unreachable."""

from bench import demo
from standins.cluster import Cluster
from standins.process import wait_for
from tests.system.test_path import send_request


def test_replaced_daemon_serves_with_state_from_its_peers():
    with Cluster(domains=("a",), daemons=2, endpoints=1) as cluster:
        replaced, other = cluster.daemons
        demo.tool(other, "service", "submit", "call-in", "--count", "1")
        wait_for("the service", lambda: outcome(replaced) == "done")
        cluster.platform_faults(down=True)
        replaced.process.kill()
        replaced.process.start()
        cluster.wait_ready(replaced)
        wait_for("the replaced daemon to serve", lambda: outcome(replaced) == "done")


def outcome(daemon):
    return send_request(daemon).headers["X-Outcome"]
