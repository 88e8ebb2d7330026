"""Fairness of one member's slots while a customer floods it."""

import random

import attrs
import ferry_decisions as decisions

from ferry_ctl import _report

SLOTS = 5
SERVICE_S = 0.005
RUN_S = 16.0
DRAIN_S = 1.5
WARM_UP_S = 3.0
TIMEOUT_S = 10.0
MODERATE_LOAD = 0.8
FLOOD_LOAD = 10.0


@attrs.frozen
class Demand:
    """The load that one customer offers.

    Attributes:
        customer: The customer's name.
        share: The share in its contract.
        load: Offered load, as a multiple of the customer's share of the slots.
    """

    customer: str
    share: int
    load: float


@attrs.frozen
class Scenario:
    """A mix of customers, with optional events during the run.

    Attributes:
        name: The scenario's name in the figures.
        demands: The load of each customer.
        amend_at_s: Time at which the first customer's share doubles; 0 for
            never.
        outage_at_s: Time at which all slots are unavailable for `OUTAGE_S`, as
            when the serving node fails; 0 for never.
    """

    name: str
    demands: tuple[Demand, ...]
    amend_at_s: float = 0.0
    outage_at_s: float = 0.0


LARGE = "lone-star"
SMALL = "blue-mountain"
LIGHT_LOAD = 0.4
HUNDRED_LIGHT_LOADS = tuple(
    Demand(f"base-{i}", 1, LIGHT_LOAD) for i in range(100)
)
SCENARIOS = (
    Scenario(
        "large_floods",
        (Demand(LARGE, 20, FLOOD_LOAD), Demand(SMALL, 5, MODERATE_LOAD)),
    ),
    Scenario(
        "small_floods",
        (Demand(SMALL, 5, FLOOD_LOAD), Demand(LARGE, 20, MODERATE_LOAD)),
    ),
    Scenario(
        "large_floods_100",
        (Demand(LARGE, 100, FLOOD_LOAD), *HUNDRED_LIGHT_LOADS),
    ),
    Scenario(
        "amended_and_lost",
        (Demand(LARGE, 20, FLOOD_LOAD), Demand(SMALL, 5, LIGHT_LOAD)),
        amend_at_s=6.0,
        outage_at_s=12.0,
    ),
)
OUTAGE_S = 1.0
EXCLUDED_FROM_WORST = "wait_ratio_amended_and_lost"
"""Excluded from the worst ratio: no customer is served in the outage."""


@attrs.define
class CustomerResult:
    """Service that one customer received.

    Attributes:
        requested_s: Slot time that it requested, in seconds.
        received_s: Slot time that it received, in seconds.
        waits: Waiting time of each statement for a slot, in seconds.
        refused: Number of refused statements.
    """

    requested_s: float = 0.0
    received_s: float = 0.0
    waits: list[float] = attrs.field(factory=list)
    refused: int = 0


class _Run:
    """A simulation of one scenario under one admission policy."""

    def __init__(
        self, scenario: Scenario, policy: str, seed: int, alone: str = ""
    ) -> None:
        self.scenario = scenario
        self.timers = decisions.VirtualTimers()
        self.rng = random.Random(seed)
        self.queue = decisions.AdmissionQueue(
            self.timers, SLOTS, decisions.ADMISSION_POLICIES.get(policy)()
        )
        self.served: dict[str, CustomerResult] = {}
        self.busy_s = 0.0
        self.down_until = 0.0
        self._total = sum(d.share for d in scenario.demands)
        self._contracts = {
            d.customer: decisions.Contract(
                customer=d.customer,
                databases=("plates",),
                share=d.share,
                connections=10,
                queue=200,
            )
            for d in scenario.demands
        }
        for demand in scenario.demands:
            self.served[demand.customer] = CustomerResult()
            if not alone or alone == demand.customer:
                self._arrive_later(demand)
        if scenario.amend_at_s and not alone:
            self.timers.after(scenario.amend_at_s, self._amend)
        if scenario.outage_at_s and not alone:
            self.timers.after(scenario.outage_at_s, self._lose_slots)

    def run(self) -> None:
        """Runs the scenario to its end."""
        self.timers.run_until(RUN_S + DRAIN_S)

    def _amend(self) -> None:
        first = self.scenario.demands[0].customer
        known = self._contracts[first]
        self._contracts[first] = attrs.evolve(known, share=known.share * 2)

    def _lose_slots(self) -> None:
        self.down_until = self.timers.now() + OUTAGE_S

    def _arrive_later(self, demand: Demand) -> None:
        slot_share = SLOTS * demand.share / self._total
        rate = demand.load * slot_share / SERVICE_S
        pause = self.rng.expovariate(rate)
        self.timers.after(pause, lambda: self._arrive(demand))

    def _arrive(self, demand: Demand) -> None:
        self._arrive_later(demand)
        now = self.timers.now()
        service_s = self.rng.expovariate(1.0 / SERVICE_S)
        served = self.served[demand.customer]
        is_measured = WARM_UP_S <= now < RUN_S
        if is_measured:
            served.requested_s += service_s
        contract = self._contracts[demand.customer]
        fut = self.queue.acquire(contract, now + TIMEOUT_S)

        def granted(done: "decisions.Future[decisions.Slot]") -> None:
            if done.exception() is not None:
                served.refused += 1
                return
            self._serve(served, done.result(), service_s, now, is_measured)

        fut.add_done_callback(granted)

    def _serve(
        self,
        served: CustomerResult,
        slot: decisions.Slot,
        service_s: float,
        asked_at: float,
        is_measured: bool,
    ) -> None:
        now = self.timers.now()
        outage_wait_s = max(0.0, self.down_until - now)
        if is_measured:
            served.waits.append(now - asked_at)
            served.received_s += service_s
        self.busy_s += service_s + outage_wait_s
        self.timers.after(
            service_s + outage_wait_s, lambda: self.queue.release(slot)
        )


def _p99_alone(
    scenario: Scenario, customer: str, policy: str, seed: int
) -> float:
    run = _Run(scenario, policy, seed, alone=customer)
    run.run()
    return _report.percentile(run.served[customer].waits, 0.99)


def _scenario_figures(
    scenario: Scenario, policy: str, seed: int
) -> _report.Figures:
    run = _Run(scenario, policy, seed)
    run.run()
    errors = []
    ratios = []
    p99s = []
    below_share = [d for d in scenario.demands if d.load <= 1.0]
    alone = _p99_alone(scenario, below_share[0].customer, policy, seed)
    for demand in below_share:
        served = run.served[demand.customer]
        errors.append(abs(1.0 - served.received_s / served.requested_s))
        p99 = _report.percentile(served.waits, 0.99)
        p99s.append(p99)
        ratios.append(max(0.0, p99 - SERVICE_S) / max(alone, SERVICE_S))
    return {
        f"share_error_worst_{scenario.name}": max(errors),
        f"p99_wait_s_{scenario.name}": max(p99s),
        f"p99_wait_alone_s_{scenario.name}": alone,
        f"p99_wait_ratio_{scenario.name}": max(ratios),
        f"utilisation_{scenario.name}": run.busy_s
        / (SLOTS * (RUN_S + DRAIN_S)),
    }


def _figures(policy: str, seed: int) -> _report.Figures:
    figures: _report.Figures = {}
    for scenario in SCENARIOS:
        figures.update(_scenario_figures(scenario, policy, seed))
    for name, choose in (
        ("share_error_worst", max),
        ("p99_wait_ratio", max),
        ("utilisation", min),
    ):
        chosen = choose(
            v
            for n, v in figures.items()
            if n.startswith(name) and not n.endswith(EXCLUDED_FROM_WORST)
        )
        figures[name.replace("ratio", "ratio_worst")] = chosen
    return figures


def run(seed: int) -> _report.Report:
    """Returns the figures of fair queueing and of the baseline policies."""
    return _report.Report(
        "fairness",
        seed,
        _figures("fair", seed),
        {name: _figures(name, seed) for name in ("fifo", "static", "slack")},
    )
