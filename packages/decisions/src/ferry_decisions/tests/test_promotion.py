"""The claim, the fence and the choice, over faults of the store."""

import ferry_standins as standins
import pytest

import ferry_decisions as decisions
from ferry_decisions import _promotion


@pytest.fixture
def lab():
    found = standins.Lab(standins.LabPlan(), 1)
    found.timers.advance(1.0)
    return found


def attempt(lab, claim_id="claim", store=None, known=None, avoid=frozenset()):
    centre = lab.plan.centres[1]
    node = lab.node_in(centre)
    promotion = _promotion.Promotion(
        lab.timers,
        store or node.store,
        standins.VirtualDriver(lab.links(centre)),
        lab.database,
        "node",
        claim_id,
        avoid,
    )
    return decisions.start(promotion.run(known or node.record))


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_lost_answers_are_read_back(lab, lost):
    lab.store.replies_to_drop = lost
    fut = attempt(lab)
    lab.timers.advance(6.0)
    assert fut.result().term == 2
    assert lab.primary().replica.term == 2


def test_second_claimant_loses(lab):
    known = lab.node_in("hall-a").record
    one = attempt(lab, "one", known=known)
    two = attempt(lab, "two", known=known)
    lab.timers.advance(5.0)
    failures = [f.exception() for f in (one, two)]
    assert sum(exc is None for exc in failures) == 1
    lost = next(exc for exc in failures if exc is not None)
    assert isinstance(lost, _promotion.ClaimLostError)
    assert lost.record.term == 2


def test_store_that_is_down_is_a_typed_failure_and_fences_nobody(lab):
    lab.store.down = True
    fut = attempt(lab)
    lab.timers.advance(8.0)
    assert isinstance(
        fut.exception(),
        decisions.StoreUnavailableError | decisions.TimeoutExpiredError,
    )
    assert {m.replica.promised for m in lab.members.values()} == {1}


def test_no_majority_is_a_group_of_failures(lab):
    for name in list(lab.members)[:2]:
        lab.crash(name)
    fut = attempt(lab)
    lab.timers.advance(3.0)
    exc = fut.exception()
    assert isinstance(exc, _promotion.NoMajorityError)
    assert len(exc.exceptions) == 2


def test_open_claim_is_superseded(lab):
    known = lab.node_in("hall-a").record
    claim = decisions.Record(
        known.database, 2, "", "gone", "gone-1", known.starts
    )
    entry = lab.store.entries[decisions.record_key(known.database)]
    lab.node_in("hall-b").store.put_if(
        entry.key, _promotion.encode_record(claim), entry.revision
    )
    lab.timers.advance(0.1)
    fut = attempt(lab, known=claim)
    lab.timers.advance(3.0)
    assert fut.result().term == 3


def test_avoided_member_does_not_lead(lab):
    avoid = frozenset({lab.primary().name})
    fut = attempt(lab, avoid=avoid)
    lab.timers.advance(3.0)
    assert fut.result().primary not in avoid


def test_member_promises_a_term_to_one_claim_only(lab):
    member = next(iter(lab.members.values())).replica
    member.fence(9, "one")
    member.fence(9, "one")
    for term, claim in ((9, "two"), (8, "one")):
        with pytest.raises(standins.RefusedError):
            member.fence(term, claim)
