"""Propagation time of contract changes, and the load on the store."""

import json

import ferry_decisions as decisions
import ferry_standins as standins

from ferry_ctl import _report

STEADY_S = 7.0
CHANGES = 6
CHANGE_INTERVAL_S = 2.0
OUTAGE_S = 20.0
STEP_S = 0.02
KEY = decisions.CONTRACT_PREFIX + "lone-star"


def _value(version: int) -> bytes:
    contract = decisions.Contract(
        customer="lone-star",
        databases=("plates",),
        share=version,
        connections=10,
        version=version,
    )
    return json.dumps(decisions.unstructure(contract)).encode()


class _Observer:
    """Records when each node applies a version, and whether one reverts."""

    def __init__(self, swarm: standins.Swarm) -> None:
        self.swarm = swarm
        self.versions = dict.fromkeys(swarm.nodes, 0)
        self.reverts = 0
        self.times: list[float] = []
        self.written_at: dict[int, float] = {}
        for name, node in swarm.nodes.items():
            node.directory.subscribe(
                lambda entry, n=name: self._on_entry(n, entry)  # type: ignore[misc]
            )

    def _on_entry(self, name: str, entry: decisions.StoreEntry) -> None:
        if entry.key != KEY:
            return
        version = int(json.loads(entry.value)["version"])
        if version < self.versions[name]:
            self.reverts += 1
        self.versions[name] = version
        if version in self.written_at:
            self.times.append(
                self.swarm.timers.now() - self.written_at[version]
            )

    def change(self, version: int) -> None:
        """Writes a version through a random node, as an operator does."""
        nodes = list(self.swarm.nodes.values())
        node = self.swarm.random.choice(nodes)
        self.written_at[version] = self.swarm.timers.now()
        condition = self.swarm.store.condition(KEY)
        node.store.put_if(KEY, _value(version), condition)


def _run(size: int, seed: int) -> _report.Figures:
    plan = standins.SwarmPlan(nodes=size, spreads=True)
    swarm = standins.Swarm(plan, seed)
    observer = _Observer(swarm)
    swarm.timers.advance(STEADY_S)
    observer.change(1)
    swarm.timers.advance(STEADY_S)
    calls = swarm.store.calls
    swarm.timers.advance(STEADY_S)
    steady_calls_per_s = (swarm.store.calls - calls) / STEADY_S
    streams = sum(n.stream_bytes for n in swarm.nodes.values())
    observer.times.clear()
    for version in range(2, CHANGES + 2):
        observer.change(version)
        swarm.timers.advance(CHANGE_INTERVAL_S)
    sent_bytes = sum(n.stream_bytes for n in swarm.nodes.values()) - streams
    seconds = CHANGES * CHANGE_INTERVAL_S
    times = list(observer.times)
    missing = size * CHANGES - len(times)
    figures = {
        f"spread_median_s_{size}": _report.median(times),
        f"spread_p99_s_{size}": _report.percentile(times, 0.99),
        f"spread_worst_s_{size}": max(times, default=0.0),
        f"missed_{size}": missing,
        f"reverts_{size}": observer.reverts,
        f"store_calls_per_s_{size}": steady_calls_per_s,
        f"stream_bytes_per_s_per_node_{size}": sent_bytes / size / seconds,
    }
    figures.update(_outage(swarm, observer, size))
    return figures


def _outage(
    swarm: standins.Swarm, observer: _Observer, size: int
) -> _report.Figures:
    """Measures a store outage and a change written right after it."""
    swarm.store.down = True
    calls = swarm.store.calls
    swarm.timers.advance(OUTAGE_S)
    outage_calls_per_s = (swarm.store.calls - calls) / OUTAGE_S
    swarm.store.down = False
    last_version = CHANGES + 2
    observer.change(last_version)
    begun = swarm.timers.now()
    peak_calls = 0
    applied_after_s = 0.0
    while swarm.timers.now() - begun < 60.0:
        calls = swarm.store.calls
        swarm.timers.advance(1.0)
        peak_calls = max(peak_calls, swarm.store.calls - calls)
        if all(v == last_version for v in observer.versions.values()):
            applied_after_s = swarm.timers.now() - begun
            break
    return {
        f"store_calls_per_s_in_outage_{size}": outage_calls_per_s,
        f"store_calls_busiest_s_after_{size}": peak_calls,
        f"in_force_after_outage_s_{size}": applied_after_s,
    }


def run(seed: int) -> _report.Report:
    """Returns the propagation figures at 7 and at 410 nodes."""
    figures: _report.Figures = {}
    for size in (7, 410):
        figures.update(_run(size, seed))
    figures["spread_p99_s"] = figures["spread_p99_s_410"]
    figures["reverts"] = figures["reverts_7"] + figures["reverts_410"]
    return _report.Report("contract-spread", seed, figures)
