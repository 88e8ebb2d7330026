"""Tests of statements forwarded to serving nodes, in virtual time."""

import functools

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _execution
from ferry_proxy import _forward_messages
from ferry_proxy import _forwarder
from ferry_proxy import _forwarding
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _records
from ferry_proxy import _serving
from ferry_proxy import _serving_plan
from ferry_proxy import _statements
from ferry_proxy import _team_placement
from ferry_proxy.tests import fakes

STATES = _statements.TransactionState
NET_S = 0.001


class FakeStream:
    """A stream to a serving node that encodes and decodes messages."""

    def __init__(self, clock, peer: str, serving: _serving.Serving) -> None:
        self._clock = clock
        self._serving = serving
        self._calls: dict[int, decisions.Future[object]] = {}
        self._number = 0
        self.peer = peer
        self.services = frozenset({"orders"})
        self.missed: frozenset[str] = frozenset()
        self.open_transactions = 0
        self.closed = False
        self.silence_s = 0.0
        self.unresponsive_s = 0.0
        self.drops_replies = False
        self.sent: list[object] = []

    @property
    def pending_calls(self) -> int:
        return len(self._calls)

    def call(self, body):
        if self.closed:
            lost = _peers.PeerLostError(self.peer, sent=False)
            return decisions.failed(lost)
        self._number += 1
        number = self._number
        fut: decisions.Future[object] = decisions.Future()
        self._calls[number] = fut
        self._clock.after(
            NET_S, functools.partial(self._run, number, encode_and_decode(body))
        )
        return fut

    def tell(self, body) -> None:
        self.sent.append(body)
        message = encode_and_decode(body)
        assert isinstance(message, _forward_messages.EndTransaction)
        self._clock.after(
            NET_S, lambda: self._serving.end(self, message.transaction)
        )

    def fail(self) -> None:
        """Ends the stream at both ends."""
        self.closed = True
        calls, self._calls = self._calls, {}
        for fut in calls.values():
            fut.set_exception(_peers.PeerLostError(self.peer))
        self._serving.forget(self)

    def _run(self, number, body) -> None:
        if self.closed:
            return
        self.sent.append(body)
        answer = self._serving.run(self, body)
        answer.add_done_callback(lambda fut: self._answer(number, fut))

    def _answer(self, number, fut) -> None:
        reply = encode_and_decode(fut.result())
        if not self.drops_replies:
            self._clock.after(NET_S, lambda: self._take(number, reply))

    def _take(self, number, reply) -> None:
        pending_calls = self._calls.pop(number, None)
        if pending_calls is not None:
            pending_calls.set_result(reply)


def encode_and_decode(body):
    """Returns a message after encoding and decoding."""
    data = _peer_messages.encode(1, body)
    return _peer_messages.Decoder().feed(data)[0].body


class FakeMesh:
    def __init__(self) -> None:
        self.by_name: dict[str, FakeStream] = {}


class EntryLab(fakes.Lab):
    """An entry node in hall-b with a nearby and a remote serving node."""

    def __init__(self, consistency=None, **policy) -> None:
        super().__init__(consistency, **policy)
        self.mesh = FakeMesh()
        self.reachable: set[str] = set()
        self.servings = {}
        for name in ("near", "far"):
            serving = _serving.Serving(
                self.clock, self._serve, self.ctx.access, self.ctx.gate
            )
            self.servings[name] = serving
            self.mesh.by_name[name] = FakeStream(self.clock, name, serving)
        places = {"near": "hall-b", "far": "hall-c"}
        entries = {
            n: _records.NodeEntry(n, "h", 1, p) for n, p in places.items()
        }
        self.plan = _serving_plan.ServingPlan(entries, 4)
        own = _records.NodeEntry("entry", "h", 1, "hall-b")
        self.seeks = 0
        self.team_placement = _team_placement.TeamPlacement({})
        self.forwarder = _forwarder.Forwarder(
            self.clock,
            self.policy,
            own,
            self.mesh,
            lambda _: self.plan,
            self._seek,
            lambda: self.team_placement,
        )
        self.local, self.runner = (
            self.runner,
            _forwarding.RemoteRunner(self.forwarder, "orders"),
        )

    def _seek(self) -> None:
        """Opens the wanted streams after two network trips."""
        self.seeks += 1
        wanted = {n.name for n in self.forwarder.wanted("orders")}
        for name in wanted - self.mesh.by_name.keys():
            if name in self.reachable:
                stream = FakeStream(self.clock, name, self.servings[name])
                self.clock.after(
                    2 * NET_S,
                    functools.partial(
                        self.mesh.by_name.__setitem__, name, stream
                    ),
                )

    def _serve(self, service):
        return self.local if service == "orders" else None

    @property
    def near(self) -> FakeStream:
        return self.mesh.by_name["near"]

    @property
    def far(self) -> FakeStream:
        return self.mesh.by_name["far"]

    def open_links(self) -> int:
        links = [k for m in self.cluster.members.values() for k in m.links]
        return sum(k.state is STATES.OPEN and not k.lost for k in links)

    def results(self, session, *texts):
        answers = [self.do(session, fakes.statement(t)) for t in texts]
        return [a.reason.name if a.reason else "" for a in answers]


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["READ x", "WRITE x 1", "READ x"], ["", "", ""]),
        (["SET tz UTC", "PREPARE p WRITE q", "EXECUTE p x"], ["", "", ""]),
        (["BEGIN", "WRITE x 1", "READ x", "COMMIT"], ["", "", "", ""]),
        (["BEGIN READ", "READ x", "READ y", "COMMIT"], ["", "", "", ""]),
        (["BEGIN", "WRITE x 1", "ROLLBACK", "READ x"], ["", "", "", ""]),
        (["BEGIN", "COMMIT"], ["", ""]),
        (["BEGIN READ", "WRITE x 1", "READ x", "ROLLBACK"],
         ["", "not_primary", "in_failed_transaction", ""]),
        (["EXECUTE p x"], ["unknown_prepared"]),
    ],
)  # fmt: skip
def test_conversations_are_the_same_through_a_serving_node(texts, expected):
    lab = EntryLab()
    session = lab.session()
    assert lab.results(session, *texts) == expected
    lab.run(0.5)
    assert lab.open_links() == 0
    assert all(s.is_idle for s in lab.servings.values())
    assert [s.open_transactions for s in lab.mesh.by_name.values()] == [0, 0]


def test_values_and_shapes_go_with_the_statement():
    lab = EntryLab()
    session = lab.session()
    lab.results(session, "SET tz UTC", "PREPARE p WRITE q")
    lab.do(session, fakes.statement("EXECUTE p x", "e1"))
    assert lab.cluster.seen_values["e1"] == {"tz": "UTC"}
    assert ("e1", "q") in lab.cluster.members["a"].runs


def test_a_session_reads_its_own_commit_through_another_node():
    lab = EntryLab()
    session = lab.session()
    wrote = lab.do(session, fakes.statement("WRITE x 1"))
    lab.near.fail()
    lab.do(session, fakes.statement("READ x", "r1"))
    assert lab.cluster.seen_floors["r1"] >= wrote.position


def test_the_near_serving_node_goes_first():
    lab = EntryLab()
    session = lab.session()
    assert lab.results(session, "READ x", "READ y") == ["", ""]
    assert (len(lab.near.sent), len(lab.far.sent)) == (2, 0)


@pytest.mark.parametrize(
    "break_stream",
    [
        lambda s: setattr(s, "services", frozenset()),
        lambda s: setattr(s, "silence_s", 5.0),
        lambda s: s.fail(),
    ],
    ids=["lost its members", "silent", "gone"],
)
def test_the_far_one_serves_while_the_near_one_cannot(break_stream):
    lab = EntryLab()
    break_stream(lab.near)
    if lab.near.closed:
        del lab.mesh.by_name["near"]
    session = lab.session()
    assert lab.results(session, "READ x", "WRITE x 1") == ["", ""]


def test_what_a_stopping_node_refused_runs_elsewhere():
    lab = EntryLab()
    lab.servings["near"]._runner = lambda _: None
    session = lab.session()
    assert lab.results(session, "WRITE x 1") == [""]
    assert lab.results(session, "BEGIN", "WRITE x 2", "COMMIT") == [""] * 3


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["WRITE x 1"], "answer_lost"),
        (["READ x"], "read_cut"),
        (["BEGIN", "WRITE x 1"], "transaction_lost"),
        (["BEGIN", "WRITE x 1", "COMMIT"], "answer_lost"),
        (["BEGIN", "READ x", "COMMIT"], "transaction_lost"),
    ],
)
def test_a_stream_that_ends_under_way(texts, expected):
    """A stream ends while a statement runs at the serving node.

    The outcome is unknown only if the statement may have had an effect, and a
    write is not sent a second time.
    """
    lab = EntryLab()
    del lab.mesh.by_name["far"]
    session = lab.session()
    *before, last = texts
    assert lab.results(session, *before) == [""] * len(before)
    fut = session.run(fakes.statement(last, "last"))
    lab.run(0.004)
    lab.near.fail()
    del lab.mesh.by_name["near"]
    lab.run(1.0)
    reason = fut.result().reason
    assert reason is not None
    assert reason.name == expected
    lab.run(1.0)
    assert lab.open_links() == 0
    runs = [r for m in lab.cluster.members.values() for r, _ in m.runs]
    assert runs.count("last") <= 1


def test_a_read_that_is_cut_is_asked_elsewhere():
    lab = EntryLab()
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(0.004)
    lab.near.fail()
    lab.run(0.2)
    assert fut.result().reason is None


def test_each_serving_node_is_asked_once_and_its_reason_is_told():
    lab = EntryLab()
    for serving in lab.servings.values():
        serving._runner = lambda _: None
    assert lab.results(lab.session(), "READ x") == ["no_serving_node"]
    assert (len(lab.near.sent), len(lab.far.sent)) == (1, 1)


def test_a_read_is_asked_elsewhere_when_its_node_falls_silent():
    lab = EntryLab()
    lab.near.drops_replies = True
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(0.1)
    lab.near.unresponsive_s = 1.0
    lab.run(0.25)
    assert fut.result().reason is None
    assert fut.result().proof.startswith("proof")


def test_a_read_waits_for_a_node_that_is_slow_and_shows_life():
    lab = EntryLab()
    lab.near.drops_replies = True
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(0.9)
    assert not fut.done()
    assert lab.far.sent == []


def test_a_node_that_owes_answers_and_is_silent_gets_no_more():
    lab = EntryLab()
    lab.near.unresponsive_s = 1.0
    assert lab.results(lab.session(), "WRITE x 1") == [""]
    assert (len(lab.near.sent), len(lab.far.sent)) == (0, 1)


def test_an_answer_that_does_not_come_is_unknown_for_a_write():
    lab = EntryLab()
    lab.near.drops_replies = True
    session = lab.session()
    assert lab.results(session, "WRITE x 1") == ["answer_lost"]
    assert len(lab.cluster.acknowledged) == 1


def test_without_a_serving_node_callers_are_refused_soon():
    lab = EntryLab()
    lab.mesh.by_name.clear()
    began = lab.clock.now()
    assert lab.results(lab.session(), "WRITE x 1") == ["no_serving_node"]
    assert lab.clock.now() - began < 0.2


def test_an_entry_that_is_gone_leaves_no_transaction():
    lab = EntryLab()
    session = lab.session()
    lab.results(session, "BEGIN", "WRITE x 1")
    assert lab.open_links() == 1
    lab.near.fail()
    lab.run(0.1)
    assert lab.open_links() == 0
    assert lab.results(session, "COMMIT") == ["transaction_lost"]
    assert lab.cluster.acknowledged == []


def test_an_entry_that_goes_during_a_statement_leaves_none_either():
    lab = EntryLab()
    session = lab.session()
    lab.results(session, "BEGIN", "WRITE x 1")
    session.run(fakes.statement("WRITE x 2"))
    lab.run(0.004)
    lab.near.fail()
    lab.run(0.5)
    assert lab.open_links() == 0


def test_a_stopping_serving_node_ends_resting_transactions():
    lab = EntryLab()
    session = lab.session()
    lab.results(session, "BEGIN", "WRITE x 1")
    assert not lab.servings["near"].is_idle
    lab.servings["near"].end_transactions(decisions.TRANSACTION_LOST)
    lab.run(0.1)
    assert lab.servings["near"].is_idle
    assert lab.open_links() == 0
    assert lab.results(session, "WRITE x 2") == ["transaction_lost"]


def test_reads_of_primary_routes_are_proved_at_the_serving_node():
    lab = EntryLab(_configuration.Consistency.PRIMARY)
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.proof == "proof-a"


def test_streams_are_kept_to_near_nodes_and_to_all_in_need():
    lab = EntryLab()
    assert [n.name for n in lab.forwarder.wanted("orders")] == ["near"]
    lab.near.services = frozenset()
    assert len(lab.forwarder.wanted("orders")) == 2
    assert lab.forwarder.is_served("orders")


@pytest.mark.parametrize(
    "field", ["kind", "consistency"], ids=["kind", "consistency"]
)
def test_a_request_that_makes_no_sense_is_refused(field):
    lab = EntryLab()
    good = _forward_messages.RunRequest(
        "r", "orders", "session", 1, 1.0, 0.4, 1.5, 0.0,
        "id", "read", "READ x", "x", "", False, None, {}, 0, -1,
    )  # fmt: skip
    bad = encode_and_decode(good)
    object.__setattr__(bad, field, "nonsense")
    fut = lab.servings["near"].run(lab.near, bad)
    assert fut.result().reason == "protocol_violation"


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["READ x"], [""]),
        (["WRITE x 1"], [""]),
        (["BEGIN", "WRITE x 1", "COMMIT"], ["", "", ""]),
    ],
)
def test_far_nodes_serve_as_soon_as_the_near_one_falls_silent(texts, expected):
    """Streams to remote nodes open before the silent node's stream ends.

    That stream ends only after 1.6 s. None of 10 callers that arrived in that
    time was served when remote nodes were connected to only afterwards.
    """
    lab = EntryLab()
    del lab.mesh.by_name["far"]
    lab.reachable.add("far")
    lab.near.unresponsive_s = lab.near.silence_s = 0.4
    assert lab.results(lab.session(), *texts) == expected
    assert lab.seeks == 1
    assert not lab.near.sent


def test_a_read_whose_node_falls_silent_is_asked_at_one_that_opens():
    lab = EntryLab()
    del lab.mesh.by_name["far"]
    lab.reachable.add("far")
    lab.near.drops_replies = True
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(0.1)
    lab.near.unresponsive_s = lab.near.silence_s = 0.35
    lab.run(0.25)
    assert fut.result().reason is None


def test_a_read_that_nobody_else_can_run_keeps_its_reason():
    lab = EntryLab()
    del lab.mesh.by_name["far"]
    lab.near.drops_replies = True
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(0.1)
    lab.near.unresponsive_s = lab.near.silence_s = 0.35
    lab.run(0.5)
    assert fut.result().reason is decisions.READ_CUT
    assert lab.seeks == 1


class Refusing:
    """A serving node's runner and transaction that refuse all."""

    failure = None
    wrote = False
    holds_link = False
    last_used_at = 0.0

    def __init__(self, keeps_place: bool = False) -> None:
        self._told = decisions.RequestFailedError(
            decisions.NO_PRIMARY, "changing", 0.7, keeps_place
        )

    def run(self, _):
        yield decisions.completed(None)
        raise self._told

    def begin(self, _):
        return self

    def fail(self, _) -> None:
        """Nothing is open."""

    def roll_back(self) -> None:
        """Nothing is open."""


def test_a_transaction_that_all_nodes_refused_tells_their_reason():
    """Guards against NO_SERVING_NODE after a wait, instead of the refusal."""
    lab = EntryLab()
    lab.local = Refusing()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    reply = lab.do(session, fakes.statement("WRITE x 1"))
    assert reply.reason is decisions.NO_PRIMARY
    assert reply.retry_after_s == 0.7
    sent = [s for m in lab.mesh.by_name.values() for s in m.sent]
    begun = [s for s in sent if isinstance(s, _forward_messages.RunRequest)]
    assert len(begun) == 2
    assert lab.mesh.by_name["near"].open_transactions == 0
    assert lab.mesh.by_name["far"].open_transactions == 0


@pytest.mark.parametrize("texts", [["WRITE x 1"], ["BEGIN", "WRITE x 1"]])
def test_a_caller_with_a_promised_time_waits_only_for_streams_to_open(texts):
    lab = EntryLab()
    lab.local = Refusing(keeps_place=True)
    session = lab.session()
    started_at = lab.clock.now()
    for text in texts:
        reply = lab.do(session, fakes.statement(text))
    assert reply.reason is decisions.NO_PRIMARY
    waited_s = lab.clock.now() - started_at
    assert waited_s < _forwarding.STREAM_OPEN_WAIT_S + 0.03
    assert (len(lab.near.sent) > 0, len(lab.far.sent) > 0) == (True, True)


def interrupted_while_it_runs(texts, after_s):
    """Stops the serving nodes' work while the last statement runs."""
    lab = EntryLab()
    session = lab.session()
    for text in texts[:-1]:
        lab.do(session, fakes.statement(text))
    fut = session.run(fakes.statement(texts[-1], "last"))
    lab.run(after_s)
    cut = sum(s.interrupt() for s in lab.servings.values())
    assert cut == 1
    lab.run(0.01)
    runs = [r for m in lab.cluster.members.values() for r in m.runs]
    return fut, [r for r in runs if "last" in r]


# Guards against entry nodes that wait for a serving node that is being stopped.
@pytest.mark.parametrize(
    ("texts", "reason"),
    [
        (["WRITE x 1"], "answer_lost"),
        (["BEGIN", "WRITE x 1", "COMMIT"], "answer_lost"),
        (["BEGIN", "READ y", "READ x"], "transaction_lost"),
        (["BEGIN READ", "READ x", "COMMIT"], "transaction_lost"),
    ],
)
def test_an_entry_node_learns_what_became_of_interrupted_work(texts, reason):
    fut, _ = interrupted_while_it_runs(texts, NET_S + 0.004)
    assert fut.result().reason.name == reason


def test_an_interrupted_read_runs_at_another_serving_node():
    lab = EntryLab()
    fut = lab.session().run(fakes.statement("READ x"))
    lab.run(NET_S + 0.004)
    assert lab.servings["near"].interrupt() == 1
    lab.run(0.1)
    assert fut.result().reason is None
    assert lab.far.sent


# Guards against a statement that runs after its caller was told otherwise.
def test_a_queued_write_that_was_interrupted_is_never_sent():
    lab = EntryLab()
    for member in lab.cluster.members.values():
        member.slots, member.slowness = 1, 50.0
    sessions = [lab.session() for _ in range(30)]
    futs = {
        f"q{n}": s.run(fakes.statement("WRITE x 1", f"q{n}"))
        for n, s in enumerate(sessions)
    }
    lab.run(0.05)
    assert sum(s.interrupt() for s in sessions) == sum(
        f.result().reason in (decisions.STOPPING, decisions.ANSWER_LOST)
        for f in futs.values()
        if f.done()
    )
    lab.run(60.0)
    runs = {i for m in lab.cluster.members.values() for i, _ in m.runs}
    refused = {n for n, f in futs.items() if f.result().not_run}
    assert not refused & runs


def test_a_closed_gate_lets_an_open_transaction_go_on():
    lab = EntryLab()
    session = lab.session()
    assert lab.results(session, "BEGIN", "WRITE x 1") == ["", ""]
    lab.ctx.gate.close()
    assert lab.results(session, "READ x", "COMMIT") == ["", ""]
    refused = ["stopping", "stopping", "stopping", ""]
    texts = ["READ x", "WRITE x 1", "BEGIN", "SET a b"]
    assert lab.results(session, *texts) == refused


# Guards against callers that wait without end for a statement that failed with
# an unexpected error.
@pytest.mark.parametrize("is_remote", [False, True])
@pytest.mark.parametrize(
    ("method", "text", "reason"),
    [
        ("primary", "WRITE x 1", "internal_failure"),
        ("confirm", "WRITE x 1", "answer_lost"),
        ("target", "READ x", "internal_failure"),
    ],
)
def test_an_unexpected_error_is_logged_and_answered(
    method, text, reason, is_remote, monkeypatch, caplog
):
    def fail(*_, **__):
        raise ZeroDivisionError(method)

    lab = EntryLab()
    if not is_remote:
        lab.runner = lab.local
    monkeypatch.setattr(_execution.Executor, method, fail)
    reply = lab.do(lab.session(), fakes.statement(text))
    assert reply.reason.name == reason
    assert "ZeroDivisionError" in caplog.text
