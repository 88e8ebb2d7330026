"""Random schedules of overlapping faults, checked for broken promises."""

import attrs
import ferry_standins as standins

from ferry_ctl import _report

RUN_S = 20.0
STEP_S = 0.02
SESSIONS = 8
SETTLE_S = 12.0
FAULT_EVERY_S = 1.5
WRITE_SHARE = 0.4


class _Faults:
    """Begins and ends faults at random, several at a time."""

    def __init__(self, lab: standins.Lab) -> None:
        self._lab = lab
        self.count = 0

    def begin_one(self) -> None:
        """Begins a fault that ends by itself."""
        rng = self._lab.random
        self.count += 1
        member = rng.choice(list(self._lab.members))
        length = rng.uniform(0.2, 4.0)
        kinds = (
            self._isolate,
            self._crash,
            self._cut_link,
            self._cut_centre,
            self._pause_node,
            self._pause_member,
            self._store,
            self._lag,
        )
        rng.choice(kinds)(member, length)

    def _isolate(self, member: str, length: float) -> None:
        self._lab.isolate(member)
        self._lab.timers.after(length, lambda: self._lab.heal(member))

    def _crash(self, member: str, length: float) -> None:
        self._lab.crash(member)
        self._lab.timers.after(length, lambda: self._lab.restart(member))

    def _cut_link(self, member: str, length: float) -> None:
        other = self._lab.random.choice(list(self._lab.members))
        pair = frozenset((member, other))
        cuts = self._lab.link_faults.cut
        cuts.add(pair)
        self._lab.timers.after(length, lambda: cuts.discard(pair))

    def _cut_centre(self, member: str, length: float) -> None:
        centre = self._lab.members[member].described.data_centre
        self._lab.cut_centre(centre)

        def heal() -> None:
            self._lab.heal_centre(centre)
            self._lab.sync_records()

        self._lab.timers.after(length, heal)

    def _pause_node(self, member: str, length: float) -> None:
        centre = self._lab.members[member].described.data_centre
        self._lab.node_in(centre).timers.pause(length)

    def _pause_member(self, member: str, length: float) -> None:
        found = self._lab.members[member]
        found.paused_until = self._lab.timers.now() + length
        self._lab.group.set_down(member, True)
        self._lab.timers.after(
            length, lambda: self._lab.group.set_down(member, False)
        )

    def _store(self, member: str, length: float) -> None:
        store = self._lab.store
        if self._lab.random.random() < 0.5:
            store.replies_to_drop += 1
            return
        store.down = True

        def up() -> None:
            store.down = False
            self._lab.sync_records()

        self._lab.timers.after(length, up)

    def _lag(self, member: str, length: float) -> None:
        faults = self._lab.link_faults
        faults.delay_s = self._lab.random.uniform(0.002, 0.3)
        faults.apply_s = self._lab.random.uniform(0.0, 1.0)


def explore(seed: int) -> tuple[standins.Verdict, int, int]:
    """Runs one schedule; returns the verdict, the requests and the faults."""
    lab = standins.Lab(standins.LabPlan(statement_s=0.004), seed)
    lab.timers.advance(1.5)
    nodes = list(lab.nodes_by_name.values())
    sessions = [
        standins.LabSession(lab, f"s{i}", timeout_s=3.0)
        for i in range(SESSIONS)
    ]
    busy: set[str] = set()
    faults = _Faults(lab)
    next_fault = lab.timers.now() + 0.5
    end = lab.timers.now() + RUN_S
    while lab.timers.now() < end:
        for session in sessions:
            if session.name in busy:
                continue
            _send(lab, session, lab.random.choice(nodes), busy)
        lab.timers.advance(STEP_S * lab.random.uniform(0.2, 1.8))
        if lab.timers.now() > next_fault:
            faults.begin_one()
            pause = lab.random.expovariate(1.0 / FAULT_EVERY_S)
            next_fault = lab.timers.now() + pause
    _end_all(lab)
    return lab.verdict(), len(lab.operations), faults.count


def _send(
    lab: standins.Lab,
    session: standins.LabSession,
    node: standins.LabNode,
    busy: set[str],
) -> None:
    busy.add(session.name)
    if lab.random.random() < WRITE_SHARE:
        fut = session.write(node)
    else:
        fut = session.read(node)
    fut.add_done_callback(lambda _: busy.discard(session.name))


def _end_all(lab: standins.Lab) -> None:
    """Ends all faults and lets everything come to rest."""
    lab.store.down = False
    lab.link_faults.delay_s = 0.002
    lab.link_faults.apply_s = 0.0
    lab.timers.advance(5.0)
    for name in lab.members:
        lab.restart(name)
        lab.heal(name)
    for centre in lab.plan.centres:
        lab.heal_centre(centre)
    lab.sync_records()
    lab.timers.advance(SETTLE_S)


def run(seed: int, seeds: int) -> _report.Report:
    """Returns the violations over many schedules."""
    totals = standins.Verdict()
    figures: _report.Figures = {}
    requests = 0
    faults = 0
    worst = -1
    for number in range(seed, seed + seeds):
        found, sent, begun = explore(number)
        requests += sent
        faults += begun
        if found.total:
            worst = number
        totals = standins.Verdict(
            *(
                a + b
                for a, b in zip(
                    attrs.astuple(totals), attrs.astuple(found), strict=True
                )
            )
        )
    figures.update(
        {f"violations_{n}": v for n, v in attrs.asdict(totals).items()}
    )
    figures["violations"] = totals.total
    figures["schedules"] = seeds
    figures["requests"] = requests
    figures["faults"] = faults
    figures["last_bad_seed"] = worst
    return _report.Report("explore", seed, figures)
