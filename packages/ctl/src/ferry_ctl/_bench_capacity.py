"""Slopes of what grows with the fleet, and the figures at the design size.

Each slope is the least-squares fit over at least three sizes measured in this
run; `r2` tells how good the fit is. Processor seconds are this process's own
and include the fakes, so they are upper bounds.
"""

from collections.abc import Callable
import json
import time
import tracemalloc

import attrs
import ferry_decisions as decisions
import ferry_node as node
import ferry_runtime as runtime
import ferry_standins as standins

from ferry_ctl import _bench_failover
from ferry_ctl import _report

NODES = 410
DATABASES = 740
MEMBERS = 3
CUSTOMERS = 740
CALLERS = 3_400_000
STATEMENTS_PER_S = 150_000
CHANGES_PER_DAY = 730
DAY_S = 86_400
SERVICES = DATABASES * MEMBERS / NODES
PROBE_S = 1.0
SILENCE_S = 2.2
WATCH_RUN_S = 10.0
GAP_SEEDS = 6
TCP_BYTES = 80
TICKS = 50
TICKS_PER_S = 1 / 0.3
STREAM_SIZES = (50, 150, 400)


@attrs.frozen
class Fit:
    """A straight line through measured points.

    Attributes:
        slope: Growth for each unit of size.
        base: Value at size 0.
        r2: Share of the variance that the line explains.
    """

    slope: float
    base: float
    r2: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.base + self.slope * size


def fit(points: list[tuple[float, float]]) -> Fit:
    """Returns the least-squares line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    sxy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = sxy / sxx
    base = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    left = sum((y - base - slope * x) ** 2 for x, y in points)
    return Fit(slope, base, 1.0 - left / total if total else 1.0)


def _fitted(
    figures: _report.Figures,
    name: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], float],
) -> Fit:
    """Measures all sizes and notes the points and the fit."""
    points = []
    for size in sizes:
        value = measure(size)
        figures[f"{name}_at_{size}"] = value
        points.append((float(size), value))
    line = fit(points)
    figures[f"{name}_slope"] = line.slope
    figures[f"{name}_r2"] = line.r2
    return line


def _watch_cpu(count: int) -> float:
    """Returns processor seconds a second for watching databases."""
    policy = node.PolicySettings(probe_s=PROBE_S, silence_s=SILENCE_S)
    labs = [
        standins.Lab(standins.LabPlan(policy=policy), seed)
        for seed in range(count)
    ]
    for lab in labs:
        lab.timers.advance(2.0)
    began = time.process_time()
    for lab in labs:
        lab.timers.advance(WATCH_RUN_S)
    used = time.process_time() - began
    return used / WATCH_RUN_S / len(standins.LabPlan().centres)


def _probe_bytes() -> tuple[int, int]:
    """Returns the bytes of a status probe and of its answer."""
    order = node.ControlOrder("status")
    asked = len(node.encode_order(order))
    status = decisions.MemberStatus(
        name="plates-spanish-town",
        promised=12,
        is_primary=False,
        received=decisions.Position(12, 1_234_567_890),
        applied=decisions.Position(12, 1_234_567_890),
        term=12,
        owner="spanish-town-12/0123abcd",
        upstream_silence_s=0.123456,
    )
    shown = json.dumps(decisions.unstructure(status))
    return asked + TCP_BYTES, len(shown) + 60 + TCP_BYTES


def _probe_cpu(count: int) -> float:
    """Returns processor seconds of coding that many probes."""
    status = decisions.MemberStatus(
        name="plates-spanish-town",
        promised=12,
        is_primary=False,
        received=decisions.Position(12, 1_234_567),
        applied=decisions.Position(12, 1_234_567),
        term=12,
    )
    text = json.dumps(decisions.unstructure(status))
    began = time.process_time()
    for _ in range(count):
        node.encode_order(node.ControlOrder("status"))
        decisions.structure(json.loads(text), decisions.MemberStatus, "status")
    return time.process_time() - began


def _directory_bytes(count: int) -> float:
    """Returns the memory of a directory, contracts and databases included."""
    tracemalloc.start()
    directory = decisions.Directory()
    book = decisions.ContractBook()
    kept: list[object] = []
    logins = tuple(
        node.make_login(name, "password", b"0123456789abcdef")
        for name in ("clerk", "dealer")
    )
    for index in range(count):
        contract = decisions.Contract(
            customer=f"customer-{index}",
            databases=(f"db-{index}",),
            share=1,
            connections=5,
            logins=logins,
        )
        book.merge(contract)
        members = tuple(
            decisions.Member(f"db-{index}-{c}", c, "10.0.0.1", 5432)
            for c in ("a", "b", "c")
        )
        database = decisions.Database(f"db-{index}", members)
        record = decisions.Record(
            f"db-{index}", 3, members[0].name, starts=((1, 0), (2, 9), (3, 20))
        )
        kept += [database, record]
        for prefix, value in (
            (decisions.CONTRACT_PREFIX, contract),
            (decisions.TOPOLOGY_PREFIX, database),
            (decisions.RECORD_PREFIX, record),
        ):
            raw = json.dumps(decisions.unstructure(value)).encode()
            entry = decisions.StoreEntry(
                f"{prefix}{index}", raw, decisions.Revision(0, index + 1)
            )
            directory.merge([entry])
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(size)


def _admission_cpu(customers: int) -> float:
    """Returns processor seconds of one slot with that many waiting."""
    timers = decisions.VirtualTimers()
    queue = decisions.AdmissionQueue(
        timers, 5, decisions.ADMISSION_POLICIES.get("fair")()
    )
    held: list[decisions.Slot] = []
    for index in range(customers):
        contract = decisions.Contract(
            customer=f"c{index}", databases=("d",), share=1, connections=1
        )
        for _ in range(10):
            fut = queue.acquire(contract, 1e9)
            fut.add_done_callback(lambda done: held.append(done.result()))
    rounds = min(customers * 10 - 5, 2_000)
    began = time.process_time()
    for _ in range(rounds):
        queue.release(held.pop(0))
    return (time.process_time() - began) / rounds


def _swarm_cost(nodes: int) -> tuple[float, float]:
    """Returns membership's processor share and bytes a second, per node."""
    swarm = standins.Swarm(standins.SwarmPlan(nodes=nodes), 1)
    swarm.timers.advance(12.0)
    sent = sum(n.bytes_sent for n in swarm.nodes.values())
    began = time.process_time()
    swarm.timers.advance(6.0)
    used = time.process_time() - began
    more = sum(n.bytes_sent for n in swarm.nodes.values()) - sent
    return used / nodes / 6.0, more / nodes / 6.0


def _step(loop: runtime.EventLoop) -> None:
    """Runs what is ready, without waiting."""
    loop.call_soon(lambda: None)
    loop.step()


def _peer_streams(count: int) -> tuple[float, float]:
    """Returns the memory of streams, both ends, and a tick's seconds."""
    loop = runtime.EventLoop()
    hello = node.Hello("here", "dc")
    tracemalloc.start()
    here = node.Peers(loop, hello, "127.0.0.1", 0, lambda *_: None)
    before = tracemalloc.get_traced_memory()[0]
    for index in range(count):
        target = decisions.Node(f"n{index}", "dc", "127.0.0.1", here.port, 1)
        here.stream(target)
        _step(loop)
    for _ in range(count):
        _step(loop)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    began = time.process_time()
    for _ in range(TICKS):
        here.tick()
    tick_s = (time.process_time() - began) / TICKS
    here.close()
    loop.close()
    return float(size), tick_s


def run(seed: int) -> _report.Report:
    """Returns slopes, and the figures at the design size."""
    figures: _report.Figures = {}
    watch = _fitted(figures, "watch_core", (2, 8, 24), _watch_cpu)
    probe = _fitted(figures, "probe_cpu_s", (200, 800, 3200), _probe_cpu)
    directory = _fitted(
        figures, "directory_bytes", (100, 300, 740), _directory_bytes
    )
    admission = _fitted(
        figures, "admission_cpu_s", (10, 100, 1000), _admission_cpu
    )
    costs = {size: _swarm_cost(size) for size in (50, 150, 410)}
    member_core = _fitted(
        figures, "membership_core", (50, 150, 410), lambda n: costs[n][0]
    )
    member_bytes = _fitted(
        figures, "membership_bytes_per_s", (50, 150, 410), lambda n: costs[n][1]
    )
    streams = {size: _peer_streams(size) for size in STREAM_SIZES}
    stream = _fitted(
        figures, "peer_stream_bytes", STREAM_SIZES, lambda n: streams[n][0]
    )
    tick = _fitted(
        figures, "peer_tick_s", STREAM_SIZES, lambda n: streams[n][1]
    )
    figures["peer_streams_mb_per_node"] = stream.at(NODES) / 1e6
    asked, answered = _probe_bytes()
    probes_per_s = SERVICES * MEMBERS / PROBE_S
    figures["probe_bytes_asked"] = asked
    figures["probe_bytes_answered"] = answered
    figures["services_per_node"] = SERVICES
    figures["probes_per_s_per_node"] = probes_per_s
    figures["control_core_per_node"] = (
        watch.at(SERVICES)
        + probe.slope * probes_per_s
        + member_core.at(NODES)
        + tick.at(NODES) * TICKS_PER_S
    )
    figures["control_bytes_per_s_per_node"] = probes_per_s * (
        asked + answered
    ) + member_bytes.at(NODES)
    figures["directory_mb_per_node"] = directory.at(CUSTOMERS) / 1e6
    figures["admission_us_at_1000_customers"] = admission.at(1000) * 1e6
    figures["callers_per_node"] = CALLERS / NODES
    figures["statements_per_s_per_node"] = STATEMENTS_PER_S / NODES
    figures["config_changes_per_s"] = CHANGES_PER_DAY / DAY_S
    plan = standins.LabPlan(
        policy=node.PolicySettings(probe_s=PROBE_S, silence_s=SILENCE_S)
    )
    gaps = [
        _bench_failover.run_fault("isolated", seed + i, False, plan)
        for i in range(GAP_SEEDS)
    ]
    figures["gap_median_s_at_size"] = _report.median([g.gap_s for g in gaps])
    figures["gap_worst_s_at_size"] = max(g.gap_s for g in gaps)
    return _report.Report("capacity", seed, figures)
