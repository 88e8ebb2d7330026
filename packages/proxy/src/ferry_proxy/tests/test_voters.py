"""The record of a group's voters, and changes of primary that rely on it."""

import json

import ferry_decisions as decisions
import pytest

from ferry_proxy import _departures
from ferry_proxy import _members
from ferry_proxy import _records
from ferry_proxy import _voter_records
from ferry_proxy.tests import departure_lab
from ferry_proxy.tests import fakes

REPLICA = _members.Role.REPLICA
KEY = _records.group_key(_records.VOTER_PREFIX, 0, departure_lab.SERVICE)
ALL = ["a@1000", "b@1000", "c@1000"]


def member(name, revision=decisions.UNREAD_REVISION):
    return _members.Member(
        name, "orders", "10.0.0.1", 1, "x", 5, born=7, revision=revision
    )


def recorded(fleet, era=0):
    """Returns the keys of the recorded voters; None without a record."""
    key = _records.group_key(_records.VOTER_PREFIX, era, departure_lab.SERVICE)
    item = fleet.store.items.get(key)
    if item is None or item.value is None:
        return None
    voters = _voter_records.decode(departure_lab.SERVICE, item.value)
    return [_departures.key_of(v) for v in voters]


def fleet_with_record(*names):
    fleet = departure_lab.Fleet(*names)
    next(iter(fleet.nodes.values())).group.voters.require_record()
    fleet.run(1.0)
    return fleet


def test_a_group_without_commits_needs_no_record():
    fleet = departure_lab.Fleet("n1", "n2")
    fleet.run(10.0)
    assert recorded(fleet) is None


def test_a_record_is_written_once_it_is_needed():
    fleet = fleet_with_record("n1", "n2")
    assert recorded(fleet) == ALL
    assert {n.group.voters.keys for n in fleet.nodes.values()} == {
        frozenset(ALL)
    }


def test_a_member_that_joins_becomes_a_voter():
    fleet = fleet_with_record("n1", "n2")
    joined = fakes.FakeMember("d", fleet.cluster, REPLICA)
    fleet.cluster.members["d"] = joined
    fleet.enlist("d")
    fleet.run(3.0)
    assert recorded(fleet) == [*ALL, "d@1000"]


def test_a_departed_member_stays_a_voter_until_it_is_covered():
    fleet = fleet_with_record("n1", "n2")
    fleet.cluster.members["c"].isolated = True
    fleet.commit("held by a and b")
    fleet.cluster.crash("b")
    fleet.delist("b")
    fleet.run(8.0)
    assert recorded(fleet) == ALL
    fleet.catch_up()
    fleet.run(6.0)
    assert recorded(fleet) == ["a@1000", "c@1000"]


@pytest.mark.parametrize("wait_s", [0.02, 0.3, 0.8])
def test_nodes_that_all_restart_before_a_departure_is_recorded(wait_s):
    """Nobody remembers the member that alone held a commit beside `a`."""
    fleet = fleet_with_record("n1", "n2")
    fleet.cluster.members["c"].isolated = True
    fleet.commit("held by a and b")
    fleet.cluster.crash("b")
    fleet.delist("b")
    fleet.run(wait_s)
    fleet.restart("n1", "n2")
    fleet.run(0.5)
    fleet.cluster.crash("a")
    fleet.run(8.0)
    assert fleet.cluster.promotions == []


def test_an_empty_replica_is_promoted_by_no_node_that_has_restarted():
    """It receives nothing yet, which looks like a stall of the primary."""
    fleet = fleet_with_record("n1", "n2")
    fleet.commit("held by all")
    joined = fakes.FakeMember("d", fleet.cluster, REPLICA, isolated=True)
    fleet.cluster.members["d"] = joined
    for name in "bc":
        fleet.cluster.crash(name)
        fleet.delist(name)
    fleet.enlist("d")
    fleet.restart("n1", "n2")
    fleet.primary.log.append((1, "stalled"))
    fleet.run(8.0)
    assert fleet.cluster.promotions == []


def test_a_voter_that_is_listed_again_is_not_removed():
    """A node that has not seen the listing takes it for covered."""
    fleet = fleet_with_record("n1")
    node = fleet.nodes["n1"]
    fleet.cluster.crash("b")
    fleet.delist("b")
    fleet.run(0.2)
    node.follower.stop()
    fleet.cluster.restart("b")
    fleet.cluster.members["b"].born = 1_000
    fleet.enlist("b")
    fleet.run(10.0)
    assert recorded(fleet) == ALL


def test_voters_outlive_a_restore_of_the_store():
    fleet = fleet_with_record("n1", "n2")
    copy = fleet.store.copy()
    fleet.store.restore(copy)
    fleet.run(8.0)
    assert (recorded(fleet, 0), recorded(fleet, 1)) == (None, ALL)
    assert all(n.group.voters.keys for n in fleet.nodes.values())


def test_a_record_is_decoded_as_it_was_encoded():
    voters = (member("b", fakes.at(7, 1)), member("c"))
    found = _voter_records.decode("orders", _voter_records.encode(voters))
    assert found == voters
    assert [m.revision for m in found] == [m.revision for m in voters]


ROW = json.loads(_voter_records.encode([member("b", fakes.at(7))]))["voters"][0]


@pytest.mark.parametrize(
    "rows",
    [
        None,
        "rows",
        [None],
        [ROW, ROW],
        [{**ROW, "id": f"m{n}"} for n in range(_voter_records.MAX_VOTERS + 1)],
        [{**ROW, "id": ""}],
        [{**ROW, "port": True}],
        [{**ROW, "revision": None}],
        [{**ROW, "revision": [0, -1]}],
        [{**ROW, "revision": [0, 1, 2]}],
        [{**ROW, "revision": ["x", 1]}],
    ],
)
def test_malformed_records(rows):
    value = json.dumps({"voters": rows}).encode()
    with pytest.raises(_records.InvalidItemError):
        _voter_records.decode("orders", value)


@pytest.mark.parametrize(
    ("recorded_names", "present", "covered", "expected"),
    [
        ("", "abc", "", "abc"),
        ("abc", "abc", "", "abc"),
        ("abc", "abd", "", "abcd"),
        ("abcd", "abd", "c", "abd"),
        ("abc", "abc", "c", "abc"),
    ],
)
def test_the_next_voters(recorded_names, present, covered, expected):
    found = _voter_records.next_voters(
        [member(n) for n in recorded_names],
        [member(n) for n in present],
        lambda m: m.id in covered,
    )
    assert "".join(m.id for m in found) == expected


def test_a_member_that_restarts_is_soon_a_voter_again():
    """Its former process is still recorded under the same id."""
    fleet = fleet_with_record("n1", "n2")
    fleet.cluster.restart("b")
    fleet.enlist("b")
    fleet.run(4.0)
    assert recorded(fleet) == ["a@1000", "c@1000", "b@2000"]


def test_a_member_is_recorded_soon_after_the_store_takes_writes_again():
    """Commits that only it receives are not told before."""
    fleet = fleet_with_record("n1", "n2")
    fleet.cluster.members["d"] = fakes.FakeMember("d", fleet.cluster, REPLICA)
    fleet.enlist("d")
    fleet.store.writes_to_delay = 1_000
    fleet.run(20.0)
    assert recorded(fleet) == ALL
    fleet.store.writes_to_delay = 0
    fleet.run(4.5)
    assert recorded(fleet) == [*ALL, "d@1000"]


@pytest.mark.parametrize("value", [b"x", b"{}", b'{"voters": [1]}'])
def test_a_malformed_record_is_replaced_and_hides_no_voter(value):
    fleet = fleet_with_record("n1", "n2")
    fleet.store.put(KEY, value)
    fleet.run(3.0)
    assert recorded(fleet) == ALL
    assert {n.group.voters.keys for n in fleet.nodes.values()} == {
        frozenset(ALL)
    }
