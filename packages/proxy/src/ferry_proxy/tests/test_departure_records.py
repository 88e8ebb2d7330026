"""Changes of primary by nodes whose memory is younger than a departure."""

import json

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _departure_records
from ferry_proxy import _departure_sync
from ferry_proxy import _departures
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy.tests import departure_lab

KEY = _records.group_key(_records.DEPARTURE_PREFIX, 0, departure_lab.SERVICE)
NODES = ("n1", "n2", "n3")

B = _departure_records.Entry(
    _members.Member(
        "b", departure_lab.SERVICE, "h-b", 1, "hall-b", 5, born=1_000
    ),
    has_ended=False,
)
# A departed member out of reach counts as running for 30 s.
CLOSED_S = 36.0


def remove_b(fleet: departure_lab.Fleet, is_running: bool = True) -> None:
    """Removes a member from the list that is out of reach, or has ended.

    `c` lacks a commit that it and the primary hold.
    """
    fleet.cluster.members["c"].isolated = True
    fleet.commit("held by a and b")
    if is_running:
        fleet.cluster.members["b"].dark = True
    else:
        fleet.cluster.crash("b")
    fleet.delist("b")


def fleet_without_b(
    *names: str, is_running: bool = True
) -> departure_lab.Fleet:
    """Returns a fleet that has recorded the departure of a member."""
    fleet = departure_lab.Fleet(*names)
    remove_b(fleet, is_running)
    fleet.run(3.0)
    return fleet


def crash_primary(fleet):
    """Crashes the primary, and checks that no other member is promoted."""
    fleet.run(1.0)
    fleet.cluster.crash("a")
    fleet.run(5.0)
    assert fleet.cluster.lost == []
    assert fleet.cluster.promotions == []


@pytest.mark.parametrize("is_running", [True, False])
def test_a_node_that_kept_its_memory_promotes_nobody(is_running):
    crash_primary(fleet_without_b("n1", is_running=is_running))


@pytest.mark.parametrize("is_running", [True, False])
def test_a_restarted_node_promotes_nobody_over_a_departed_member(is_running):
    fleet = fleet_without_b("n1", "n2", is_running=is_running)
    fleet.restart("n1")
    crash_primary(fleet)


@pytest.mark.parametrize("is_running", [True, False])
def test_a_node_that_begins_to_serve_promotes_nobody_over_a_departed_member(
    is_running,
):
    fleet = fleet_without_b("n1", is_running=is_running)
    fleet.add("n2")
    crash_primary(fleet)


@pytest.mark.parametrize("is_running", [True, False])
def test_nodes_that_all_restart_promote_nobody_over_a_departed_member(
    is_running,
):
    fleet = fleet_without_b(*NODES, is_running=is_running)
    fleet.restart(*NODES)
    crash_primary(fleet)


def test_a_promoter_reads_departures_that_it_was_not_told_of():
    """Its copy of the store may be older than the record."""
    fleet = fleet_without_b("n1")
    fleet.restart("n1")
    node = fleet.nodes["n1"]
    fleet.run(0.003)
    node.follower.stop()
    items = {k: i for k, i in fleet.store.items.items() if k != KEY}
    record, fleet.store.items = fleet.store.items[KEY], items
    fleet.run(0.3)
    assert node.group.departures.open() == []
    fleet.store.items[KEY] = record
    crash_primary(fleet)
    assert fleet.open_departures() == {"n1": ["b@1000"]}


@pytest.mark.parametrize("restarted", [(), ("n1",), NODES])
@pytest.mark.parametrize("is_running", [True, False])
def test_the_record_goes_away_once_departures_are_covered(
    restarted, is_running
):
    fleet = fleet_without_b(*NODES, is_running=is_running)
    assert fleet.recorded() == ["b@1000"]
    fleet.restart(*restarted)
    fleet.run(2.0)
    fleet.catch_up()
    fleet.run(CLOSED_S if is_running else 4.0)
    assert fleet.recorded() is None
    assert fleet.open_departures() == {n: [] for n in NODES}
    fleet.cluster.crash("a")
    fleet.run(4.0)
    assert [m for m, _ in fleet.cluster.promotions] == ["c"]
    assert fleet.cluster.lost == []


@pytest.mark.parametrize("is_running", [True, False])
def test_a_node_that_restarts_before_the_record_is_written_asks_its_peers(
    is_running,
):
    """It passed on the acknowledgement itself, and is the first to claim."""
    first, other = sorted(
        ["n1", "n2"],
        key=lambda n: decisions.rendezvous_score(departure_lab.SERVICE, n),
    )
    fleet = departure_lab.Fleet(first, other)
    remove_b(fleet, is_running)
    fleet.run(0.2)
    fleet.restart(first)
    fleet.run(0.1)
    fleet.cluster.crash("a")
    fleet.run(0.6)
    assert fleet.recorded() is None
    fleet.run(5.0)
    assert fleet.cluster.promotions == []


def test_departures_that_disappear_from_the_record_are_covered():
    fleet = fleet_without_b(*NODES)
    fleet.store.delete(KEY)
    fleet.run(0.2)
    assert fleet.open_departures() == {n: [] for n in NODES}


def test_the_record_stays_until_departures_are_covered():
    fleet = fleet_without_b(*NODES)
    fleet.run(60.0)
    assert fleet.recorded() == ["b@1000"]


def test_departures_that_are_soon_covered_are_not_recorded():
    fleet = departure_lab.Fleet(*NODES)
    revisions = set()
    for member in "bc":
        fleet.cluster.crash(member)
        fleet.delist(member)
        for _ in range(40):
            fleet.run(0.1)
            revisions.add(fleet.recorded() is None)
        fleet.cluster.restart(member)
        fleet.enlist(member)
        fleet.run(3.0)
    assert revisions == {True}


def test_no_departure_is_recorded_where_commits_wait_for_no_replica():
    fleet = departure_lab.Fleet(*NODES)
    service = _configuration.Service(departure_lab.SERVICE, 100, 0)
    services = {departure_lab.SERVICE: service}
    fleet.cfg = attrs.evolve(fleet.cfg, services=services)
    remove_b(fleet)
    fleet.run(5.0)
    assert fleet.recorded() is None


def test_a_record_is_written_once_while_nothing_changes(monkeypatch):
    fleet = departure_lab.Fleet(*NODES)
    writes = count_writes(fleet, monkeypatch)
    remove_b(fleet)
    fleet.run(25.0)
    assert writes == ["put"]
    fleet.catch_up()
    fleet.run(20.0)
    assert writes == ["put", "remove"]


def count_writes(fleet, monkeypatch):
    """Returns a list of the writes of the record, extended with each call."""
    writes = []
    put_if, remove_if = fleet.store.put_if, fleet.store.remove_if

    def put(key, value, revision):
        writes.extend(["put"] * key.startswith(_records.DEPARTURE_PREFIX))
        return put_if(key, value, revision)

    def remove(key, revision):
        writes.extend(["remove"] * key.startswith(_records.DEPARTURE_PREFIX))
        return remove_if(key, revision)

    monkeypatch.setattr(fleet.store, "put_if", put)
    monkeypatch.setattr(fleet.store, "remove_if", remove)
    return writes


def test_a_store_that_is_down_gets_few_writes_and_the_record_later(
    monkeypatch,
):
    fleet = departure_lab.Fleet(*NODES)
    writes = count_writes(fleet, monkeypatch)
    remove_b(fleet)
    fleet.run(0.5)
    fleet.store.down = True
    fleet.run(60.0)
    assert fleet.recorded() is None
    assert len(writes) <= 7
    fleet.store.down = False
    fleet.run(31.0)
    assert fleet.recorded() == ["b@1000"]


def test_a_write_without_an_answer_is_not_repeated_without_end(monkeypatch):
    fleet = departure_lab.Fleet(*NODES)
    writes = count_writes(fleet, monkeypatch)
    remove_b(fleet)
    fleet.run(0.9)
    put_if = fleet.store.put_if

    def put(key, value, revision):
        fleet.store.replies_to_drop += key == KEY and len(writes) == 0
        return put_if(key, value, revision)

    monkeypatch.setattr(fleet.store, "put_if", put)
    fleet.run(10.0)
    assert fleet.recorded() == ["b@1000"]
    assert writes == ["put"]


def delay_write(fleet, monkeypatch):
    """Delays the next write of a record."""
    put_if = fleet.store.put_if

    def put(key, value, revision):
        if key.startswith(_records.DEPARTURE_PREFIX):
            monkeypatch.setattr(fleet.store, "put_if", put_if)
            fleet.store.writes_to_delay = 1
        return put_if(key, value, revision)

    monkeypatch.setattr(fleet.store, "put_if", put)


def test_a_late_write_of_covered_departures_is_undone(monkeypatch):
    fleet = departure_lab.Fleet(*NODES)
    delay_write(fleet, monkeypatch)
    remove_b(fleet, is_running=False)
    fleet.run(1.3)
    fleet.catch_up()
    fleet.run(5.0)
    assert fleet.recorded() is None
    fleet.store.run_delayed_writes()
    assert fleet.recorded() == ["b@1000"]
    fleet.run(3.0)
    assert fleet.recorded() is None
    assert fleet.open_departures() == {n: [] for n in NODES}


def test_nodes_out_of_touch_with_each_other_write_one_record():
    """Each of them takes itself for the first."""
    fleet = departure_lab.Fleet(*NODES)
    fleet.cut_off = set(NODES)
    remove_b(fleet)
    fleet.run(5.0)
    assert fleet.recorded() == ["b@1000"]
    fleet.catch_up()
    fleet.run(CLOSED_S)
    assert fleet.recorded() is None
    assert fleet.open_departures() == {n: [] for n in NODES}


def test_a_restored_store_gets_the_record_again():
    """Entries that a restore has removed are not taken for covered."""
    fleet = departure_lab.Fleet(*NODES)
    copy = fleet.store.copy()
    remove_b(fleet)
    fleet.run(3.0)
    fleet.store.restore(copy)
    fleet.delist("b")
    fleet.run(8.0)
    assert fleet.recorded(1) == ["b@1000"]
    fleet.restart(*NODES)
    fleet.run(20.0)
    crash_primary(fleet)


def test_a_record_of_an_earlier_era_is_replaced():
    fleet = fleet_without_b(*NODES)
    fleet.store.restore(fleet.store.copy())
    fleet.restart(*NODES)
    fleet.run(8.0)
    assert fleet.open_departures() == {n: ["b@1000"] for n in NODES}
    assert (fleet.recorded(0), fleet.recorded(1)) == (None, ["b@1000"])


def test_a_late_write_of_an_earlier_era_replaces_no_record(monkeypatch):
    fleet = departure_lab.Fleet(*NODES)
    delay_write(fleet, monkeypatch)
    remove_b(fleet)
    fleet.run(1.3)
    fleet.store.restore(fleet.store.copy())
    fleet.run(8.0)
    assert fleet.recorded(1) == ["b@1000"]
    fleet.store.run_delayed_writes()
    fleet.run(3.0)
    assert (fleet.recorded(0), fleet.recorded(1)) == (None, ["b@1000"])
    assert fleet.open_departures() == {n: ["b@1000"] for n in NODES}


@pytest.mark.parametrize("was_covered", [False, True])
def test_a_member_that_is_listed_again_and_leaves_again_is_recorded_again(
    was_covered,
):
    fleet = fleet_without_b(*NODES)
    fleet.catch_up()
    if was_covered:
        fleet.run(CLOSED_S)
    fleet.cluster.members["b"].dark = False
    fleet.enlist("b")
    fleet.run(3.0)
    assert fleet.recorded() is None
    fleet.catch_up()
    remove_b(fleet)
    for _ in range(4):
        fleet.run(1.5)
        assert fleet.recorded() == ["b@1000"]
        assert fleet.open_departures() == {n: ["b@1000"] for n in NODES}
    fleet.restart(*NODES)
    crash_primary(fleet)


def test_a_node_with_an_older_list_of_members_removes_no_entry():
    """It still lists a member whose removal others have recorded."""
    fleet = departure_lab.Fleet("n1")
    node = fleet.nodes["n1"]
    node.follower.stop()
    fleet.run(4.0)
    fleet.delist("b")
    fleet.store.put(KEY, _departure_records.encode([B]))
    node.catalogue.take((fleet.store.items[KEY],), "test")
    fleet.run(3.0)
    assert "b" in node.group.pools
    assert fleet.recorded() == ["b@1000"]


@pytest.mark.parametrize("value", [b"x", b"{}", b'{"departures": [1]}'])
def test_a_malformed_record_is_refused_and_replaced(value):
    fleet = departure_lab.Fleet(*NODES)
    fleet.store.put(KEY, value)
    fleet.run(0.5)
    assert all(n.catalogue.refused == 1 for n in fleet.nodes.values())
    fleet.run(3.0)
    assert fleet.store.items[KEY].value is None
    fleet.cluster.crash("a")
    fleet.run(3.0)
    assert len(fleet.cluster.promotions) == 1


def test_a_malformed_record_hides_no_departure():
    fleet = fleet_without_b(*NODES)
    fleet.store.put(KEY, b"x")
    fleet.run(3.0)
    assert fleet.recorded() == ["b@1000"]
    assert fleet.open_departures() == {n: ["b@1000"] for n in NODES}


def test_a_peer_that_sends_a_malformed_record_is_ignored():
    fleet = departure_lab.Fleet("n1")
    group = fleet.nodes["n1"].group
    _departure_sync.adopt_encoded(group, b"x", "n2", fleet.clock.boot_now())
    assert group.departures.open() == []


def departure(name: str, removed_at: float) -> _departures.Departure:
    member = _members.Member(name, "orders", "10.0.0.1", 1, "x", 5, born=7)
    return _departures.Departure(member, removed_at)


ENTRY = _departure_records.Entry.of(departure("b", 0.0), 1.0)
ROW = json.loads(_departure_records.encode([ENTRY]))["departures"][0]


def test_a_record_is_decoded_as_it_was_encoded():
    entries = (
        ENTRY,
        _departure_records.Entry.of(departure("c", 0.0), 1.0),
    )
    value = _departure_records.encode(entries)
    assert _departure_records.decode("orders", value) == entries


@pytest.mark.parametrize(
    "rows",
    [
        None,
        "rows",
        [None],
        [[]],
        [ROW, ROW],
        [{**ROW, "id": f"m{n}"} for n in range(33)],
        *([{**ROW, field: None}] for field in ROW),
        *([{k: v for k, v in ROW.items() if k != field}] for field in ROW),
        [{**ROW, "id": ""}],
        [{**ROW, "port": 0}],
        [{**ROW, "port": 65_536}],
        [{**ROW, "port": True}],
        [{**ROW, "born": -1}],
        [{**ROW, "born": 1.5}],
        [{**ROW, "slots": -1}],
        [{**ROW, "ended": 0}],
    ],
)
def test_malformed_records(rows):
    value = json.dumps({"departures": rows}).encode()
    with pytest.raises(_records.InvalidItemError):
        _departure_records.decode("orders", value)


def test_entries_stay_until_their_departure_is_closed():
    other = _departure_records.Entry.of(departure("c", 0.0), 1.0)
    entries = _departure_records.next_entries(
        (ENTRY, other), [], lambda e: e == other, 2.0
    )
    assert entries == (ENTRY,)


def test_the_number_of_entries_is_bounded():
    known = [departure(f"m{n}", 0.0) for n in range(40)]
    entries = _departure_records.next_entries(
        (ENTRY,), known, lambda _: False, 2.0
    )
    assert len(entries) == _departure_records.MAX_ENTRIES
    assert entries[0] == ENTRY


def test_nodes_that_do_not_ask_members_learn_what_is_covered():
    """The surveyor closes a departure before it is recorded."""
    fleet = departure_lab.Fleet(*NODES)
    fleet.cluster.crash("b")
    fleet.delist("b")
    fleet.run(1.8)
    assert fleet.recorded() is None
    assert fleet.open_departures() == {n: [] for n in NODES}
