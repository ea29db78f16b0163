"""Measures costs over several sizes and fits a line to each: ``make slopes``.

Times are processor times of this process, which depend little on other load on the
machine.
"""

from __future__ import annotations

import argparse
import pathlib
import platform
import sys
from collections.abc import Iterable, Iterator, Sequence

from burdockgate.standin import memory, probes, regression

REPETITIONS = 3
MEMORY_PROBES = (
    probes.Probe("kept job records", (1000, 4000, 16000), memory.jobs_mb),
    probes.Probe("kept results", (1000, 4000, 16000), memory.results_mb),
    probes.Probe("kept claims", (500, 1000, 2000), memory.claims_mb),
    # These do not depend on the size; the three runs show the spread.
    probes.Probe("run", (1, 2, 3), memory.entry_mb),
    probes.Probe("run", (1, 2, 3), memory.agent_mb),
)


def measure(probe: probes.Probe, seeds: Sequence[int]) -> Iterator[regression.Series]:
    """Yield a series for each value that a probe measures.

    :param probe: the probe.
    :param seeds: seeds of the repetitions.
    """
    values_by_size_by_name: dict[str, dict[int, list[float]]] = {}
    for seed in seeds:
        for size in probe.sizes:
            for name, value in probe.measure(size, seed).items():
                values_by_size_by_name.setdefault(name, {}).setdefault(size, []).append(
                    value
                )
    for name, values_by_size in values_by_size_by_name.items():
        yield regression.Series(name, probe.parameter, values_by_size)


def report(all_probes: Iterable[probes.Probe], seeds: Sequence[int]) -> str:
    """Return a Markdown table of all series, with the seeds and the Python version.

    :param all_probes: the probes.
    :param seeds: seeds of the repetitions.
    """
    series = [each for probe in all_probes for each in measure(probe, seeds)]
    head = (
        f"Seeds {', '.join(map(str, seeds))}; Python {platform.python_version()}; "
        "processor time, not wall time.\n\n"
    )
    return head + "\n".join(regression.markdown_table(series)) + "\n"


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure, print the table and write it to a file.

    :param arguments: arguments of the command line; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--output", type=pathlib.Path, help="file for the table")
    parser.add_argument("--seed", type=int, default=1, help="first seed (default 1)")
    options = parser.parse_args(arguments)
    seeds = range(options.seed, options.seed + REPETITIONS)
    text = report((*probes.PROBES, *MEMORY_PROBES), seeds)
    sys.stdout.write(text)
    if options.output is not None:
        options.output.write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
