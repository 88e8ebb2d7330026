"""Time without acknowledged writes after the failure of a primary."""

import attrs
import ferry_decisions as decisions
import ferry_standins as standins

from ferry_ctl import _report

KINDS = ("crash", "isolated", "silent", "slow", "flapping", "centre_cut")
WARM_UP_S = 1.2
MAX_RUN_S = 9.0
STORE_OUTAGE_S = 2.0
REQUEST_INTERVAL_S = 0.025
READ_SHARE = 0.3
REQUEST_TIMEOUT_S = 8.0
SLOWDOWN_S = 3.0
FLAP_DOWN_UP_S = (0.5, 0.3)  # Time isolated, then time reachable.

# Recovery is shown by a write that began this long after the fault and ran.
RECOVERY_CHECK_DELAY_S = 0.3


@attrs.frozen
class GapResult:
    """Effects of one fault.

    Attributes:
        gap_s: Longest time without an acknowledged write, in seconds.
        violations: Violations of the consistency guarantees.
        unknown: Requests whose outcome is unknown.
        promotions: Changes of primary.
        recovered: Whether a write was acknowledged after the fault.
    """

    gap_s: float
    violations: int
    unknown: int
    promotions: int
    recovered: bool


class _Writers:
    """Sessions that send requests continuously.

    Some sessions use one node, as a caller behind the load balancer does, and
    others pick a random node for each request.
    """

    def __init__(self, lab: standins.Lab) -> None:
        self._lab = lab
        self._nodes = list(lab.nodes_by_name.values())
        self._fixed_nodes: dict[str, standins.LabNode | None] = {}
        self._sessions: list[standins.LabSession] = []
        fixed_nodes = [*self._nodes, *self._nodes, None, None]
        for index, fixed_node in enumerate(fixed_nodes):
            name = f"clerk-{index}"
            self._fixed_nodes[name] = fixed_node
            self._sessions.append(
                standins.LabSession(lab, name, timeout_s=REQUEST_TIMEOUT_S)
            )
        self._busy: set[str] = set()

    def step(self) -> None:
        """Sends a request from each session that is not awaiting a reply."""
        for session in self._sessions:
            if session.name not in self._busy:
                self._send(session)

    def _send(self, session: standins.LabSession) -> None:
        rng = self._lab.random
        node = self._fixed_nodes[session.name] or rng.choice(self._nodes)
        is_read = rng.random() < READ_SHARE
        fut = session.read(node) if is_read else session.write(node)
        if not fut.done():
            self._busy.add(session.name)
            fut.add_done_callback(lambda _: self._busy.discard(session.name))


def run_fault(
    kind: str, seed: int, store_down: bool, plan: standins.LabPlan
) -> GapResult:
    """Injects one fault and returns its effects."""
    lab = standins.Lab(plan, seed)
    lab.timers.advance(WARM_UP_S + lab.random.uniform(0.0, 0.3))
    writers = _Writers(lab)
    _run_for(lab, writers, 0.4 + lab.random.uniform(0.0, 0.2))
    old_primary = lab.primary().name
    began = lab.timers.now()
    if store_down:
        lab.store.down = True
        lab.timers.after(STORE_OUTAGE_S, lambda: _restore_store(lab))
    _inject(lab, kind, old_primary)
    while lab.timers.now() - began < MAX_RUN_S:
        _run_for(lab, writers, 0.2)
        if kind in ("slow", "flapping"):
            continue
        if _acks_after(lab, began + RECOVERY_CHECK_DELAY_S):
            break
    _heal(lab, old_primary, kind)
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


def _restore_store(lab: standins.Lab) -> None:
    lab.store.down = False


def _run_for(lab: standins.Lab, writers: _Writers, seconds: float) -> None:
    end = lab.timers.now() + seconds
    while lab.timers.now() < end:
        writers.step()
        lab.timers.advance(REQUEST_INTERVAL_S)


def _acks_after(lab: standins.Lab, since: float) -> bool:
    return any(
        op.is_write and op.outcome is decisions.Outcome.RAN and op.begun > since
        for op in lab.operations[-50:]
    )


def _inject(lab: standins.Lab, kind: str, old_primary: str) -> None:
    member = lab.members[old_primary]
    centre = member.described.data_centre
    match kind:
        case "crash":
            lab.crash(old_primary)
        case "isolated":
            lab.isolate(old_primary)
        case "silent":
            member.silent = True
            lab.group.set_down(old_primary, True)
        case "slow":
            member.slow_s = 0.9
            lab.timers.after(SLOWDOWN_S, lambda: setattr(member, "slow_s", 0.0))
        case "flapping":
            _flap(lab, old_primary, 4)
        case "centre_cut":
            lab.cut_centre(centre)


def _flap(lab: standins.Lab, old_primary: str, times: int) -> None:
    """Isolates a member repeatedly, too briefly for it to be replaced."""
    if not times:
        return
    down, up = FLAP_DOWN_UP_S
    lab.isolate(old_primary)
    lab.timers.after(down, lambda: lab.heal(old_primary))
    lab.timers.after(down + up, lambda: _flap(lab, old_primary, times - 1))


def _heal(lab: standins.Lab, old_primary: str, kind: str) -> None:
    """Ends the fault and lets the old primary rejoin."""
    lab.store.down = False
    lab.members[old_primary].silent = False
    lab.restart(old_primary)
    lab.heal(old_primary)
    if kind == "centre_cut":
        lab.heal_centre(lab.members[old_primary].described.data_centre)
    lab.sync_records()
    lab.timers.advance(2.0)


def false_promotions(seed: int, minutes: float) -> int:
    """Returns the changes of primary under lag spikes and pauses.

    Members stop responding and nodes pause for up to 1 s each, and replication
    falls behind for seconds. None of this should replace a primary.
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
    """Pauses a member, which then answers pending requests late."""
    member.paused_until = lab.timers.now() + length
    lab.group.set_down(member.name, True)
    lab.timers.after(length, lambda: lab.group.set_down(member.name, False))


def run(seed: int, seeds: int) -> _report.Report:
    """Returns the gaps over `seeds` runs of each fault kind."""
    figures: _report.Figures = {}
    all_results: list[GapResult] = []
    lasting_gaps: list[float] = []
    plan = standins.LabPlan()
    for kind in KINDS:
        found = [run_fault(kind, seed + i, False, plan) for i in range(seeds)]
        all_results += found
        gaps = [r.gap_s for r in found]
        if kind not in ("slow", "flapping"):
            lasting_gaps += gaps
        figures[f"gap_{kind}_median_s"] = _report.median(gaps)
        figures[f"gap_{kind}_worst_s"] = max(gaps)
        figures[f"promotions_{kind}"] = sum(r.promotions for r in found)
    down = [
        run_fault("isolated", seed + i, True, plan)
        for i in range(max(1, seeds // 4))
    ]
    all_results += down
    figures["gap_store_down_2s_median_s"] = _report.median(
        [r.gap_s for r in down]
    )
    figures["gap_store_down_2s_worst_s"] = max(r.gap_s for r in down)
    figures["gap_median_s"] = _report.median(lasting_gaps)
    figures["gap_worst_s"] = max(lasting_gaps)
    figures["violations"] = sum(r.violations for r in all_results)
    figures["not_recovered"] = sum(not r.recovered for r in all_results)
    figures["unknown_per_fault"] = sum(r.unknown for r in all_results) / len(
        all_results
    )
    figures["faults"] = len(all_results)
    figures["false_promotions_per_hour"] = false_promotions(seed, 10.0) * 6
    return _report.Report("failover-gap", seed, figures)
