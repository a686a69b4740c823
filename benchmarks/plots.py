"""Plots of the results of the policy benchmark."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

COLORS = {
    "adaptive": "tab:blue",
    "round_robin": "tab:orange",
    "least_in_flight": "tab:green",
    "report_driven": "tab:red",
}


def plot_scenario(
    scenario: str, results: Sequence[dict[str, Any]], output_folder: Path
) -> None:
    """Plots the p99 latency of each second in a scenario, one line for each policy.

    Each size gets its own axes. Only runs at 50% of the capacity are plotted.

    Args:
        scenario: Name of the scenario.
        results: Figures of all runs, with latencies in milliseconds.
        output_folder: Folder to which the PNG file is written.
    """
    runs = [run for run in results if run["scenario"] == scenario]
    sizes = sorted({run["size"] for run in runs})
    if not sizes:
        return
    figure, axes = pyplot.subplots(
        len(sizes), 1, squeeze=False, sharex=True, figsize=(9, 2.5 * len(sizes))
    )
    for axis, size in zip(axes[:, 0], sizes):
        for run in runs:
            if run["size"] == size and run["load_percent"] == 50:
                policy = run["policy"]
                p99_ms = run["p99_by_second_ms"][:-1]
                axis.plot(p99_ms, label=policy, color=COLORS.get(policy))
        axis.set_title(f"{scenario}, {size}, 50% of capacity")
        axis.set_ylabel("p99 (ms)")
        axis.set_yscale("log")
        axis.legend(fontsize="small", loc="center left", bbox_to_anchor=(1, 0.5))
    axes[-1, 0].set_xlabel("time (s)")
    figure.tight_layout()
    figure.savefig(output_folder / f"{scenario}.png")
    pyplot.close(figure)
