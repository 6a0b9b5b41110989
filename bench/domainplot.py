"""Plots out/domain-seconds.csv of ``bench.domain`` to docs/figures/domain.png."""

import csv

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

SOURCE = "out/domain-seconds.csv"
FIGURE = "docs/figures/domain.png"
DOMAINS = ("a", "b", "c")


def main():
    """Plot the work of all domains in each second, with one line per policy."""
    with open(SOURCE, encoding="utf-8") as file:
        rows = list(csv.DictReader(file))
    figure, axes = pyplot.subplots(figsize=(6, 3), layout="constrained")
    for policy in dict.fromkeys(row["policy"] for row in rows):
        selected = [row for row in rows if row["policy"] == policy]
        work = [sum(float(row[d]) for d in DOMAINS) for row in selected]
        axes.plot([float(row["second"]) for row in selected], work, label=policy)
    axes.set(xlabel="seconds", ylabel="processor-seconds a second", ylim=(0, None))
    axes.legend()
    figure.savefig(FIGURE, dpi=80)


if __name__ == "__main__":
    main()
