"""Members that begin again under the id that they had."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _catalogue
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy.tests import fakes

POLICY = _policy.Policy()
MEMBER = _members.Member("i-1", "orders", "10.0.0.1", 80, "hall-a", 5)


def write(lab, name):
    return lab.do(lab.session(), fakes.statement("WRITE x 1", name))


def apply_entries(lab):
    lab.group.set_members(lab.cluster.entries(), lab.limit)


@pytest.mark.parametrize(
    ("known", "told", "expected"),
    [(0, 0, False), (0, 5, False), (5, 5, False), (5, 6, True), (6, 5, False)],
)
def test_next_life(known, told, expected):
    before = attrs.evolve(MEMBER, born=known)
    after = attrs.evolve(MEMBER, born=told)
    assert after.is_restart_of(before) is expected


class CatalogueLab:
    """A catalogue whose members' entries are `BORN` or `BORN draining`."""

    def __init__(self) -> None:
        self.clock = decisions.VirtualTimers()
        layout = _catalogue.Layout(
            "config", "members/", fakes._no_document, self._decode
        )
        self.policy = _policy.Policy()
        self.copy = _catalogue.Catalogue(self.clock, layout, self.policy)
        self.revision = 0

    def _decode(self, member: str, value: bytes) -> _members.Member:
        try:
            born, _, state = value.decode().partition(" ")
            return attrs.evolve(
                MEMBER, id=member, born=int(born), draining=bool(state)
            )
        except ValueError as exc:
            raise _records.InvalidItemError(str(exc)) from exc

    def write(self, text: str | None) -> None:
        self.revision += 1
        value = None if text is None else text.encode()
        item = _store.Item("members/i-1", value, fakes.at(self.revision))
        self.copy.take((item,), "test")


def test_an_earlier_lifes_entry_that_comes_late_changes_nothing():
    lab = CatalogueLab()
    lab.write("7")
    lab.write("5 draining")
    assert lab.copy.members["i-1"].born == 7
    assert not lab.copy.members["i-1"].draining
    assert lab.copy.refused == 1


def test_an_earlier_lifes_entry_does_not_bring_back_a_member_that_went():
    lab = CatalogueLab()
    lab.write("7")
    lab.write(None)
    lab.write("5")
    assert lab.copy.members == {}
    lab.write("8")
    assert lab.copy.members["i-1"].born == 8


@pytest.mark.parametrize("mended", [True, False])
def test_a_known_member_whose_entry_turns_unreadable_is_kept_for_a_while(
    mended,
):
    lab = CatalogueLab()
    lab.write("7")
    lab.write("not a number")
    lab.clock.advance(lab.policy.entry_lapse_s - 0.1)
    assert lab.copy.members["i-1"].born == 7
    if mended:
        lab.write("7")
    lab.clock.advance(0.2)
    assert ("i-1" in lab.copy.members) is mended


def test_an_unreadable_entry_of_an_unknown_member_names_nobody():
    lab = CatalogueLab()
    lab.write("not a number")
    lab.clock.advance(10.0)
    assert lab.copy.members == {}


def test_a_member_that_began_again_gets_its_session_state_anew():
    lab = fakes.Lab()
    session = lab.session()
    lab.do(session, fakes.statement("SET colour red"))
    lab.do(session, fakes.statement("PREPARE s READ shape"))
    lab.do(session, fakes.statement("EXECUTE s 1"))
    for name in "bc":
        lab.cluster.restart(name)
    apply_entries(lab)
    lab.run(0.5)
    last = fakes.statement("EXECUTE s 1", "last")
    assert lab.do(session, last).reason is None
    assert lab.cluster.seen_values["last"] == {"colour": "red"}


@pytest.mark.parametrize("name", ["a", "b"])
def test_nothing_of_an_ended_life_is_believed(name):
    lab = fakes.Lab()
    write(lab, "w")
    lab.run(1.0)
    old = lab.group.pools[name]
    lab.cluster.restart(name, keeps_log=False)
    apply_entries(lab)
    pool = lab.group.pools[name]
    assert pool is not old
    assert lab.group.last_report(name) is None
    assert (pool.reported.position, pool.contact.latency_s) == (None, 0.0)
    assert (lab.group.leader is None) is (name == "a")


def test_a_replica_that_began_again_unpaused_proves_nothing_alone():
    """Its earlier life was paused for a change that is under way."""
    lab = fakes.Lab()
    for name in "bc":
        lab.cluster.members[name].paused_term = 2
    lab.cluster.restart("b")
    apply_entries(lab)
    assert write(lab, "w").reason is decisions.NOT_CONFIRMED
    fut = lab.group.prove()
    lab.run(1.0)
    assert fut.exception() is not None


def test_an_empty_replica_is_not_promoted_over_one_that_holds_more():
    lab = fakes.Lab()
    lab.add_promoter()
    write(lab, "w")
    lab.cluster.restart("c", keeps_log=False)
    apply_entries(lab)
    lab.cluster.crash("a")
    lab.run(3.0)
    assert [member for member, _ in lab.cluster.promotions] == ["b"]
    assert lab.cluster.lost == []


def test_nobody_leads_where_only_the_primary_still_holds_a_commit():
    """The one replica that had received it came back empty."""
    lab = fakes.Lab()
    lab.add_promoter()
    lab.cluster.members["c"].isolated = True
    write(lab, "held by a and b")
    lab.run(1.0)
    lab.cluster.restart("b", keeps_log=False)
    apply_entries(lab)
    lab.cluster.crash("a")
    lab.run(4.0)
    assert lab.cluster.promotions == []
    lab.cluster.members["a"].crashed = False
    lab.cluster.members["c"].isolated = False
    lab.run(2.0)
    assert write(lab, "after").reason is None
    assert lab.cluster.lost == []


def test_a_paused_member_that_begins_again_ends_the_change():
    """It is paused no longer, and the old primary may use it."""
    lab = fakes.Lab()
    lab.add_promoter()
    write(lab, "w")
    lab.run(0.5)
    lab.cluster.crash("a")
    paused, late = lab.cluster.members["b"], lab.cluster.members["c"]
    while not paused.paused_term:
        lab.run(0.001)
    late.dark = True  # Its answer, and so the order, comes after a retry.
    lab.run(0.05)
    lab.cluster.restart("b")
    apply_entries(lab)
    late.dark = False
    lab.run(POLICY.probe_timeout_s + 0.05)
    assert lab.cluster.promotions == []
    lab.run(3.0)
    assert len(lab.cluster.promotions) == 1
    assert lab.cluster.lost == []
