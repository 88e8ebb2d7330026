"""The replicas' share of reads on both users' workloads."""

import attrs
import ferry_decisions as decisions
import ferry_node as node
import ferry_standins as standins

from ferry_ctl import _report

WARM_UP_S = 2.0
RUN_S = 30.0
DRAIN_S = 12.0


@attrs.frozen
class Workload:
    """One customer's way of working.

    Attributes:
        name: Its short name.
        plan: What it runs on.
        sessions: Callers at once.
        order_share: Share of requests that write.
        own_share: Share of reads that ask for the session's own last write.
        think_s: Mean time between two requests of a session, in seconds.
        reconnect_share: Share of requests before which the caller comes back
            without its token.
    """

    name: str
    plan: standins.LabPlan
    sessions: int
    order_share: float
    own_share: float
    think_s: float
    reconnect_share: float


PLATES = Workload(
    name="plates",
    plan=standins.LabPlan(staleness_s=5.0),
    sessions=200,
    order_share=0.05,
    own_share=0.3,
    think_s=2.0,
    reconnect_share=0.02,
)
BOOKINGS = Workload(
    name="bookings",
    plan=standins.LabPlan(
        centres=("kgn-a", "kgn-b", "spanish-town", "portmore"),
        delay_s=0.0015,
        slots=3,
        staleness_s=2.0,
    ),
    sessions=80,
    order_share=0.2,
    own_share=0.5,
    think_s=2.0,
    reconnect_share=0.02,
)
LAGS = {"calm": 0.0, "lag_1s": 1.0, "far_30s": 30.0}


@attrs.frozen
class ShareResult:
    """What one run gave.

    Attributes:
        share: Share of the answered reads that replicas served.
        read_p50_s: Median time of a read, in seconds.
        read_p99_s: Its 99th percentile, in seconds.
        violations: Broken promises.
        failed: Requests without an answer.
    """

    share: float
    read_p50_s: float
    read_p99_s: float
    violations: int
    failed: int


class _Caller:
    """A session that thinks, asks, and thinks again."""

    def __init__(
        self, lab: standins.Lab, work: Workload, number: int, floors: bool
    ) -> None:
        self._lab = lab
        self._work = work
        self._session = standins.LabSession(
            lab, f"clerk-{number}", keeps_floors=floors
        )
        self._nodes = list(lab.nodes_by_name.values())
        self._end = lab.timers.now() + RUN_S
        self._think()

    def _think(self) -> None:
        pause = self._lab.random.expovariate(1.0 / self._work.think_s)
        if self._lab.timers.now() + pause < self._end:
            self._lab.timers.after(pause, self._ask)

    def _ask(self) -> None:
        rng = self._lab.random
        place = rng.choice(self._nodes)
        if rng.random() < self._work.reconnect_share:
            self._session.forget()
        if rng.random() < self._work.order_share:
            fut = self._session.write(place)
        elif rng.random() < self._work.own_share:
            fut = self._session.read(place)
        else:
            other = rng.randrange(self._work.sessions)
            fut = self._session.read(place, f"clerk-{other}")
        fut.add_done_callback(lambda _: self._think())


def run_workload(
    work: Workload, lag_s: float, policy: str, seed: int, catch_up_s: float
) -> ShareResult:
    """Runs a workload under one lag and one read policy."""
    plan = attrs.evolve(
        work.plan,
        apply_s=lag_s,
        policy=node.PolicySettings(read_policy=policy, catch_up_s=catch_up_s),
    )
    lab = standins.Lab(plan, seed)
    lab.timers.advance(WARM_UP_S)
    floors = policy != "pin_after_write"
    for number in range(work.sessions):
        _Caller(lab, work, number, floors)
    lab.timers.advance(RUN_S + DRAIN_S)
    reads = [
        op.ended - op.begun
        for op in lab.operations
        if not op.is_write and op.outcome is decisions.Outcome.RAN
    ]
    nodes = lab.nodes_by_name.values()
    by_replicas = sum(n.dispatcher.reads_by_replicas for n in nodes)
    by_primary = sum(n.dispatcher.reads_by_primary for n in nodes)
    failed = [
        op for op in lab.operations if op.outcome is not decisions.Outcome.RAN
    ]
    return ShareResult(
        share=by_replicas / max(1, by_replicas + by_primary),
        read_p50_s=_report.median(reads),
        read_p99_s=_report.percentile(reads, 0.99),
        violations=lab.verdict().total,
        failed=len(failed),
    )


def _figures(
    policy: str, seed: int, catch_up_s: float = 0.02
) -> _report.Figures:
    figures: _report.Figures = {}
    for work in (PLATES, BOOKINGS):
        for lag, lag_s in LAGS.items():
            found = run_workload(work, lag_s, policy, seed, catch_up_s)
            name = f"{work.name}_{lag}"
            figures[f"replica_read_share_{name}"] = found.share
            figures[f"read_p50_s_{name}"] = found.read_p50_s
            figures[f"read_p99_s_{name}"] = found.read_p99_s
            figures[f"violations_{name}"] = found.violations
            figures[f"failed_{name}"] = found.failed
    figures["replica_read_share"] = figures["replica_read_share_plates_lag_1s"]
    figures["violations"] = sum(
        v for n, v in figures.items() if n.startswith("violations_")
    )
    return figures


def run(seed: int) -> _report.Report:
    """Returns the shares of the product and of its baselines."""
    return _report.Report(
        "replica-share",
        seed,
        _figures("replica_first", seed),
        {
            "primary_only": _figures("primary_only", seed),
            "pin_after_write_2s": _figures("pin_after_write", seed),
        },
    )
