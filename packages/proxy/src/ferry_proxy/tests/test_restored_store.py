"""A store that comes back from an older copy, as nodes see it in turn.

Nodes passed over what was written after the store had come back, since its
numbers were no higher than those that they knew; peers that knew the history
that is gone would have told it to those that did not.
"""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _policy
from ferry_proxy import _store
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_followers


def copy_with(*names: str, era: int, number: int) -> _catalogue.Catalogue:
    """Returns a copy of the store that holds members by these names."""
    made = _catalogue.Catalogue(
        decisions.VirtualTimers(), test_followers.LAYOUT, _policy.Policy()
    )
    revision = fakes.at(number, era)
    items = [_store.Item("members/" + n, b"orders", revision) for n in names]
    made.merge_snapshot(_store.Changes(tuple(items), revision), "test")
    return made


def test_a_node_that_copies_from_peers_follows_into_the_new_era():
    lab = test_followers.Lab()
    copy = lab.store.copy()
    for name in "bcd":
        lab.store.put("members/" + name, b"orders")
    lab.settle()
    lab.store.restore(copy)
    lab.store.put("members/e", b"orders")
    lab.clock.advance(lab.policy.watch_wait_s + 1.0)
    for node in (lab.reader, lab.other):
        assert node.copy.revision.era == 1
        assert "e" in node.copy.members
    lab.clock.advance(lab.policy.return_grace_s)
    for node in (lab.reader, lab.other):
        assert set(node.copy.members) == {"a", "e"}


def test_a_peer_that_knows_more_of_the_older_history_changes_nothing():
    old = copy_with("a", "b", "c", era=1, number=90)
    new = copy_with("a", era=2, number=50)
    new.merge_batch(old.batch_after(decisions.UNREAD_REVISION), "peer")
    assert set(new.members) == {"a"}
    assert new.revision == new.covered == fakes.at(50, era=2)


def test_a_node_of_the_older_history_gets_the_newer_one_whole():
    old = copy_with("a", "b", era=1, number=90)
    new = copy_with("a", "z", era=2, number=50)
    batch = new.batch_after(old.revision)
    assert batch.is_whole
    old.merge_batch(batch, "peer")
    assert "z" in old.members
    assert old.revision == fakes.at(50, era=2)


@pytest.mark.parametrize("number", [60, 91])
def test_changes_of_the_older_history_that_come_late_are_passed_over(number):
    new = copy_with("a", era=2, number=50)
    late = _store.Item("members/b", b"orders", fakes.at(number, era=1))
    new.merge_changes(_store.Changes((late,), late.revision), "store")
    new.take((late,), "own entry")
    assert set(new.members) == {"a"}
    assert new.revision == fakes.at(50, era=2)


def test_changes_of_an_era_that_is_not_read_yet_wait_for_it():
    old = copy_with("a", era=1, number=90)
    early = _store.Item("members/b", b"orders", fakes.at(51, era=2))
    old.take((early,), "own entry")
    assert set(old.members) == {"a"}
    assert old.revision == fakes.at(90, era=1)
