"""Choice of serving nodes by the loads that they tell."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _features
from ferry_proxy import _forward_messages
from ferry_proxy import _forwarder
from ferry_proxy import _forwarding
from ferry_proxy import _peer_messages
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _requests
from ferry_proxy import _serving_plan
from ferry_proxy import _team_placement
from ferry_proxy import _teams
from ferry_proxy.placement import _load_reports
from ferry_proxy.tests import fakes

SLOTS = 4
WORK_S = 0.02
# A node of the lab runs this many statements a second.
CAPACITY_PER_S = SLOTS / WORK_S


class LoadedStream:
    """A stream to a serving node with a queue of its own.

    It refuses a statement whose wait would be too long, as a pool does.
    """

    def __init__(self, lab: "Lab", name: str) -> None:
        self.lab = lab
        self.peer = name
        self.services = frozenset({"orders"})
        self.missed: frozenset[str] = frozenset()
        self.open_transactions = 0
        self.closed = False
        self.silence_s = 0.0
        self.unresponsive_s = 0.0
        self.pending_calls = 0
        self.free_at = [0.0] * SLOTS
        self.load: object = "true"
        self.received = 0
        self.refused = 0

    def wait_s(self) -> float:
        return max(0.0, min(self.free_at) - self.lab.clock.now())

    def occupy(self, seconds: float) -> None:
        """Fills the queue with the statements of other entry nodes."""
        until = self.lab.clock.now() + seconds
        self.free_at = [until] * SLOTS

    def call(self, body):
        fut: decisions.Future[object] = decisions.Future()
        self.pending_calls += 1
        self.lab.clock.after(fakes.NET_S, lambda: self._run(body, fut))
        return fut

    def tell(self, body) -> None:
        raise NotImplementedError

    def _run(self, body, fut) -> None:
        self.received += 1
        now = self.lab.clock.now()
        wait_s = self.wait_s()
        allowed_s = body.target_s * self.lab.policy.hold_share - body.waited_s
        if wait_s > allowed_s:
            self.refused += 1
            self._reply(fut, 0.0, "overloaded")
            return
        self.free_at.remove(min(self.free_at))
        self.free_at.append(now + wait_s + WORK_S)
        self._reply(fut, wait_s + WORK_S, "")

    def _reply(self, fut, delay_s: float, reason: str) -> None:
        def send():
            self.pending_calls -= 1
            reply = _forward_messages.RunReply(
                "idle", [], "", reason, "", 0, -1, "a", True, 1, 0.0, None,
                self._told(),
            )  # fmt: skip
            data = _peer_messages.encode(-1, reply)
            fut.set_result(_peer_messages.Decoder().feed(data)[0].body)

        self.lab.clock.after(delay_s + fakes.NET_S, send)

    def _told(self):
        if self.load != "true":
            return self.load
        waits = (self.wait_s(),) * _load_reports.PRIORITIES
        return _load_reports.Load(WORK_S / SLOTS, waits, waits).encode()


class Mesh:
    def __init__(self) -> None:
        self.by_name: dict[str, LoadedStream] = {}


class Lab(fakes.Lab):
    """An entry node with two near serving nodes and a far one."""

    def __init__(
        self, enabled: bool = True, teams: bool = False, fair: bool = False
    ) -> None:
        super().__init__(_configuration.Consistency.SESSION)
        self.mesh = Mesh()
        places = {"near-1": "hall-b", "near-2": "hall-b", "far": "hall-c"}
        for name in places:
            self.mesh.by_name[name] = LoadedStream(self, name)
        entries = {
            n: _records.NodeEntry(n, "h", 1, p) for n, p in places.items()
        }
        features = {
            _policy.Feature.LOAD_REPORTS.value: enabled,
            _policy.Feature.FAIR_ADMISSION.value: fair,
        }
        self.forwarder = _forwarder.Forwarder(
            self.clock,
            self.policy,
            _records.NodeEntry("entry", "h", 1, "hall-b"),
            self.mesh,
            lambda _: _serving_plan.ServingPlan(entries, 4),
            lambda: None,
            lambda: _team_placement.TeamPlacement({"t1": 10.0}),
            _features.Features(_policy.Policy(features=features), lambda: None),
        )
        self.caller = _teams.Caller("t1", b"", 1) if teams else _teams.ANONYMOUS
        self.outcomes: list[tuple[str, float, float]] = []

    def offer(self, per_s: float, seconds: float) -> None:
        for number in range(int(per_s * seconds)):
            self.clock.after(number / per_s, self.ask)

    def ask(self) -> None:
        request = _requests.Request(
            statement=fakes.statement("READ x"),
            prepared=None,
            route=self.route,
            values={},
            arrived=self.clock.now(),
            arrived_boot=self.clock.boot_now(),
            caller=self.caller,
        )
        started_at = self.clock.now()
        runner = _forwarding.RemoteRunner(self.forwarder, "orders")
        fut = decisions.start(runner.run(request))
        fut.add_done_callback(lambda done: self._note(started_at, done))

    def _note(self, started_at, done) -> None:
        exc = done.exception()
        elapsed_s = self.clock.now() - started_at
        if exc is None:
            reason = done.result().reason
            outcome = reason.name if reason else "ran"
            self.outcomes.append((outcome, elapsed_s, 0.0))
        else:
            self.outcomes.append(
                (exc.reason.name, elapsed_s, exc.retry_after_s or 0.0)
            )

    def count(self, outcome: str) -> int:
        return sum(o == outcome for o, _, _ in self.outcomes)

    def streams(self) -> list[LoadedStream]:
        return list(self.mesh.by_name.values())


def _keep_full(lab: Lab, name: str, seconds: float) -> None:
    stream = lab.mesh.by_name[name]
    for number in range(int(seconds / 0.02)):
        lab.clock.after(number * 0.02, lambda: stream.occupy(0.15))


@pytest.mark.parametrize("enabled", [False, True])
def test_a_full_node_is_left_for_a_free_one(enabled):
    """It is asked again when the queue that it told may be empty."""
    lab = Lab(enabled)
    full, free, _ = lab.streams()
    _keep_full(lab, full.peer, 2.0)
    lab.offer(150, 2.0)
    lab.run(3.0)
    assert free.refused == 0
    assert lab.count("ran") + full.refused == 300
    if enabled:
        assert full.refused <= 2.0 / 0.15 + 2
    else:
        assert full.refused > 100


def test_far_nodes_help_only_when_near_ones_are_full():
    lab = Lab()
    lab.offer(100, 1.0)
    lab.run(2.0)
    assert lab.mesh.by_name["far"].received == 0
    for name in ("near-1", "near-2"):
        _keep_full(lab, name, 1.0)
    lab.offer(100, 1.0)
    lab.run(2.0)
    # The near ones are asked again every 0.15 s.
    assert lab.mesh.by_name["far"].received > 80
    assert lab.count("ran") > 180


def test_a_node_that_told_no_wait_is_not_flooded():
    """The statements sent since the report count as well."""
    lab = Lab()
    for name in lab.mesh.by_name:
        lab.mesh.by_name[name].occupy(0.05)
    lab.offer(200, 0.05)
    lab.run(0.2)
    before = {s.peer: s.received for s in lab.streams()}
    for _ in range(20):
        lab.ask()
    lab.run(0.5)
    added = {s.peer: s.received - before[s.peer] for s in lab.streams()}
    assert abs(added["near-1"] - added["near-2"]) <= 6


def test_a_request_that_no_node_can_run_in_time_is_refused_at_once():
    lab = Lab()
    for stream in lab.streams():
        lab.forwarder.loads.note(stream, "orders", [10, *[3000] * 6])
    lab.forwarder.loads.note(
        lab.mesh.by_name["far"], "orders", [10, *[2000] * 6]
    )
    lab.ask()
    [(outcome, elapsed_s, retry_after_s)] = lab.outcomes
    assert (outcome, elapsed_s) == ("overloaded", 0.0)
    assert retry_after_s == pytest.approx(0.2)
    assert [s.received for s in lab.streams()] == [0, 0, 0]


@pytest.mark.parametrize(("fair", "sent"), [(False, 0), (True, 1)])
def test_what_serving_nodes_let_wait_is_not_refused_before(fair, sent):
    """With fair admission, requests may wait while they are in time."""
    lab = Lab(fair=fair)
    wait_s = 0.5 * lab.route.target_s
    units = round(wait_s / _load_reports.UNIT_S)
    for stream in lab.streams():
        lab.forwarder.loads.note(stream, "orders", [10, *[units] * 6])
    lab.ask()
    lab.run(0.2)
    assert sum(s.received for s in lab.streams()) == sent
    assert lab.forwarder.loads.refusals == 1 - sent


def test_what_no_serving_node_can_answer_in_time_is_refused_at_once():
    lab = Lab(fair=True)
    wait_s = 1.1 * lab.route.target_s
    units = round(wait_s / _load_reports.UNIT_S)
    for stream in lab.streams():
        lab.forwarder.loads.note(stream, "orders", [10, *[units] * 6])
    lab.ask()
    [(outcome, elapsed_s, retry_after_s)] = lab.outcomes
    assert (outcome, elapsed_s) == ("overloaded", 0.0)
    assert retry_after_s == pytest.approx(wait_s)


def test_refusals_end_as_soon_as_the_queue_may_be_empty():
    lab = Lab()
    for stream in lab.streams():
        lab.forwarder.loads.note(stream, "orders", [10, *[1500] * 6])
    lab.ask()
    lab.run(0.075)
    lab.ask()
    lab.run(0.1)
    assert [o for o, _, _ in lab.outcomes] == ["overloaded", "ran"]


@pytest.mark.parametrize("enabled", [False, True])
def test_as_much_is_served_under_overload(enabled):
    """Refusals at the entry leave the serving nodes as busy as before."""
    lab = Lab(enabled)
    lab.offer(1_500, 2.0)
    lab.run(3.0)
    assert len(lab.outcomes) == 3_000
    capacity = 2 * CAPACITY_PER_S * (3 if enabled else 2)
    assert lab.count("ran") > 0.9 * capacity
    if enabled:
        refused = sum(s.refused for s in lab.streams())
        assert refused < lab.count("overloaded")


def test_a_node_without_a_report_is_asked_before_a_refusal():
    lab = Lab()
    for name in ("near-1", "near-2"):
        stream = lab.mesh.by_name[name]
        lab.forwarder.loads.note(stream, "orders", [10, *[3000] * 6])
    lab.ask()
    lab.run(0.1)
    assert lab.count("ran") == 1
    assert lab.mesh.by_name["far"].received == 1


def _home(lab: Lab) -> LoadedStream:
    need = _forwarder.Need("t1")
    stream = lab.forwarder.choose("orders", set(), need)
    assert stream is not None
    return lab.mesh.by_name[stream.peer]


def test_a_team_stays_at_its_home_while_the_home_is_in_time():
    lab = Lab(teams=True)
    home = _home(lab)
    lab.forwarder.loads.note(home, "orders", [10, *[700] * 6])
    for stream in lab.streams():
        if stream is not home:
            lab.forwarder.loads.note(stream, "orders", [])
    lab.ask()
    lab.run(0.2)
    assert home.received == 1


@pytest.mark.parametrize(("enabled", "ran"), [(False, 0), (True, 1)])
def test_a_team_leaves_a_home_that_is_too_late(enabled, ran):
    lab = Lab(enabled, teams=True)
    home = _home(lab)
    home.occupy(0.3)
    lab.forwarder.loads.note(home, "orders", [10, *[3000] * 6])
    for stream in lab.streams():
        if stream is not home:
            lab.forwarder.loads.note(stream, "orders", [])
    lab.ask()
    lab.run(0.2)
    assert lab.count("ran") == ran


def test_a_team_stays_at_a_late_home_if_no_other_node_is_better():
    lab = Lab(teams=True)
    home = _home(lab)
    lab.forwarder.loads.note(home, "orders", [10, *[3000] * 6])
    assert _home(lab) is home


def test_a_report_from_before_a_restart_counts_for_nothing():
    lab = Lab()
    for stream in lab.streams():
        lab.forwarder.loads.note(stream, "orders", [10, *[9000] * 6])
    for name in lab.mesh.by_name:
        lab.mesh.by_name[name] = LoadedStream(lab, name)
    lab.ask()
    lab.run(0.1)
    assert lab.count("ran") == 1


def test_a_node_that_fell_silent_is_not_asked_because_of_its_report():
    """It was cut off or paused after it had told that it was free."""
    lab = Lab()
    silent, busy, _ = lab.streams()
    lab.forwarder.loads.note(silent, "orders", [])
    lab.forwarder.loads.note(busy, "orders", [10, *[300] * 6])
    silent.silence_s = silent.unresponsive_s = 1.0
    lab.ask()
    lab.run(0.1)
    assert (silent.received, lab.count("ran")) == (0, 1)


@pytest.mark.parametrize(
    "load",
    [
        "free",
        [1, 2],
        [-1] * 7,
        [float("nan")] * 7,
        [float("inf")] * 7,
        [10**12] * 7,
        ["x"] * 7,
        [None] * 7,
        {"a": 1},
        7,
    ],
)
def test_a_load_that_makes_no_sense_does_no_harm(load):
    lab = Lab()
    for stream in lab.streams():
        stream.load = load
    lab.offer(100, 1.0)
    lab.run(1.5)
    assert lab.count("ran") == 100
    assert len(lab.forwarder.loads) == 0
    assert lab.forwarder.loads.invalid == 100


def test_a_node_that_refuses_although_it_tells_no_wait_is_left():
    lab = Lab()
    liar = lab.mesh.by_name["near-1"]
    liar.load = []
    liar.occupy(100.0)
    lab.offer(100, 1.0)
    lab.run(1.5)
    assert liar.refused <= 1.0 / (lab.policy.hold_share * 0.4) + 2
    assert lab.count("ran") == 100 - liar.refused
