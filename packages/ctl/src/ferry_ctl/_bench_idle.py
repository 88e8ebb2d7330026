"""Memory of a node process per idle caller."""

import time

import psycopg

from ferry_ctl import _bench_capacity
from ferry_ctl import _bench_path
from ferry_ctl import _processes
from ferry_ctl import _report

SIZES = (0, 400, 800, 1600)
WARM_UP_CALLERS = 50
SETTLE_S = 1.0


def run(target: _bench_path.Target, pid: int) -> _report.Report:
    """Returns the memory of process `pid` at several numbers of callers."""
    _bench_path.wait_until_ready(target)
    warm = [target.connect() for _ in range(WARM_UP_CALLERS)]
    figures: _report.Figures = {}
    points: list[tuple[float, float]] = []
    conns: list[psycopg.Connection[tuple[int]]] = []
    for size in SIZES:
        while len(conns) < size:
            conn = target.connect()
            conn.execute("SELECT 1")
            conns.append(conn)
        time.sleep(SETTLE_S)
        resident = _processes.resident_bytes(pid)
        figures[f"resident_mb_at_{size}"] = resident / 1e6
        points.append((float(size), float(resident)))
    cpu = _processes.processor_seconds(pid)
    time.sleep(5 * SETTLE_S)
    core_share = (_processes.processor_seconds(pid) - cpu) / (5 * SETTLE_S)
    line = _bench_capacity.fit(points)
    figures["bytes_per_idle_caller"] = line.slope
    figures["r2"] = line.r2
    figures["base_mb"] = line.base / 1e6
    figures["core_share_idle"] = core_share
    per_node = _bench_capacity.CALLERS / _bench_capacity.NODES
    figures["mb_at_design_size"] = line.at(per_node) / 1e6
    for open_conn in [*warm, *conns]:
        open_conn.close()
    return _report.Report("idle", 0, figures)
