"""Cost of each role of a daemon as a linear function of size, for docs/CAPACITY.md.

Each part runs alone in a fresh process, against stand-ins of increasing size.
Processor time is that of the process (getrusage), and bytes are counted at its sockets.
A line is fitted to all runs of all sizes, and every run is written to
out/slopes-PART.csv.
"""

import argparse
import csv
import json
import os
import platform
import signal
import subprocess
import sys
import time

import numpy

from bench.slopes_daemon import DAEMON_PARTS
from bench.slopes_parts import PARTS
from bench.slopes_pure import COMPUTE_PARTS
from standins.process import ROOT

PARTS_BY_NAME = {part.name: part for part in (*PARTS, *COMPUTE_PARTS, *DAEMON_PARTS)}
#: Timeout of the measurement of one point, in seconds.
POINT_TIMEOUT_SECONDS = 60.0


def run_point(part, size, options):
    """Measure one point in a fresh process, driven by this one; return its row."""
    if part.measures_cluster:
        return part.measure_cluster(size, options.seconds)
    with part.stand_ins(size) as arguments:
        child = subprocess.Popen(
            [sys.executable, "-m", "bench.slopes", "--child", part.name]
            + ["--size", str(size), "--seconds", str(options.seconds)]
            + ["--arguments", json.dumps(arguments)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            limit = time.monotonic() + POINT_TIMEOUT_SECONDS
            while child.poll() is None and time.monotonic() < limit:
                part.drive(size, arguments)
                time.sleep(part.drive_interval_seconds)
            output, _errors = child.communicate(timeout=POINT_TIMEOUT_SECONDS)
        finally:
            if child.poll() is None:
                child.kill()
            child.wait()
    return json.loads(output.splitlines()[-1])


def fit(rows, column):
    """Fit ``column`` over the sizes; return slope, intercept, residual and spread.

    The residual is the root mean square distance from the line.  The spread is the
    largest difference between two runs of the same size.
    """
    sizes = numpy.array([row["size"] for row in rows], dtype=float)
    values = numpy.array([row[column] for row in rows], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residual = numpy.sqrt(numpy.mean((values - slope * sizes - intercept) ** 2))
    spread = max(numpy.ptp(values[sizes == size]) for size in set(sizes))
    return slope, intercept, residual, spread


def measure(part, options):
    """Measure all points of ``part``, write them to a file and print the fits."""
    rows = []
    for run in range(options.runs):
        for size in options.sizes or part.sizes:
            rows.append({"run": run, **run_point(part, size, options)})
    os.makedirs(options.out, exist_ok=True)
    with open(os.path.join(options.out, f"slopes-{part.name}.csv"), "w") as file:
        writer = csv.DictWriter(file, list(rows[0]))
        writer.writeheader()
        writer.writerows(rows)
    print(
        f"{part.name}: {part.description}; sizes {options.sizes or part.sizes}, "
        f"{options.runs} runs"
    )
    for column in rows[0]:
        if column in ("run", "size"):
            continue
        slope, intercept, residual, spread = fit(rows, column)
        print(
            f"  {column:28} {slope:10.4f} each + {intercept:9.3f}"
            f"  residual {residual:.3f}  spread {spread:.3f}"
        )


def main():
    """Measure the named parts, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", help=f"of {', '.join(PARTS_BY_NAME)}")
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument(
        "--sizes", type=int, nargs="*", help="instead of those of the part"
    )
    parser.add_argument("--out", default="out")
    parser.add_argument("--child", help=argparse.SUPPRESS)
    parser.add_argument("--size", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--arguments", type=json.loads, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        part = PARTS_BY_NAME[options.child]
        part.run_child(options.size, options.seconds, options.arguments)
        return
    # Exit through the contexts on SIGTERM, so that they stop their child processes.
    signal.signal(signal.SIGTERM, lambda *_a: sys.exit(1))
    print(f"{platform.machine()}, {os.cpu_count()} processors, ", end="")
    print(f"Python {platform.python_version()}, no random input")
    for name in options.parts or PARTS_BY_NAME:
        measure(PARTS_BY_NAME[name], options)


if __name__ == "__main__":
    main()
