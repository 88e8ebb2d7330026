"""Entries of members while the store has just come back from an older copy.

The copy holds what members wrote some seconds ago: a member that has said since
that it leaves stands there as ready, one that joined is missing, and one that
went is back. Statements went to members that were leaving, later than allowed,
until these had written again.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _catalogue
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _store
from ferry_proxy.tests import fakes

MEMBER = _members.Member("i-1", "orders", "10.0.0.1", 80, "hall-a", 5)
KEY = "members/i-1"
OTHER = "members/i-2"
ENTRY_S = 0.5  # A member writes again so soon.


def decode(member: str, value: bytes) -> _members.Member:
    """Reads `SEQUENCE STATE`."""
    sequence, _, state = value.decode().partition(" ")
    return attrs.evolve(
        MEMBER,
        id=member,
        draining=state == "draining",
        sequence=int(sequence),
    )


class Lab:
    """A node's copy of a store that is restored."""

    def __init__(self) -> None:
        self.clock = decisions.VirtualTimers()
        self.policy = _policy.Policy()
        layout = _catalogue.Layout(
            "config", "members/", fakes._no_document, decode
        )
        self.copy = _catalogue.Catalogue(self.clock, layout, self.policy)
        self.store = fakes.FakeStore(self.clock)
        self.store.put(OTHER, b"1 ready")

    def read(self) -> None:
        """Reads the store whole."""
        items = tuple(i for i in self.store.items.values() if i.value)
        snapshot = _store.Changes(items, self.store.revision)
        self.copy.merge_snapshot(snapshot, "store")

    def write(self, key: str, text: str) -> None:
        self.store.put(key, text.encode())
        changes = _store.Changes((self.store.items[key],), self.store.revision)
        self.copy.merge_changes(changes, "store")

    @property
    def drains(self) -> bool:
        return self.copy.members["i-1"].draining


def leaving() -> Lab:
    """Returns a node that knows of a leaving member what the copy lacks."""
    lab = Lab()
    lab.read()
    lab.write(KEY, "7 ready")
    copy = lab.store.copy()
    lab.write(OTHER, "2 ready")
    lab.write(KEY, "9 draining")
    lab.store.restore(copy)
    lab.read()
    return lab


def test_a_leaving_member_that_the_copy_calls_ready_is_still_leaving():
    lab = leaving()
    assert lab.copy.revision == fakes.at(2, era=1)
    assert lab.drains
    lab.clock.advance(ENTRY_S)
    lab.write(KEY, "10 draining")
    lab.clock.advance(10.0)
    assert lab.drains


def test_a_member_that_wrote_ready_again_is_believed_at_once():
    lab = leaving()
    lab.write(KEY, "10 ready")
    assert not lab.drains


def test_a_notice_under_a_number_that_was_given_out_before_counts_at_once():
    lab = Lab()
    lab.read()
    copy = lab.store.copy()
    for sequence in (7, 8, 9):
        lab.write(KEY, f"{sequence} ready")
    lab.store.restore(copy)
    lab.store.put(KEY, b"10 draining")
    lab.read()
    assert lab.store.revision.number == 2
    assert lab.drains


def test_a_member_that_does_not_write_again_is_what_the_copy_says():
    lab = leaving()
    lab.clock.advance(lab.policy.return_grace_s + 0.1)
    assert not lab.drains


def test_a_member_that_joined_since_is_kept_until_it_had_time_to_write():
    lab = Lab()
    lab.read()
    copy = lab.store.copy()
    lab.write(KEY, "7 ready")
    lab.store.restore(copy)
    lab.read()
    lab.clock.advance(lab.policy.return_grace_s - 0.1)
    assert "i-1" in lab.copy.members
    lab.clock.advance(0.2)
    assert "i-1" not in lab.copy.members


def test_a_member_that_went_does_not_come_back_with_the_copy():
    lab = Lab()
    lab.read()
    lab.write(KEY, "7 ready")
    copy = lab.store.copy()
    lab.store.delete(KEY)
    gone = lab.store.items[KEY]
    lab.copy.merge_changes(_store.Changes((gone,), gone.revision), "store")
    lab.store.restore(copy)
    lab.read()
    assert "i-1" not in lab.copy.members
    lab.write(KEY, "8 ready")
    assert "i-1" in lab.copy.members


def test_a_second_restore_makes_the_copys_entry_no_truer():
    lab = leaving()
    lab.store.restore(lab.store.copy())
    lab.read()
    assert lab.drains
    lab.clock.advance(ENTRY_S)
    lab.write(KEY, "10 draining")
    lab.clock.advance(10.0)
    assert lab.drains
