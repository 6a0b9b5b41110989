"""Round trip of one request: straight to an endpoint, through one daemon, through two.

Run as ``python -m bench.roundtrip``; prints a table and writes out/roundtrip.csv.
"""

import argparse
import csv
import os

from bench import demo, load, openload
from standins.cluster import Cluster
from standins.process import ROOT, wait_for

SERVICE = "call-in"
CONNECTIONS = (1, 8, 32)
#: Shares of what one daemon sustains at the most connections, for random arrivals.
OPEN_SHARES = (0.5, 0.8)
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    """Return the processor time that a `standins.process.Process` has used."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def answers(cluster, daemon):
    """Return whether ``daemon`` answers a request."""
    url = f"{daemon.url}/v1/services/{SERVICE}/requests"
    return cluster.http.post(url, content=b"x").status_code == 200


def targets(cluster):
    """Return {name: (url, processes whose time counts)}."""
    owner = next(e for e in cluster.endpoints if any_run(cluster, e))
    domain = owner.rpartition("-")[0]
    near = next(d for d in cluster.daemons if d.domain == domain)
    far = next(d for d in cluster.daemons if d.domain != domain)
    path = f"/v1/services/{SERVICE}/requests"
    straight = f"http://{cluster.endpoints[owner]}/v1/requests/{SERVICE}"
    return {
        "straight": (straight, []),
        "one daemon": (near.url + path, [near.process]),
        "two daemons": (far.url + path, [far.process, near.process]),
    }


def any_run(cluster, endpoint):
    """Return whether a task runs at ``endpoint``."""
    return any(run["endpoint"] == endpoint for run in cluster.runs())


def rows(cluster, seconds):
    """Yield one row for each number of connections and each way."""
    ways = targets(cluster)
    for connections in CONNECTIONS:
        for name, (url, processes) in ways.items():
            before = [processor_seconds(process) for process in processes]
            headers = {"X-Request-Id": "bench", "X-Client": "bench"}
            result = load.measure(url, connections, seconds, headers=headers)
            after = [processor_seconds(process) for process in processes]
            used = sum(after) - sum(before)
            # The warm-up's requests count into the time, so scale by both.
            sent = result["rps"] * (seconds + 1.0)
            yield {
                "connections": connections,
                "way": name,
                "p50_ms": round(result["p50_ms"], 2),
                "p99_ms": round(result["p99_ms"], 2),
                "rps": round(result["rps"]),
                "failed": result["failed"],
                "daemon_us": round(used / sent * 1e6) if sent else 0,
            }


def open_rows(cluster, seconds, most_rps, seed):
    """Yield rows of random arrivals at shares of ``most_rps``, through one daemon."""
    ways = targets(cluster)
    for share in OPEN_SHARES:
        for name in ("straight", "one daemon"):
            result = openload.measure(ways[name][0], share * most_rps, seconds, seed)
            yield {
                "connections": f"open {share:.0%}",
                "way": name,
                "p50_ms": round(result["p50_ms"], 2),
                "p99_ms": round(result["p99_ms"], 2),
                "rps": round(result["rps"]),
                "failed": result["failed"],
                "daemon_us": "",
            }


def main():
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1, help="of random arrivals")
    parser.add_argument("--sample-percent", type=float, default=1.0)
    arguments = parser.parse_args()
    options = {"daemons": 1, "endpoints": 1, "sample": arguments.sample_percent}
    with Cluster(domains=("a", "b"), **options) as cluster:
        demo.tool(cluster.daemons[0], "service", "submit", SERVICE, "--count", "1")
        for daemon in cluster.daemons:
            wait_for(daemon.name, lambda d=daemon: answers(cluster, d))
        found = []
        for row in rows(cluster, arguments.seconds):
            found.append(row)
            show(row)
        most = next(r["rps"] for r in reversed(found) if r["way"] == "one daemon")
        for row in open_rows(cluster, arguments.seconds, most, arguments.seed):
            found.append(row)
            show(row)
    os.makedirs(os.path.join(ROOT, "out"), exist_ok=True)
    with open(os.path.join(ROOT, "out", "roundtrip.csv"), "w", newline="") as file:
        writer = csv.DictWriter(file, found[0])
        writer.writeheader()
        writer.writerows(found)


def show(row):
    """Print a row."""
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)


if __name__ == "__main__":
    main()
