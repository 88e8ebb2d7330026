"""Entries of members just after the store was restored from an older backup.

The backup holds what members wrote some seconds ago: it lists a member as ready
that has started to leave since, lacks one that has joined, and still has one
that is gone. Guards against a failure in which members that were leaving
received statements later than allowed, until they had written again.
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

# How soon a member writes its entry again.
ENTRY_S = 0.5


def decode(member: str, value: bytes) -> _members.Member:
    """Decodes an entry of the form `SEQUENCE STATE`."""
    sequence, _, state = value.decode().partition(" ")
    return attrs.evolve(
        MEMBER,
        id=member,
        draining=state == "draining",
        sequence=int(sequence),
    )


class Lab:
    """A node's copy of a store that can be restored from a backup."""

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
        """Reads a full snapshot of the store."""
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


def lab_with_leaving_member() -> Lab:
    """Returns a node that knows a member to be leaving, unlike the backup."""
    lab = Lab()
    lab.read()
    lab.write(KEY, "7 ready")
    copy = lab.store.copy()
    lab.write(OTHER, "2 ready")
    lab.write(KEY, "9 draining")
    lab.store.restore(copy)
    lab.read()
    return lab


def test_a_leaving_member_that_the_copy_lists_as_ready_is_still_leaving():
    lab = lab_with_leaving_member()
    assert lab.copy.revision == fakes.at(2, era=1)
    assert lab.drains
    lab.clock.advance(ENTRY_S)
    lab.write(KEY, "10 draining")
    lab.clock.advance(10.0)
    assert lab.drains


def test_a_member_that_wrote_ready_again_is_believed_at_once():
    lab = lab_with_leaving_member()
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
    lab = lab_with_leaving_member()
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


def test_a_second_restore_does_not_confirm_the_restored_entry():
    lab = lab_with_leaving_member()
    lab.store.restore(lab.store.copy())
    lab.read()
    assert lab.drains
    lab.clock.advance(ENTRY_S)
    lab.write(KEY, "10 draining")
    lab.clock.advance(10.0)
    assert lab.drains
