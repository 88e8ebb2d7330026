"""Claims to change a primary after the store was restored from a backup.

The backup lacks the claims of the last seconds. Guards against three failures:
the next holder received a fencing token that members had already seen from
another holder; it acted while the holder of a lost claim was still acting; and
a delayed write could take effect because its revision number was used again.
"""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _acknowledgements
from ferry_proxy import _change_steps
from ferry_proxy import _claims
from ferry_proxy import _fences
from ferry_proxy import _fencing
from ferry_proxy import _followers
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _store
from ferry_proxy.tests import fakes

POLICY = _policy.Policy()
REPLICA = _members.Role.REPLICA

# This exceeds the time that a node waits for the holder of an older claim.
SETTLE_S = 20.0


class NoPeers:
    """A node without peers, which learns of the store only by itself."""

    streams: list[_followers.PeerInfo] = []


class Lab(fakes.Lab):
    """A group whose promoters follow the store."""

    def __init__(self, **policy) -> None:
        super().__init__(**policy)
        self.store.put("settled", b"x")
        own = _records.NodeEntry("n1", "h", 1)
        self.follower = _followers.Follower(
            self.clock,
            self.store,
            self.catalogue,
            own,
            NoPeers(),
            self.policy,
        )
        self.follower.start()
        self.run(0.5)

    def replace_leader(self, wait_s: float = 5.0) -> None:
        """Crashes the primary, waits, and restarts it as a replica."""
        assert self.group.leader is not None
        member = self.cluster.members[self.group.leader.member]
        self.cluster.crash(member.id)
        self.run(wait_s)
        member.crashed = False
        member.role = REPLICA
        member.term = self.group.term
        self.run(1.0)

    @property
    def tokens(self) -> list[int]:
        return [token for _, token in self.cluster.promotions]

    def claims(self, node: str = "n1") -> _claims.Claims:
        return _claims.Claims(
            self.clock,
            self.policy,
            node,
            self.store,
            self.catalogue,
            self.group,
        )

    def take(self, node: str = "n1") -> _records.HeldClaim:
        """Takes a claim; raises the error that this fails with."""
        fut = decisions.start(self.claims(node).take())
        self.run(0.1)
        return fut.result()


def test_tokens_grow_over_restores():
    lab = Lab()
    lab.add_promoter()
    copy = lab.store.copy()
    for _ in range(3):
        lab.replace_leader()
        lab.store.restore(copy)
        lab.run(SETTLE_S)
    assert len(lab.tokens) == 3
    assert lab.tokens == sorted(set(lab.tokens))


def test_a_node_that_knows_only_the_copy_gives_no_token_again():
    lab = Lab()
    copy = lab.store.copy()
    first = [lab.take().claim.token for _ in range(3)]
    lab.store.restore(copy)
    fresh = Lab()
    fresh.store = lab.store
    fresh.store.clock = fresh.clock
    fresh.follower._store = lab.store
    fresh.follower._needs_snapshot = True
    fresh.run(SETTLE_S)
    assert fresh.take("n2").claim.token > max(first)


def test_the_holder_of_a_claim_that_was_lost_is_waited_out():
    lab = Lab()
    copy = lab.store.copy()
    lab.take("n1")
    lab.store.restore(copy)
    lab.run(0.3)
    with pytest.raises(_change_steps.ChangeAbandonedError):
        lab.take("n2")
    lab.run(POLICY.claim_takeover_s)
    assert lab.take("n2").claim.holder == "n2"


def test_a_holder_that_hears_of_the_restore_acts_no_more():
    lab = Lab()
    copy = lab.store.copy()
    held = lab.take()
    claims = lab.claims()
    assert claims.is_valid(held)
    lab.store.restore(copy)
    lab.run(POLICY.claim_valid_s / 2)
    assert not claims.is_valid(held)


def test_a_write_sent_before_the_restore_takes_no_later_claim_away():
    """The condition's revision number is the later claim's number as well."""
    lab = Lab()
    copy = lab.store.copy()
    first = lab.take("n1")
    lab.store.writes_to_delay = 1
    with pytest.raises(_store.StoreUnavailableError):
        lab.take("n1")
    lab.store.restore(copy)
    lab.run(SETTLE_S)
    held = lab.take("n2")
    assert held.revision.number == first.revision.number
    lab.store.run_delayed_writes()
    lab.run(5.0)
    known = lab.catalogue.claims["orders"].claim
    assert (known.holder, known.token) == ("n2", held.claim.token)


def test_a_list_of_members_of_another_era_begins_no_change():
    """The backup may lack a replica that acknowledges despite the fence."""
    lab = Lab()
    fence = _fences.Fence(lab.clock, lab.store, lab.catalogue, lab.group)
    lab.store.restore(lab.store.copy())
    acks = _acknowledgements.Acknowledgements(
        _acknowledgements.NO_POSITION,
        _acknowledgements.NO_POSITION,
        since=0.0,
    )
    change = _fences.Change(_fencing.Cause.REFUSED, 1, acks)
    raised = decisions.start(fence.raise_fence(change))
    lab.run(2.0)
    assert isinstance(raised.exception(), _change_steps.ChangeAbandonedError)
    paused = [m.paused_term for m in lab.cluster.members.values()]
    assert paused == [0, 0, 0]


@pytest.mark.parametrize("service", ["orders", "a/b", "7", "~3/x"])
@pytest.mark.parametrize("era", [0, 1, 12])
def test_keys_of_claims(era, service):
    key = _records.claim_key(era, service)
    parsed = _records.parse_group_key(_records.CLAIM_PREFIX, key)
    assert parsed == _records.GroupKey(era, service)


def test_claims_of_eras_that_are_over_are_removed():
    lab = Lab()
    for _ in range(3):
        lab.take()
        lab.store.restore(lab.store.copy())
        lab.run(SETTLE_S)
    lab.take()
    lab.run(1.0)
    prefix = _records.CLAIM_PREFIX
    kept = [k for k, i in lab.store.items.items() if i.value is not None]
    assert sum(k.startswith(prefix) for k in kept) == 1
