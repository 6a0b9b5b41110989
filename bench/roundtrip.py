"""Round-trip time of a request: straight to an endpoint, or via one or two daemons.

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
#: Open-loop rates, as shares of one daemon's throughput at the most connections.
OPEN_LOAD_SHARES = (0.5, 0.8)
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(process):
    """Return the processor time used by a `standins.process.Process`, in seconds."""
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def serves(cluster, daemon):
    """Return whether ``daemon`` answers a request successfully."""
    url = f"{daemon.url}/v1/services/{SERVICE}/requests"
    return cluster.http.post(url, content=b"x").status_code == 200


def request_paths(cluster):
    """Return {name: (url, processes of the daemons on the path)}."""
    endpoint = next(e for e in cluster.endpoints if has_task(cluster, e))
    domain = endpoint.rpartition("-")[0]
    near = next(d for d in cluster.daemons if d.domain == domain)
    far = next(d for d in cluster.daemons if d.domain != domain)
    path = f"/v1/services/{SERVICE}/requests"
    straight = f"http://{cluster.endpoints[endpoint]}/v1/requests/{SERVICE}"
    return {
        "straight": (straight, []),
        "one daemon": (near.url + path, [near.process]),
        "two daemons": (far.url + path, [far.process, near.process]),
    }


def has_task(cluster, endpoint):
    """Return whether ``endpoint`` has run a task."""
    return any(run["endpoint"] == endpoint for run in cluster.runs())


def closed_loop_rows(cluster, seconds):
    """Yield a row for each number of connections and each path."""
    paths = request_paths(cluster)
    for connections in CONNECTIONS:
        for name, (url, processes) in paths.items():
            before = [processor_seconds(process) for process in processes]
            headers = {"X-Request-Id": "bench", "X-Client": "bench"}
            result = load.measure(url, connections, seconds, headers=headers)
            after = [processor_seconds(process) for process in processes]
            cpu_seconds = sum(after) - sum(before)
            # Processor time includes the one-second warm-up, so count its requests too.
            sent = result["rps"] * (seconds + 1.0)
            yield {
                "connections": connections,
                "way": name,
                "p50_ms": round(result["p50_ms"], 2),
                "p99_ms": round(result["p99_ms"], 2),
                "rps": round(result["rps"]),
                "failed": result["failed"],
                "daemon_us": round(cpu_seconds / sent * 1e6) if sent else 0,
            }


def open_loop_rows(cluster, seconds, max_rps, seed):
    """Yield open-loop rows at shares of ``max_rps``, straight and via one daemon."""
    paths = request_paths(cluster)
    for share in OPEN_LOAD_SHARES:
        for name in ("straight", "one daemon"):
            result = openload.measure(paths[name][0], share * max_rps, seconds, seed)
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
    """Measure closed-loop and random arrivals, print and write the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1, help="of random arrivals")
    parser.add_argument("--sample-percent", type=float, default=1.0)
    arguments = parser.parse_args()
    options = {"daemons": 1, "endpoints": 1, "sample": arguments.sample_percent}
    with Cluster(domains=("a", "b"), **options) as cluster:
        demo.tool(cluster.daemons[0], "service", "submit", SERVICE, "--count", "1")
        for daemon in cluster.daemons:
            wait_for(daemon.name, lambda d=daemon: serves(cluster, d))
        rows = []
        for row in closed_loop_rows(cluster, arguments.seconds):
            rows.append(row)
            print_row(row)
        max_rps = next(r["rps"] for r in reversed(rows) if r["way"] == "one daemon")
        for row in open_loop_rows(cluster, arguments.seconds, max_rps, arguments.seed):
            rows.append(row)
            print_row(row)
    os.makedirs(os.path.join(ROOT, "out"), exist_ok=True)
    with open(os.path.join(ROOT, "out", "roundtrip.csv"), "w", newline="") as file:
        writer = csv.DictWriter(file, rows[0])
        writer.writeheader()
        writer.writerows(rows)


def print_row(row):
    """Print the keys and values of a row on one line."""
    print("  ".join(f"{key} {value}" for key, value in row.items()), flush=True)


if __name__ == "__main__":
    main()
