"""Runs all measurements, prints a table and writes it with a plot to docs/measurements."""

import asyncio
import os
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from measure import scenarios
from measure.analysis import Figure

FOLDER = Path(__file__).resolve().parent.parent / "docs" / "measurements"
HEADER = "| load | mode | figure | value | bound | |\n|---|---|---|---|---|---|"
SEEDS = (1, 2, 3)
TWO = (1, 2)
ONE = (1,)
PLAN = (
    (scenarios.trentvale_alone, "ours", SEEDS),
    (scenarios.trentvale, "ours", SEEDS),
    (scenarios.kushiro, "ours", TWO),
    (scenarios.slow_engine, "ours", TWO),
    (scenarios.burst, "ours", ONE),
    (scenarios.crash, "ours", ONE),
    (scenarios.zone_cut, "ours", ONE),
    (scenarios.normal, "ours", ONE),
    *((scenarios.kushiro, mode, ONE) for mode in scenarios.BASELINES),
    *((scenarios.trentvale, mode, ONE) for mode in scenarios.BASELINES),
    *((scenarios.slow_engine, mode, ONE) for mode in ("least-outstanding", "two-choices")),
)


async def measure(names: list[str]) -> list[Figure]:
    """Runs the plan, or the parts of it that are named; prints figures as they come."""
    figures: list[Figure] = []
    print(HEADER, flush=True)
    for run, mode, seeds in PLAN:
        if names and run.__name__ not in names and mode not in names:
            continue
        async for figure in run(mode, seeds):
            figures.append(figure)
            print(figure.line(), flush=True)
    for figure in compare_rewrites(figures):
        figures.append(figure)
        print(figure.line(), flush=True)
    return figures


def compare_rewrites(figures: list[Figure]) -> Iterator[Figure]:
    """Yields the rewrites' p99 under load over that of the same rewrites alone."""
    found = {(f.load, f.mode): f for f in figures if f.name == "rewrites p99 first"}
    alone = found.get(("trentvale-alone", "ours"))
    for (load, mode), figure in found.items():
        if load != "trentvale-hol" or alone is None:
            continue
        ratio = float(figure.value.split()[0]) / float(alone.value.split()[0])
        if mode == "ours":
            yield scenarios.judge(
                load, mode, "rewrites p99 over alone", ratio, 1.25, at_least=False
            )
        else:
            yield scenarios.tell(load, mode, "rewrites p99 over alone", ratio)


def write_report(figures: list[Figure], took_s: float) -> None:
    """Writes the table and the plot."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    lines = [
        "# Measurements",
        "",
        f"`make measure`, {time.strftime('%Y-%m-%d', time.gmtime())}, {os.cpu_count()} cores,"
        f" {took_s:.0f} s. Times and lengths are those of a deployment over {scenarios.SCALE:g};"
        " ours: medians or all requests over the seeds"
        f" {SEEDS}; faults and baselines: seed 1."
        " All processes share the machine with the callers.",
        "",
        HEADER,
        *(figure.line() for figure in figures),
        "",
        "![attainment at the Kushiro crest](crest.png)",
        "",
    ]
    (FOLDER / "policy.md").write_text("\n".join(lines))
    draw(figures)


def draw(figures: list[Figure]) -> None:
    """Draws goodput and rewrites' p99 of all modes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    goodput = [f for f in figures if f.name == "goodput of capacity"]
    rewrites = [f for f in figures if f.load == "trentvale-hol" and f.name == "rewrites p99 first"]
    picture, (left, right) = pyplot.subplots(1, 2, figsize=(11, 3.5))
    left.barh([f.mode for f in goodput], [float(f.value) for f in goodput])
    left.axvline(0.95, color="black", linestyle=":")
    left.set_title("Kushiro crest: goodput of capacity")
    right.barh([f.mode for f in rewrites], [float(f.value.split()[0]) for f in rewrites])
    right.set_xscale("log")
    right.set_title("Trentvale: rewrites' p99 to first token, ms")
    picture.tight_layout()
    picture.savefig(FOLDER / "crest.png", dpi=90)


def main(names: list[str]) -> int:
    """Measures; returns 0 however the bounds came out: CI does not depend on speed."""
    started = time.monotonic()
    figures = asyncio.run(measure(names))
    missed = [figure for figure in figures if figure.met is False]
    print(f"{len(missed)} bounds missed, {sum(f.met is True for f in figures)} met")
    if not names:
        write_report(figures, time.monotonic() - started)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
