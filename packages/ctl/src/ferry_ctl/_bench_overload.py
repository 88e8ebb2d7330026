"""Goodput, refusals and queue length at several times the capacity."""

import attrs
import ferry_decisions as decisions
import ferry_standins as standins

from ferry_ctl import _report

LOADS = (0.5, 0.9, 1.0, 2.0, 5.0)
RUN_S = 6.0
DRAIN_S = 4.0
TIMEOUT_S = 1.0
STATEMENT_S = 0.02
SLOTS = 5


@attrs.frozen
class LoadResult:
    """Measurements at one load.

    Attributes:
        goodput: Replies per second that arrived within the callers' deadlines.
        refusal_s: Median time until a refusal, in seconds.
        max_in_flight: Largest number of concurrent requests.
        violations: Violations of the guarantees, including requests that ran
            although they were reported as "not run".
        runs_per_request: Writes that members stored, per request sent.
    """

    goodput: float
    refusal_s: float
    max_in_flight: int
    violations: int
    runs_per_request: float


def run_load(load: float, seed: int) -> LoadResult:
    """Sends writes at `load` times the capacity of the primary."""
    plan = standins.LabPlan(statement_s=STATEMENT_S, slots=SLOTS)
    lab = standins.Lab(plan, seed)
    lab.contracts.merge(
        decisions.Contract(
            customer="lone-star",
            databases=("plates",),
            share=10,
            connections=10,
            staleness_s=5.0,
            queue=100,
            version=2,
        )
    )
    lab.timers.advance(1.5)
    capacity = SLOTS / STATEMENT_S
    nodes = list(lab.nodes_by_name.values())
    end = lab.timers.now() + RUN_S
    begun = lab.timers.now()
    in_flight = 0
    largest = 0
    sent = 0
    while lab.timers.now() < end:
        lab.timers.advance(lab.random.expovariate(load * capacity))
        session = standins.LabSession(lab, f"s{sent}", timeout_s=TIMEOUT_S)
        sent += 1
        in_flight += 1
        largest = max(largest, in_flight)
        fut = session.write(lab.random.choice(nodes))

        def done(_: object) -> None:
            nonlocal in_flight
            in_flight -= 1

        fut.add_done_callback(done)
    lab.timers.advance(DRAIN_S)
    ran = [op for op in lab.operations if op.outcome is decisions.Outcome.RAN]
    refused = [
        op.ended - op.begun
        for op in lab.operations
        if op.outcome is decisions.Outcome.NOT_RUN
    ]
    in_time = [op for op in ran if op.ended - op.begun <= TIMEOUT_S]
    counted = [op for op in in_time if begun + 1.0 <= op.ended <= end]
    return LoadResult(
        goodput=len(counted) / (RUN_S - 1.0),
        refusal_s=_report.median(refused),
        max_in_flight=largest,
        violations=lab.verdict().total,
        runs_per_request=len(lab.stored()) / max(1, sent),
    )


def run(seed: int) -> _report.Report:
    """Returns the figures at loads from half to five times the capacity."""
    figures: _report.Figures = {}
    found = {load: run_load(load, seed) for load in LOADS}
    for load, result in found.items():
        name = f"{load:g}x"
        figures[f"goodput_per_s_{name}"] = result.goodput
        figures[f"refused_median_s_{name}"] = result.refusal_s
        figures[f"most_held_{name}"] = result.max_in_flight
        figures[f"violations_{name}"] = result.violations
        figures[f"runs_per_request_{name}"] = result.runs_per_request
    peak = max(r.goodput for r in found.values())
    figures["goodput_ratio_at_5x"] = found[5.0].goodput / peak
    figures["violations"] = sum(r.violations for r in found.values())
    return _report.Report("overload", seed, figures)
