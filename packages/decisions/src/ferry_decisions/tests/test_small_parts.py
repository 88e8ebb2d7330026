"""Flows, the blackboard, budgets, directories, placement and floors."""

import collections
import random
import typing

import pytest

import ferry_decisions as decisions
from ferry_decisions import _blackboard

P = decisions.Position


def test_flow_returns_and_raises_through_futures():
    first: decisions.Future[int] = decisions.Future()

    def flow():
        got = yield first
        try:
            yield decisions.failed(KeyError("x"))
        except KeyError:
            return got + 1

    out = decisions.start(flow())
    assert not out.done()
    decisions.resolve(first, 1)
    assert out.result() == 2


def test_timeout_is_typed_and_late_results_are_dropped():
    timers = decisions.VirtualTimers()
    slow: decisions.Future[int] = decisions.Future()
    bounded = decisions.with_timeout(timers, 1.0, slow)
    timers.advance(1.1)
    decisions.resolve(slow, 1)
    assert isinstance(bounded.exception(), decisions.TimeoutExpiredError)


def test_shared_round_is_never_older_than_the_request():
    timers = decisions.VirtualTimers()
    begun = []

    def work():
        begun.append(timers.now())
        yield decisions.sleep(timers, 1.0)
        return begun[-1]

    rounds = decisions.SharedRounds(work)
    one = rounds.join()
    timers.advance(0.5)
    two, three = rounds.join(), rounds.join()
    timers.advance(3.0)
    assert (one.result(), two.result(), three.result()) == (0.0, 1.0, 1.0)


def test_controller_may_touch_only_what_it_declared():
    key, other = decisions.BoardKey("a", 0), decisions.BoardKey("b", 0)
    board = decisions.Blackboard()

    class Greedy:
        reads: tuple[decisions.BoardKey[typing.Any], ...] = (key,)
        writes: tuple[decisions.BoardKey[typing.Any], ...] = ()

        def run(self, view):
            view.write(other, 1)

    with pytest.raises(_blackboard.UndeclaredAccessError):
        board.subscribe(Greedy())


def test_controller_runs_when_what_it_reads_changes():
    key, out = decisions.BoardKey("a", 0), decisions.BoardKey("b", 0)
    board = decisions.Blackboard()

    class Doubler:
        reads: tuple[decisions.BoardKey[typing.Any], ...] = (key,)
        writes: tuple[decisions.BoardKey[typing.Any], ...] = (out,)

        def run(self, view):
            view.write(out, 2 * view.read(key))

    board.subscribe(Doubler())
    board.write(key, 21)
    assert board.read(out) == 42


def test_retries_are_a_share_of_first_tries():
    budget = decisions.RetryBudget(0.1, 5.0)
    taken = 0
    for _ in range(1000):
        budget.note_first_attempt()
        taken += budget.take()
    assert 100 <= taken <= 106


def test_backoff_grows_within_its_bounds():
    rng = random.Random(1)
    pauses = [decisions.backoff(n, 0.01, 0.25, rng) for n in range(1, 40)]
    assert all(0.0 <= p <= 0.25 for p in pauses)
    assert max(pauses) > 0.1


@pytest.mark.parametrize("order", [[1, 2, 3], [3, 2, 1], [2, 3, 1]])
def test_directory_never_goes_back(order):
    directory = decisions.Directory()
    for revision in order:
        entry = decisions.StoreEntry(
            "k", b"%d" % revision, decisions.Revision(0, revision)
        )
        directory.merge([entry])
    assert [e.value for e in directory.entries()] == [b"3"]
    other = decisions.Directory()
    other.merge([decisions.StoreEntry("k", b"3", decisions.Revision(0, 3))])
    assert other.digest == directory.digest


def test_directory_digests_differ_when_contents_do():
    one, two = decisions.Directory(), decisions.Directory()
    one.merge([decisions.StoreEntry("k", b"", decisions.Revision(0, 1))])
    two.merge([decisions.StoreEntry("k", b"", decisions.Revision(0, 2))])
    assert one.digest != two.digest
    assert one.newer_than(two.versions()) == []
    assert [e.revision.number for e in two.newer_than(one.versions())] == [2]


def nodes_in(*centres):
    return [
        decisions.Node(f"n{i}", c, "10.0.0.1", 1, 1)
        for i, c in enumerate(centres)
    ]


MEMBERS = tuple(
    decisions.Member(f"m-{c}", c, "10.0.0.9", 5432) for c in ("a", "b", "c")
)


def test_member_is_served_in_its_own_data_centre():
    database = decisions.Database("d", MEMBERS)
    nodes = nodes_in("a", "a", "b", "b", "c")
    for member in MEMBERS:
        node = decisions.serving_node(database, member, nodes)
        assert node is not None
        assert node.data_centre == member.data_centre


def test_member_without_a_near_node_is_served_from_afar():
    database = decisions.Database("d", MEMBERS)
    node = decisions.serving_node(database, MEMBERS[2], nodes_in("a", "b"))
    assert node is not None
    assert decisions.serving_node(database, MEMBERS[0], []) is None


def test_departure_moves_only_the_departed_nodes_members():
    nodes = nodes_in(*["a"] * 10)
    gone = nodes[3]
    for index in range(200):
        member = decisions.Member(f"m{index}", "a", "10.0.0.9", 5432)
        database = decisions.Database("d", (member,))
        before = decisions.serving_node(database, member, nodes)
        left = [n for n in nodes if n is not gone]
        after = decisions.serving_node(database, member, left)
        assert before is gone or after is before


def test_forgotten_session_is_covered_by_the_base():
    floors = decisions.SessionFloors(max_sessions=2)
    floors.restart(P(1, 10))
    for index, name in enumerate(("a", "b", "c")):
        floors.note(name, P(1, 20 + index))
    assert floors.floor("a") >= P(1, 20)
    assert floors.floor("never-seen") >= P(1, 20)
    assert floors.floor("c") == P(1, 22)


@pytest.mark.parametrize(
    ("slots", "connections", "valid"), [(5, 35, True), (9, 35, False)]
)
def test_connection_limit_has_room_for_all_parts(slots, connections, valid):
    if not valid:
        with pytest.raises(ValueError):
            decisions.Database("d", MEMBERS, slots, connections)
        return
    database = decisions.Database("d", MEMBERS, slots, connections)
    used = database.control_connections + database.primary_connections
    used += 2 * database.replica_connections
    assert used == connections
    assert database.transaction_connections > 0


def test_replica_whose_primary_is_gone_grows_older():
    timers = decisions.VirtualTimers()
    tracker = decisions.ReplicaTracker(timers, decisions.Database("d", MEMBERS))
    tracker.note_applied("m-b", P(1, 5))
    tracker.note_primary(P(1, 5), timers.now())
    timers.advance(3.0)
    assert tracker.age("m-b") == 3.0
    assert (
        tracker.eligibility("m-b", P(1, 5), 5.0)
        is decisions.Eligibility.ELIGIBLE
    )
    assert (
        tracker.eligibility("m-b", P(1, 5), 2.0)
        is decisions.Eligibility.TOO_OLD
    )
    assert (
        tracker.eligibility("m-b", P(1, 6), 5.0)
        is decisions.Eligibility.BELOW_FLOOR
    )


def test_a_ticker_wakes_once_for_all_that_is_due():
    """27 wakes a second with a timer for each of six parts, 10 so."""
    timers = decisions.VirtualTimers()
    ticker = decisions.Ticker(timers, 0.1)
    runs: collections.Counter[str] = collections.Counter()
    wakes: set[float] = set()
    for period in (0.1, 0.1, 0.3, 0.4, 0.5, 1.0):

        def run(period: float = period) -> None:
            runs[str(period)] += 1
            wakes.add(timers.now())

        ticker.subscribe(period, run)
    timers.advance(12.05)
    assert runs == {"0.1": 240, "0.3": 40, "0.4": 30, "0.5": 24, "1.0": 12}
    assert len(wakes) == 120
    ticker.stop()
    timers.advance(1.0)
    assert len(wakes) == 120


def test_a_part_that_fails_holds_up_no_other():
    timers = decisions.VirtualTimers()
    ticker = decisions.Ticker(timers, 0.1)
    runs = []

    def fail() -> None:
        raise ValueError("of one part")

    ticker.subscribe(0.1, fail)
    ticker.subscribe(0.1, lambda: runs.append(1))
    with pytest.raises(ExceptionGroup) as caught:
        timers.advance(0.15)
    assert [str(e) for e in caught.value.exceptions] == ["of one part"]
    timers.run_until(0.18)
    assert runs == [1]
