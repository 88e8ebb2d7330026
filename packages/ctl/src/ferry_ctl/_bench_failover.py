"""How long no order is acknowledged when a primary goes."""

import attrs
import ferry_decisions as decisions
import ferry_standins as standins

from ferry_ctl import _report

KINDS = ("crash", "isolated", "silent", "slow", "flapping", "centre_cut")
WARM_UP_S = 1.2
MAX_RUN_S = 9.0
STORE_OUTAGE_S = 2.0
WRITE_EVERY_S = 0.025
READ_SHARE = 0.3
ORDER_TIMEOUT_S = 8.0
SLOW_S = 3.0
FLAP_S = (0.5, 0.3)
GAP_COUNTS_S = 0.3


@attrs.frozen
class GapResult:
    """What one fault did.

    Attributes:
        gap_s: Longest time without an acknowledged order, in seconds.
        violations: Broken promises.
        unknown: Orders whose outcome was not known.
        promotions: Changes of primary.
        recovered: Whether orders went on before the end of the run.
    """

    gap_s: float
    violations: int
    unknown: int
    promotions: int
    recovered: bool


class _Writers:
    """Sessions that place orders all the time.

    Some stay with one node, as a caller behind the balancer does, and some
    move to another node with each request.
    """

    def __init__(self, lab: standins.Lab) -> None:
        self._lab = lab
        self._nodes = list(lab.nodes_by_name.values())
        self._homes: dict[str, standins.LabNode | None] = {}
        self._sessions: list[standins.LabSession] = []
        homes = [*self._nodes, *self._nodes, None, None]
        for index, home in enumerate(homes):
            name = f"clerk-{index}"
            self._homes[name] = home
            self._sessions.append(
                standins.LabSession(lab, name, timeout_s=ORDER_TIMEOUT_S)
            )
        self._busy: set[str] = set()

    def step(self) -> None:
        """Lets each session that is not waiting send a request."""
        for session in self._sessions:
            if session.name not in self._busy:
                self._send(session)

    def _send(self, session: standins.LabSession) -> None:
        rng = self._lab.random
        node = self._homes[session.name] or rng.choice(self._nodes)
        is_read = rng.random() < READ_SHARE
        fut = session.read(node) if is_read else session.write(node)
        if not fut.done():
            self._busy.add(session.name)
            fut.add_done_callback(lambda _: self._busy.discard(session.name))


def run_fault(
    kind: str, seed: int, store_down: bool, plan: standins.LabPlan
) -> GapResult:
    """Runs one fault and returns what it did."""
    lab = standins.Lab(plan, seed)
    lab.timers.advance(WARM_UP_S + lab.random.uniform(0.0, 0.3))
    writers = _Writers(lab)
    _run_for(lab, writers, 0.4 + lab.random.uniform(0.0, 0.2))
    old = lab.primary().name
    began = lab.timers.now()
    if store_down:
        lab.store.down = True
        lab.timers.after(STORE_OUTAGE_S, lambda: _store_up(lab))
    _inject(lab, kind, old)
    while lab.timers.now() - began < MAX_RUN_S:
        _run_for(lab, writers, 0.2)
        if kind in ("slow", "flapping"):
            continue
        if _acks_after(lab, began + GAP_COUNTS_S):
            break
    _settle(lab, old, kind)
    acks = [
        op.ended
        for op in lab.operations
        if op.is_write and op.outcome is decisions.Outcome.RAN
    ]
    before = max((t for t in acks if t <= began), default=began)
    after = [before, *sorted(t for t in acks if t > began)]
    gaps = [b - a for a, b in zip(after, after[1:], strict=False)]
    return GapResult(
        gap_s=max(gaps, default=MAX_RUN_S),
        violations=lab.verdict().total,
        unknown=sum(
            op.outcome is decisions.Outcome.UNKNOWN for op in lab.operations
        ),
        promotions=lab.primary().replica.term - 1,
        recovered=len(after) > 1,
    )


def _store_up(lab: standins.Lab) -> None:
    lab.store.down = False


def _run_for(lab: standins.Lab, writers: _Writers, seconds: float) -> None:
    end = lab.timers.now() + seconds
    while lab.timers.now() < end:
        writers.step()
        lab.timers.advance(WRITE_EVERY_S)


def _acks_after(lab: standins.Lab, moment: float) -> bool:
    return any(
        op.is_write
        and op.outcome is decisions.Outcome.RAN
        and op.begun > moment
        for op in lab.operations[-50:]
    )


def _inject(lab: standins.Lab, kind: str, old: str) -> None:
    member = lab.members[old]
    centre = member.described.data_centre
    match kind:
        case "crash":
            lab.crash(old)
        case "isolated":
            lab.isolate(old)
        case "silent":
            member.silent = True
            lab.group.set_down(old, True)
        case "slow":
            member.slow_s = 0.9
            lab.timers.after(SLOW_S, lambda: setattr(member, "slow_s", 0.0))
        case "flapping":
            _flap(lab, old, 4)
        case "centre_cut":
            lab.cut_centre(centre)


def _flap(lab: standins.Lab, old: str, times: int) -> None:
    """Isolates a member again and again, too briefly to be replaced."""
    if not times:
        return
    down, up = FLAP_S
    lab.isolate(old)
    lab.timers.after(down, lambda: lab.heal(old))
    lab.timers.after(down + up, lambda: _flap(lab, old, times - 1))


def _settle(lab: standins.Lab, old: str, kind: str) -> None:
    """Ends the fault and lets the old primary come back."""
    lab.store.down = False
    lab.members[old].silent = False
    lab.restart(old)
    lab.heal(old)
    if kind == "centre_cut":
        lab.heal_centre(lab.members[old].described.data_centre)
    lab.sync_records()
    lab.timers.advance(2.0)


def false_promotions(seed: int, minutes: float) -> int:
    """Returns the changes of primary in a time of lag spikes and pauses.

    Members stop answering and nodes pause for up to 1 s each, and replication
    falls behind for seconds; nothing of that must replace a primary.
    """
    lab = standins.Lab(standins.LabPlan(), seed)
    lab.timers.advance(2.0)
    end = lab.timers.now() + minutes * 60
    members = list(lab.members.values())
    while lab.timers.now() < end:
        lab.timers.advance(lab.random.uniform(1.0, 6.0))
        length = lab.random.uniform(0.2, 1.0)
        match lab.random.randrange(3):
            case 0:
                _pause_member(lab, lab.random.choice(members), length)
            case 1:
                node = lab.random.choice(list(lab.nodes_by_name.values()))
                node.timers.pause(length)
            case _:
                lab.link_faults.delay_s = lab.random.uniform(0.002, 0.9)
    return lab.primary().replica.term - 1


def _pause_member(
    lab: standins.Lab, member: standins.VirtualMember, length: float
) -> None:
    """Stops a member for a while; what it was sent is answered late."""
    member.paused_until = lab.timers.now() + length
    lab.group.set_down(member.name, True)
    lab.timers.after(length, lambda: lab.group.set_down(member.name, False))


def run(seed: int, seeds: int) -> _report.Report:
    """Returns the gaps over many seeded faults of each kind."""
    figures: _report.Figures = {}
    every: list[GapResult] = []
    hard: list[float] = []
    plan = standins.LabPlan()
    for kind in KINDS:
        found = [run_fault(kind, seed + i, False, plan) for i in range(seeds)]
        every += found
        gaps = [r.gap_s for r in found]
        if kind not in ("slow", "flapping"):
            hard += gaps
        figures[f"gap_{kind}_median_s"] = _report.median(gaps)
        figures[f"gap_{kind}_worst_s"] = max(gaps)
        figures[f"promotions_{kind}"] = sum(r.promotions for r in found)
    down = [
        run_fault("isolated", seed + i, True, plan)
        for i in range(max(1, seeds // 4))
    ]
    every += down
    figures["gap_store_down_2s_median_s"] = _report.median(
        [r.gap_s for r in down]
    )
    figures["gap_store_down_2s_worst_s"] = max(r.gap_s for r in down)
    figures["gap_median_s"] = _report.median(hard)
    figures["gap_worst_s"] = max(hard)
    figures["violations"] = sum(r.violations for r in every)
    figures["not_recovered"] = sum(not r.recovered for r in every)
    figures["unknown_per_fault"] = sum(r.unknown for r in every) / len(every)
    figures["faults"] = len(every)
    figures["false_promotions_per_hour"] = false_promotions(seed, 10.0) * 6
    return _report.Report("failover-gap", seed, figures)
