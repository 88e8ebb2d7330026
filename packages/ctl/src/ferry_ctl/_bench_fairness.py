"""Shares, waits and utilisation of one member's slots under floods."""

import random

import attrs
import ferry_decisions as decisions

from ferry_ctl import _report

SLOTS = 5
SERVICE_S = 0.005
RUN_S = 16.0
TAIL_S = 1.5
WARM_UP_S = 3.0
TIMEOUT_S = 10.0
CALM_LOAD = 0.8
FLOOD = 10.0


@attrs.frozen
class Demand:
    """What one customer asks for.

    Attributes:
        customer: Its name.
        share: Its contract's share.
        load: Its offered load, as a multiple of its part of the slots.
    """

    customer: str
    share: int
    load: float


@attrs.frozen
class Scene:
    """A mix of customers.

    Attributes:
        name: Its name in the figures.
        demands: The customers.
        amend_at_s: When the first customer's share is doubled; 0 for never.
        gap_at_s: When the slots are lost for a while, as when the serving
            node dies; 0 for never.
    """

    name: str
    demands: tuple[Demand, ...]
    amend_at_s: float = 0.0
    gap_at_s: float = 0.0


LARGE = "lone-star"
SMALL = "blue-mountain"
LIGHT_LOAD = 0.4
HUNDRED = tuple(Demand(f"base-{i}", 1, LIGHT_LOAD) for i in range(100))
SCENES = (
    Scene(
        "large_floods", (Demand(LARGE, 20, FLOOD), Demand(SMALL, 5, CALM_LOAD))
    ),
    Scene(
        "small_floods", (Demand(SMALL, 5, FLOOD), Demand(LARGE, 20, CALM_LOAD))
    ),
    Scene("large_floods_100", (Demand(LARGE, 100, FLOOD), *HUNDRED)),
    Scene(
        "amended_and_lost",
        (Demand(LARGE, 20, FLOOD), Demand(SMALL, 5, LIGHT_LOAD)),
        amend_at_s=6.0,
        gap_at_s=12.0,
    ),
)
GAP_S = 1.0
AFTER_GAP = "wait_ratio_amended_and_lost"
"""Not in the worst ratio: nobody is served in the gap itself."""


@attrs.define
class Served:
    """What one customer got.

    Attributes:
        asked_s: Slot seconds that it asked for.
        got_s: Slot seconds that it got.
        waits: Its waits for a slot, in seconds.
        refused: Statements that were refused.
    """

    asked_s: float = 0.0
    got_s: float = 0.0
    waits: list[float] = attrs.field(factory=list)
    refused: int = 0


class _Run:
    """One scene under one order."""

    def __init__(
        self, scene: Scene, order: str, seed: int, alone: str = ""
    ) -> None:
        self.scene = scene
        self.timers = decisions.VirtualTimers()
        self.rng = random.Random(seed)
        self.queue = decisions.AdmissionQueue(
            self.timers, SLOTS, decisions.ADMISSION_POLICIES.get(order)()
        )
        self.served: dict[str, Served] = {}
        self.busy_s = 0.0
        self.down_until = 0.0
        self._total = sum(d.share for d in scene.demands)
        self._contracts = {
            d.customer: decisions.Contract(
                customer=d.customer,
                databases=("plates",),
                share=d.share,
                connections=10,
                queue=200,
            )
            for d in scene.demands
        }
        for demand in scene.demands:
            self.served[demand.customer] = Served()
            if not alone or alone == demand.customer:
                self._arrive_later(demand)
        if scene.amend_at_s and not alone:
            self.timers.after(scene.amend_at_s, self._amend)
        if scene.gap_at_s and not alone:
            self.timers.after(scene.gap_at_s, self._lose)

    def run(self) -> None:
        """Runs the scene to its end."""
        self.timers.run_until(RUN_S + TAIL_S)

    def _amend(self) -> None:
        first = self.scene.demands[0].customer
        known = self._contracts[first]
        self._contracts[first] = attrs.evolve(known, share=known.share * 2)

    def _lose(self) -> None:
        self.down_until = self.timers.now() + GAP_S

    def _arrive_later(self, demand: Demand) -> None:
        part = SLOTS * demand.share / self._total
        rate = demand.load * part / SERVICE_S
        pause = self.rng.expovariate(rate)
        self.timers.after(pause, lambda: self._arrive(demand))

    def _arrive(self, demand: Demand) -> None:
        self._arrive_later(demand)
        now = self.timers.now()
        service_s = self.rng.expovariate(1.0 / SERVICE_S)
        served = self.served[demand.customer]
        counts = WARM_UP_S <= now < RUN_S
        if counts:
            served.asked_s += service_s
        contract = self._contracts[demand.customer]
        fut = self.queue.acquire(contract, now + TIMEOUT_S)

        def granted(done: "decisions.Future[decisions.Slot]") -> None:
            if done.exception() is not None:
                served.refused += 1
                return
            self._serve(served, done.result(), service_s, now, counts)

        fut.add_done_callback(granted)

    def _serve(
        self,
        served: Served,
        slot: decisions.Slot,
        service_s: float,
        asked_at: float,
        counts: bool,
    ) -> None:
        now = self.timers.now()
        held = max(0.0, self.down_until - now)
        if counts:
            served.waits.append(now - asked_at)
            served.got_s += service_s
        self.busy_s += service_s + held
        self.timers.after(service_s + held, lambda: self.queue.release(slot))


def _alone_p99(scene: Scene, customer: str, order: str, seed: int) -> float:
    run = _Run(scene, order, seed, alone=customer)
    run.run()
    return _report.percentile(run.served[customer].waits, 0.99)


def _scene_figures(scene: Scene, order: str, seed: int) -> _report.Figures:
    run = _Run(scene, order, seed)
    run.run()
    errors = []
    ratios = []
    p99s = []
    calm = [d for d in scene.demands if d.load <= 1.0]
    alone = _alone_p99(scene, calm[0].customer, order, seed)
    for demand in calm:
        served = run.served[demand.customer]
        errors.append(abs(1.0 - served.got_s / served.asked_s))
        p99 = _report.percentile(served.waits, 0.99)
        p99s.append(p99)
        ratios.append(max(0.0, p99 - SERVICE_S) / max(alone, SERVICE_S))
    return {
        f"share_error_worst_{scene.name}": max(errors),
        f"p99_wait_s_{scene.name}": max(p99s),
        f"p99_wait_alone_s_{scene.name}": alone,
        f"p99_wait_ratio_{scene.name}": max(ratios),
        f"utilisation_{scene.name}": run.busy_s / (SLOTS * (RUN_S + TAIL_S)),
    }


def _figures(order: str, seed: int) -> _report.Figures:
    figures: _report.Figures = {}
    for scene in SCENES:
        figures.update(_scene_figures(scene, order, seed))
    for name, pick in (
        ("share_error_worst", max),
        ("p99_wait_ratio", max),
        ("utilisation", min),
    ):
        chosen = pick(
            v
            for n, v in figures.items()
            if n.startswith(name) and not n.endswith(AFTER_GAP)
        )
        figures[name.replace("ratio", "ratio_worst")] = chosen
    return figures


def run(seed: int) -> _report.Report:
    """Returns the figures of fair queueing and of the baselines."""
    return _report.Report(
        "fairness",
        seed,
        _figures("fair", seed),
        {name: _figures(name, seed) for name in ("fifo", "static", "slack")},
    )
