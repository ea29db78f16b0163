"""Implements ``burdockgate measure``: runs scenarios and prints their figures."""

from __future__ import annotations

import asyncio
import io
import json
from collections.abc import Iterator

import attrs

from burdockgate import errors
from burdockgate.process import logs, placement
from burdockgate.standin import figures, load, report, scenarios, startrate, targets

STARTS_SCENARIO = "starts"
STARTS_DESCRIPTION = "task starts per second of processor time of one entry host's core"


@attrs.frozen
class Request:
    """Parameters of a measurement; the fields match the options of the subcommand.

    :param report: path of the HTML page, or ``None``.
    :param urls: base URLs of running entry hosts; empty to start a system.
    :param has_processes: whether each role and each stand-in is a process.
    :param policy: placement policy; ``None`` for the default.
    :param versus: placement policy of a second run, or ``None``.
    """

    scenario: str
    seed: int = 1
    seconds: float = 10.0
    deployment: str = "a"
    as_json: bool = False
    report: str | None = None
    urls: tuple[str, ...] = ()
    has_processes: bool = False
    policy: str | None = None
    versus: str | None = None
    size: targets.Size = attrs.field(factory=targets.Size)


def print_scenarios() -> None:
    """Print the name and the description of each scenario."""
    for scenario in scenarios.SCENARIO_BY_NAME.values():
        print(f"{scenario.name:17s} {scenario.description}")
    print(f"{STARTS_SCENARIO:17s} {STARTS_DESCRIPTION}")


def run(request: Request) -> int:
    """Run a scenario and print its figures.

    :param request: parameters of the measurement.
    :returns: the exit status: 1 when an invariant was violated or a run failed.
    :raises errors.SettingsError: when an option is invalid, options conflict, or the
        report cannot be written.
    """
    # Log lines about hundreds of local connections would hide the figures.
    logs.configure(io.StringIO())
    _check_request(request)
    if request.scenario == STARTS_SCENARIO:
        _print_summary(startrate.measure(request.seed), request.as_json)
        return 0
    results = []
    for config in _configs(request):
        result, summary = asyncio.run(_measure(config))
        results.append((result, summary))
        _print_summary(summary, request.as_json)
    if request.report is not None:
        _write_report(request.report, report.render_page(results))
    return int(any(result.is_failed for result, _ in results))


def _check_request(request: Request) -> None:
    problems = list(_request_problems(request))
    if problems:
        raise errors.SettingsError(problems)


def _request_problems(request: Request) -> Iterator[str]:
    names = [*scenarios.SCENARIO_BY_NAME, STARTS_SCENARIO]
    if request.scenario not in names:
        yield f"--scenario: {request.scenario!r:.80}, allowed are {', '.join(names)}"
    allowed = ", ".join(placement.POLICY_BY_NAME)
    for option, name in (("policy", request.policy), ("versus", request.versus)):
        if name is None:
            continue
        if name not in placement.POLICY_BY_NAME:
            yield f"--{option}: {name!r:.80}, allowed are {allowed}"
        if request.urls:
            yield f"--{option}: not possible with --connect"
        if request.has_processes:
            yield f"--{option}: not possible with --processes"
    scenario = scenarios.SCENARIO_BY_NAME.get(request.scenario)
    remote_faults = (scenarios.Fault.NONE, scenarios.Fault.DRAIN)
    if request.urls and request.has_processes:
        yield "--processes: not possible with --connect"
    if request.urls and (scenario is None or scenario.fault not in remote_faults):
        yield f"--connect: not possible with the scenario {request.scenario!r:.80}"
    if scenario is not None and scenario.needs_processes and not request.has_processes:
        yield f"--scenario: {request.scenario!r} needs --processes"


def _configs(request: Request) -> Iterator[load.Config]:
    policies = [request.policy or placement.DEFAULT]
    if request.versus is not None:
        policies.append(request.versus)
    for policy in policies:
        size = attrs.evolve(request.size, deployment=request.deployment, policy=policy)
        yield load.Config(
            scenarios.SCENARIO_BY_NAME[request.scenario],
            request.seed,
            request.seconds,
            size,
            request.urls,
            request.has_processes,
        )


async def _measure(
    config: load.Config,
) -> tuple[figures.Figures, dict[str, object]]:
    """Run a scenario.

    A scenario with stragglers runs a second time without them, for comparison.
    """
    result = figures.Figures(await load.run(config))
    summary = result.summary()
    summary["one_queue_over_ideal"] = figures.single_queue_ratios(result.run)
    if config.scenario.straggler_share:
        base = figures.Figures(await load.run(config, is_base=True))
        own, other = (
            figures.percentiles(item.short_waits()) for item in (result, base)
        )
        summary["base_short_wait_ms"] = other
        if own is not None and other is not None and other["p99"] > 0:
            summary["short_wait_ratio"] = round(own["p99"] / other["p99"], 3)
    return result, summary


def _print_summary(summary: dict[str, object], as_json: bool) -> None:
    if as_json:
        print(json.dumps(summary), flush=True)
        return
    for name, value in summary.items():
        if isinstance(value, dict):
            value = "  ".join(f"{key} {item}" for key, item in value.items())
        elif isinstance(value, list):
            value = "\n".join(["", *(f"  {item}" for item in value)]) or "-"
        print(f"{name:26s} {'-' if value in (None, '') else value}")
    print(flush=True)


def _write_report(path: str, text: str) -> None:
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise errors.SettingsError([f"--report: {path}: {error.strerror}"]) from None
