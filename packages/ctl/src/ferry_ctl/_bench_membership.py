"""Failure detection time, false detections and cost of membership."""

import time

import ferry_standins as standins

from ferry_ctl import _report

SIZES = (7, 50, 410)
STEADY_S = 6.0
DETECTION_LIMIT_S = 14.0
NOISY_S = 20.0
PAUSE_S = 1.0
LOSS_SHARE = 0.05
STEP_S = 0.1
KILLED_NODES = 3
OBSERVERS = 60


def _detection(size: int, seed: int, loss: float) -> list[float]:
    """Returns the times until observers stopped listing a failed node."""
    swarm = standins.Swarm(standins.SwarmPlan(nodes=size, loss=loss), seed)
    swarm.timers.advance(STEADY_S)
    dead = swarm.random.sample(list(swarm.nodes), min(KILLED_NODES, size // 3))
    for name in dead:
        swarm.kill(name)
    died_at = swarm.timers.now()
    times: list[float] = []
    survivors = [name for name, node in swarm.nodes.items() if node.alive]
    observers = swarm.random.sample(survivors, min(OBSERVERS, len(survivors)))
    pending = {(observer, name) for observer in observers for name in dead}
    while pending and swarm.timers.now() - died_at < DETECTION_LIMIT_S:
        swarm.timers.advance(STEP_S)
        for observer, name in list(pending):
            names = {n.name for n in swarm.nodes[observer].view.alive()}
            if name not in names:
                pending.discard((observer, name))
                times.append(swarm.timers.now() - died_at)
    times += [DETECTION_LIMIT_S] * len(pending)
    return times


def _false_deaths(size: int, seed: int) -> tuple[int, int]:
    """Returns suspicions and false deaths under packet loss and 1 s pauses."""
    swarm = standins.Swarm(
        standins.SwarmPlan(nodes=size, loss=LOSS_SHARE), seed
    )
    swarm.timers.advance(STEADY_S)
    before = sum(n.view.suspicions for n in swarm.nodes.values())
    end = swarm.timers.now() + NOISY_S
    false_deaths: set[tuple[str, str]] = set()
    while swarm.timers.now() < end:
        swarm.timers.advance(1.0)
        paused = swarm.random.choice(list(swarm.nodes))
        swarm.nodes[paused].timers.pause(PAUSE_S)
        for name, node in swarm.nodes.items():
            alive = {n.name for n in node.view.alive()}
            false_deaths |= {
                (name, other) for other in swarm.nodes if other not in alive
            }
    after = sum(n.view.suspicions for n in swarm.nodes.values())
    return after - before, len({other for _, other in false_deaths})


def _cost(size: int, seed: int) -> tuple[float, float]:
    """Returns bytes and CPU seconds per node and second in steady state."""
    swarm = standins.Swarm(standins.SwarmPlan(nodes=size), seed)
    swarm.timers.advance(STEADY_S)
    sent = sum(n.bytes_sent for n in swarm.nodes.values())
    began = time.process_time()
    swarm.timers.advance(STEADY_S)
    used = time.process_time() - began
    sent_in_run = sum(n.bytes_sent for n in swarm.nodes.values()) - sent
    return sent_in_run / size / STEADY_S, used / size / STEADY_S


def _healing(size: int, seed: int) -> float:
    """Returns the time to complete views after a 30 s data centre cut."""
    swarm = standins.Swarm(standins.SwarmPlan(nodes=size), seed)
    swarm.timers.advance(STEADY_S)
    for other in range(1, swarm.plan.centres):
        swarm.cut.add(frozenset(("dc-0", f"dc-{other}")))
    swarm.timers.advance(30.0)
    swarm.cut.clear()
    healed_at = swarm.timers.now()
    while swarm.timers.now() - healed_at < 60.0:
        swarm.timers.advance(0.5)
        if all(len(n.view.alive()) == size for n in swarm.nodes.values()):
            break
    return swarm.timers.now() - healed_at


def run(seed: int) -> _report.Report:
    """Returns the membership figures at all sizes."""
    figures: _report.Figures = {}
    for size in SIZES:
        times = _detection(size, seed, loss=LOSS_SHARE)
        figures[f"detection_median_s_{size}"] = _report.median(times)
        figures[f"detection_p99_s_{size}"] = _report.percentile(times, 0.99)
        sent, used = _cost(size, seed)
        figures[f"bytes_per_s_per_node_{size}"] = sent
        figures[f"core_share_per_node_{size}"] = used
    suspicions, deaths = _false_deaths(50, seed)
    figures["suspicions_refuted_50"] = suspicions
    figures["false_suspicions"] = deaths
    figures["healing_s_50"] = _healing(50, seed)
    figures["detection_p99_s"] = figures["detection_p99_s_410"]
    return _report.Report("membership", seed, figures)
