"""Goodput, refusals and memory at several times the capacity."""

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
    """What one load gave.

    Attributes:
        goodput: Answers a second that came before the callers' deadlines.
        refused_s: Median seconds until a refusal.
        most_held: Most requests that were in the system at once.
        violations: Broken promises, "not run" that ran among them.
        tries_ratio: Requests that reached a member, for each first try.
    """

    goodput: float
    refused_s: float
    most_held: int
    violations: int
    tries_ratio: float


def run_load(load: float, seed: int) -> LoadResult:
    """Sends writes at a multiple of the primary's capacity."""
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
    held = 0
    most = 0
    sent = 0
    while lab.timers.now() < end:
        lab.timers.advance(lab.random.expovariate(load * capacity))
        session = standins.LabSession(lab, f"s{sent}", timeout_s=TIMEOUT_S)
        sent += 1
        held += 1
        most = max(most, held)
        fut = session.write(lab.random.choice(nodes))

        def done(_: object) -> None:
            nonlocal held
            held -= 1

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
        refused_s=_report.median(refused),
        most_held=most,
        violations=lab.verdict().total,
        tries_ratio=len(lab.stored()) / max(1, sent),
    )


def run(seed: int) -> _report.Report:
    """Returns goodput at loads from half to five times the capacity."""
    figures: _report.Figures = {}
    found = {load: run_load(load, seed) for load in LOADS}
    for load, result in found.items():
        name = f"{load:g}x"
        figures[f"goodput_per_s_{name}"] = result.goodput
        figures[f"refused_median_s_{name}"] = result.refused_s
        figures[f"most_held_{name}"] = result.most_held
        figures[f"violations_{name}"] = result.violations
        figures[f"runs_per_request_{name}"] = result.tries_ratio
    peak = max(r.goodput for r in found.values())
    figures["goodput_ratio_at_5x"] = found[5.0].goodput / peak
    figures["violations"] = sum(r.violations for r in found.values())
    return _report.Report("overload", seed, figures)
