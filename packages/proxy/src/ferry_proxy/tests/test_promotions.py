"""Changes of primary: the decisions by table, then complete changes."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _fencing
from ferry_proxy import _freshness
from ferry_proxy import _members
from ferry_proxy import _opinion_messages
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _reachability
from ferry_proxy import _records
from ferry_proxy import _surveys
from ferry_proxy.tests import fakes

POLICY = _policy.Policy()
CAUSE = _fencing.Cause
PRIMARY = _members.Role.PRIMARY
REPLICA = _members.Role.REPLICA
ANY_REPLICA = _freshness.Quorum(1)


def evidence(**changes):
    fields = {
        "has_leader": True,
        "silence_s": 0.0,
        "unanswered_s": 0.0,
        "refused_s": 0.0,
        "stalled_s": 0.0,
        "leaderless_s": 0.0,
        "is_draining": False,
        "successors": 2,
    }
    return _fencing.Evidence(**{**fields, **changes})


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"silence_s": 0.7}, None),
        ({"silence_s": 0.9}, CAUSE.SILENT),
        ({"silence_s": 0.4, "unanswered_s": 0.4}, None),
        ({"silence_s": 0.5, "unanswered_s": 0.5}, CAUSE.SILENT),
        ({"refused_s": 0.3}, CAUSE.REFUSED),
        ({"stalled_s": 0.9}, CAUSE.STALLED),
        ({"is_draining": True}, CAUSE.LEAVING),
        ({"is_draining": True, "successors": 0}, None),
        ({"silence_s": 9.0, "successors": 0}, None),
        ({"has_leader": False, "leaderless_s": 0.2}, None),
        ({"has_leader": False, "leaderless_s": 1.3}, CAUSE.MISSING),
    ],
)
def test_cause_of_change(changes, expected):
    assert _fencing.cause_of_change(evidence(**changes), POLICY) is expected


@pytest.mark.parametrize(
    ("cause", "heard", "expected"),
    [
        (CAUSE.SILENT, [], False),
        (CAUSE.SILENT, [-1.0, 5.0], False),
        (CAUSE.SILENT, [5.0, 0.1], True),
        (CAUSE.REFUSED, [0.1], True),
        (CAUSE.SILENT, [(0.4, 0.3)], False),
        (CAUSE.SILENT, [(0.4, 0.1)], True),
        (CAUSE.STALLED, [0.1], False),
        (CAUSE.LEAVING, [0.1], False),
    ],
)
def test_veto_of_peers(cause, heard, expected):
    pairs = [h if isinstance(h, tuple) else (h, 0.0) for h in heard]
    opinions = [_opinion_messages.OpinionReply(*pair) for pair in pairs]
    assert _fencing.is_vetoed(cause, opinions, POLICY) is expected


@pytest.mark.parametrize(
    ("replicas", "unsure", "sync", "expected"),
    [
        (2, 0, 1, 2),
        (2, 1, 1, 3),
        (1, 0, 1, 1),
        (4, 0, 2, 3),
        (2, 0, 0, 2),
        (3, 0, 3, 1),
    ],
)
def test_fence_meets_every_acknowledgement(replicas, unsure, sync, expected):
    needed = _fencing.fence_needed(replicas, unsure, sync)
    assert needed == expected
    proof = _freshness.proof_size(replicas, sync)
    assert needed + proof > replicas + unsure or unsure


@pytest.mark.parametrize(
    ("received", "draining", "expected"),
    [
        ({"b": (1, 5), "c": (1, 7)}, set(), "c"),
        ({"b": (2, 1), "c": (1, 7)}, set(), "b"),
        ({"b": (1, 5), "c": (1, 5)}, {"c"}, "b"),
        ({"b": (1, 5), "c": (1, 6)}, {"c"}, "c"),
    ],
)
def test_successor_holds_most(received, draining, expected):
    lab = fakes.Lab()
    members = {}
    reports = {}
    for name, (term, index) in received.items():
        lab.cluster.members[name].draining = name in draining
        members[name] = lab.cluster.members[name].entry()
        position = decisions.Position(term, index)
        reports[name] = _members.Report(REPLICA, 1, position, 2, 0.0)
    assert _fencing.choose_successor(reports, members) == expected


def report(role, index, asked_at, paused=0, term=1):
    position = decisions.Position(term, index)
    return _members.Report(role, term, position, paused, asked_at)


@pytest.mark.parametrize(
    ("replica", "expected"),
    [
        (report(REPLICA, 5, 10.0), decisions.Position(1, 7)),
        (report(REPLICA, 5, 10.0, paused=2), None),
        (report(REPLICA, 5, 10.0, term=2), None),
        (report(REPLICA, 5, 10.0, term=0), decisions.Position(1, 7)),
        (report(REPLICA, 5, 10.0, term=0, paused=1), decisions.Position(1, 7)),
        (report(REPLICA, 5, 10.0, term=0, paused=2), None),
        (report(PRIMARY, 5, 10.0), None),
        (None, None),
    ],
)
def test_a_floor_needs_the_primary_and_an_unpaused_replica(replica, expected):
    leader = _members.Leader("a", 1)
    reports = {"a": report(PRIMARY, 7, 11.0)}
    if replica is not None:
        reports["b"] = replica
    sample = _freshness.sample_of(leader, reports, ANY_REPLICA)
    assert (sample.floor if sample else None) == expected
    if sample is not None:
        assert sample.at == 10.0


def test_no_floor_from_replicas_alone():
    """A floor also needs the primary's report.

    In the runs scale-1 and scale-2, a member list that lacked a replica was
    taken for complete.
    """
    leader = _members.Leader("a", 1)
    reports = {"b": report(REPLICA, 5, 10.0)}
    assert _freshness.sample_of(leader, reports, ANY_REPLICA) is None


def test_floors_are_the_oldest_that_cover():
    floors = _freshness.Floors()
    for at in (1.0, 2.0, 3.0):
        floor = decisions.Position(1, int(at))
        floors.add(_freshness.Sample(at, floor), 1)
    assert floors.covering(1.5) == decisions.Position(1, 2)
    assert floors.covering(3.5) is None
    floors.add(_freshness.Sample(4.0, decisions.Position(1, 2)), 2)
    assert floors.covering(0.0) == decisions.Position(1, 2)


def test_stall_is_seen_only_while_no_replica_receives():
    leader = _members.Leader("a", 1)
    watch = _fencing.StallDetector()
    for at, end in [(0.0, 7), (0.5, 8)]:
        primary, replica = report(PRIMARY, end, at), report(REPLICA, 5, at)
        watch.observe(leader, primary, [replica], at)
    assert watch.stalled_s == pytest.approx(0.5)
    primary, replica = report(PRIMARY, 9, 1.0), report(REPLICA, 5, 1.0)
    watch.observe(leader, primary, [replica], 1.0)
    assert watch.stalled_s == pytest.approx(1.0)
    primary, replica = report(PRIMARY, 9, 1.5), report(REPLICA, 7, 1.5)
    watch.observe(leader, primary, [replica], 1.5)
    assert watch.stalled_s == 0.0


def test_a_stall_of_the_primary_before_replaces_nobody():
    leader = _members.Leader("a", 1)
    watch = _fencing.StallDetector()
    for at in (0.0, 1.0):
        primary, replica = report(PRIMARY, 7, at), report(REPLICA, 5, at)
        watch.observe(leader, primary, [replica], at)
    assert watch.stalled_s == pytest.approx(1.0)
    successor = report(PRIMARY, 5, 1.1, term=2)
    watch.observe(_members.Leader("b", 2), successor, [], 1.1)
    assert watch.stalled_s == 0.0
    replica = report(REPLICA, 5, 1.2, term=2)
    watch.observe(_members.Leader("b", 2), successor, [replica], 1.2)
    assert watch.stalled_s == 0.0


def write(lab, name):
    return lab.do(lab.session(), fakes.statement("WRITE x 1", name))


@pytest.mark.parametrize(
    ("trouble", "longest_s"),
    [("crash", 1.5), ("dark", 2.2), ("isolated", 2.6), ("draining", 1.2)],
)
def test_a_primary_is_replaced_and_nothing_lost(trouble, longest_s):
    lab = fakes.Lab()
    lab.add_promoter()
    for number in range(5):
        write(lab, f"w{number}")
    old = lab.cluster.members["a"]
    if trouble == "crash":
        lab.cluster.crash("a")
    elif trouble == "draining":
        old.draining = True
        lab.group.set_members(lab.cluster.entries(), lab.limit)
    else:
        setattr(old, trouble, True)
    if trouble == "isolated":
        lab.session().run(fakes.statement("WRITE x 1", "unacknowledged"))
    started_at = lab.clock.now()
    while lab.group.leader is None or lab.group.leader.member == "a":
        lab.run(0.02)
        assert lab.clock.now() - started_at < longest_s
    assert lab.group.leader.term == 2
    assert write(lab, "after").reason is None
    assert lab.cluster.lost == []


def test_no_change_while_a_replica_is_out_of_reach():
    lab = fakes.Lab()
    lab.add_promoter()
    write(lab, "w")
    lab.cluster.members["a"].dark = True
    lab.cluster.members["c"].dark = True
    lab.run(5.0)
    assert lab.cluster.promotions == []
    assert lab.cluster.members["b"].paused_term == 0


def test_a_planned_change_stops_nothing_unless_all_can_be_reached():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.cluster.members["c"].dark = True
    lab.cluster.members["a"].draining = True
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    lab.run(3.0)
    assert lab.cluster.members["a"].role is PRIMARY
    assert write(lab, "still").reason is None


def test_no_change_without_the_store():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.store.down = True
    lab.cluster.crash("a")
    lab.run(3.0)
    assert lab.cluster.promotions == []
    lab.store.down = False
    lab.run(2.0)
    assert len(lab.cluster.promotions) == 1


def test_two_nodes_promote_once_and_tokens_grow():
    lab = fakes.Lab()
    lab.add_promoter("n1")
    lab.add_promoter("n2")
    for _ in range(2):
        assert lab.group.leader is not None
        name = lab.group.leader.member
        lab.cluster.crash(name)
        lab.run(4.0)
        lab.cluster.members[name].crashed = False
        lab.cluster.members[name].role = REPLICA
        lab.cluster.members[name].term = lab.group.term
        lab.run(1.0)
    tokens = [token for _, token in lab.cluster.promotions]
    assert tokens == sorted(set(tokens))
    assert len(tokens) == 2


def test_another_nodes_claim_is_waited_out():
    lab = fakes.Lab()
    claim = _records.Claim("n9", 7)
    lab.store.put("ferry/claims/orders", claim.encode())
    lab.catalogue.take(tuple(lab.store.items.values()), "store")
    lab.add_promoter()
    lab.cluster.crash("a")
    lab.run(POLICY.claim_takeover_s - 0.3)
    assert lab.cluster.promotions == []
    lab.run(1.5)
    assert [token for _, token in lab.cluster.promotions] == [8]


def test_a_claim_without_an_answer_is_not_acted_upon():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.store.replies_to_drop = 1
    lab.cluster.crash("a")
    lab.run(1.2)
    assert lab.cluster.promotions == []


def test_late_reports_of_an_earlier_term_depose_nobody():
    """A report requested before a promotion may arrive after it.

    Seen in the run trouble-2.
    """
    lab = fakes.Lab()
    lab.group.note_leader(_members.Leader("b", 2))
    lab.group._update_leader({"b": report(REPLICA, 3, 0.0, term=1)})
    assert lab.group.leader == _members.Leader("b", 2)


def test_one_late_replica_is_no_stall():
    """A stall requires that no replica receives the primary's commits.

    In the run trouble-2, the reports of one returning member were taken for
    those of the whole group.
    """
    lab = fakes.Lab()
    lab.add_promoter()
    lab.cluster.members["c"].isolated = True
    for number in range(20):
        write(lab, f"w{number}")
        lab.run(0.2)
    assert lab.cluster.promotions == []


@pytest.mark.parametrize("sync", [0, 1, 2])
def test_proofs_need_as_many_replicas_as_acknowledge(sync):
    lab = fakes.Lab()
    lab.group.service = _configuration.Service("orders", 33, sync)
    fut = lab.group.prove()
    lab.run(1.0)
    assert fut.exception() is None
    lab.cluster.members["b"].paused_term = 2
    fut = lab.group.prove()
    lab.run(1.0)
    assert (fut.exception() is None) == (sync < 2)


def test_replicas_stay_paused_while_an_order_may_still_be_executed(
    monkeypatch,
):
    """Replicas stay paused while a promotion order may still be executed.

    In the run trouble-3, such an order took long. Commits that the old primary
    acknowledges meanwhile would be missing at the successor.
    """
    monkeypatch.setattr(fakes, "PROMOTE_S", 5.0)
    lab = fakes.Lab()
    lab.add_promoter()
    write(lab, "before")
    old = lab.cluster.members["a"]
    old.dark = True
    while not lab.cluster.promotions:
        lab.run(0.05)
    old.dark = False
    successor, _ = lab.cluster.promotions[0]
    lab.cluster.members[successor].isolated = True
    for number in range(100):
        lab.session().run(fakes.statement("WRITE x 1", f"between{number}"))
        lab.run(0.05)
    lab.run(3.0)
    assert lab.cluster.lost == []


def test_promotions_that_take_long_are_waited_for(monkeypatch):
    """The wait for a promotion grows with each failed attempt.

    Here each order cancels the previous one. With a fixed wait, shorter than a
    promotion takes, no member ever led.
    """
    lab = fakes.Lab()
    lab.add_promoter()
    orders: list[decisions.Timer] = []

    def promote(service, member, holder, token):
        for order in orders:
            order.cancel()
        lab.cluster.promotions.append((member, token))
        fake = lab.cluster.members[member]
        orders.append(lab.clock.after(5.0, lambda: lab.cluster._lead(fake)))
        return decisions.completed(None)

    monkeypatch.setattr(lab.cluster, "promote", promote)
    write(lab, "before")
    lab.cluster.crash("a")
    lab.run(16.0)
    assert write(lab, "after").reason is None
    assert lab.cluster.lost == []


def test_a_primary_that_was_not_heard_of_is_followed():
    lab = fakes.Lab()
    lab.add_promoter()
    lab.cluster._lead(lab.cluster.members["b"])
    lab.cluster.members["a"].dark = True
    lab.run(3.0)
    assert lab.group.leader == _members.Leader("b", 2)
    assert lab.cluster.promotions == []


def test_members_that_are_still_being_listed_are_not_promoted():
    lab = fakes.Lab()
    for member in lab.cluster.members.values():
        member.role = REPLICA
    lab.group.leader = None
    lab.add_promoter()
    for _ in range(4):
        lab.group.set_members({}, 4)
        lab.run(0.3)
        lab.group.set_members(lab.cluster.entries(), 4)
        lab.run(0.6)
    assert lab.cluster.promotions == []


@pytest.mark.parametrize(
    ("dark", "peer_hears", "expected"),
    [(False, False, False), (True, False, False), (True, True, True)],
)
def test_a_node_that_alone_lost_the_primary_is_bypassed(
    dark, peer_hears, expected
):
    """Callers of a node that alone lost the primary need another node.

    Seen in the run scale-1.
    """
    lab = fakes.Lab()
    lab.cluster.members["a"].dark = dark
    for _ in range(30):
        lab.run(0.1)
        if peer_hears:
            lab.group.pools["a"].contact.reported = lab.clock.now()
    assert (
        _reachability.others_reach_primary(lab.group, POLICY.isolated_s)
        is expected
    )


def test_a_primary_that_others_chose_and_this_node_cannot_reach():
    lab = fakes.Lab()
    for name in "abc":
        lab.cluster.members[name].dark = True
    lab.run(2.0)
    assert not _reachability.others_reach_primary(lab.group, POLICY.isolated_s)
    lab.cluster.members["b"].role = PRIMARY
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    lab.run(1.5)
    assert _reachability.others_reach_primary(lab.group, POLICY.isolated_s)


@pytest.mark.parametrize(
    ("dark", "expected"),
    [("", False), ("b", False), ("a", False), ("bc", True)],
)
def test_a_node_with_the_primary_but_no_replica_is_severed(dark, expected):
    """A node that reaches the primary alone is on its side of a partition.

    In the incident inc-1442, half of the nodes were cut off together with the
    primary.
    """
    lab = fakes.Lab()
    for name in dark:
        lab.cluster.members[name].dark = True
    lab.run(3.0)
    assert (
        _reachability.reaches_primary_only(lab.group, POLICY.isolated_s)
        is expected
    )


def test_a_node_asks_itself_until_its_trouble_is_over():
    """A node with failed contact asks the members itself until one answers.

    In the run scale-1, a node that relied on the surveyor alone stayed unready
    for 30 s after a partition had healed.
    """
    lab = fakes.Lab()
    lab.cluster.members["a"].dark = True
    lab.run(2.0)
    assert lab.group.has_failed_contact
    lab.cluster.members["a"].dark = False
    lab.stop_probing()
    surveys = _surveys.Surveys(lab.clock, "n1", FakePeer(lab), 0.4)
    for _ in range(3):
        surveys.survey(lab.group)
        lab.run(POLICY.probe_s)
    assert not lab.group.has_failed_contact


class FakePeer:
    """A mesh with one peer, which is always the surveyor."""

    def __init__(self, lab):
        self.peer = ""
        self.silence_s = 0.0
        self.streams: list[_peers.Peer] = [self]
        self.clock = lab.clock
        score = decisions.rendezvous_score("orders", "n1")
        names = (f"n{number}" for number in range(2, 1000))
        self.peer = next(
            n for n in names if decisions.rendezvous_score("orders", n) < score
        )

    def tell(self, body):
        raise AssertionError(body)

    def call(self, body):
        return decisions.completed(
            _peer_messages.SurveyReply("a", 1, 1, 0, 0.0, 0.0)
        )


@pytest.mark.parametrize("text", ["WRITE x 1", "COMMIT"])
def test_a_replica_that_joins_after_the_fence_confirms_nothing(text):
    """A replica that joins after the fence does not confirm commits.

    In the run rough-22, a primary that was cut off got a new replica during a
    change of primary.
    """
    lab = fakes.Lab()
    session = lab.session()
    if text == "COMMIT":
        lab.do(session, fakes.statement("BEGIN"))
        lab.do(session, fakes.statement("WRITE x 1"))
    for name in "bc":
        lab.cluster.members[name].paused_term = 2
        lab.cluster.members[name].dark = True
    joined = fakes.FakeMember("d", lab.cluster, REPLICA)
    joined.log = list(lab.cluster.members["a"].log)
    lab.run(1.0)
    lab.cluster.members["d"] = joined
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    answer = lab.do(session, fakes.statement(text))
    assert answer.reason is decisions.NOT_CONFIRMED


@pytest.mark.parametrize(
    ("replicas", "sync", "expected"),
    [
        (1, 1, 1),
        (2, 1, 1),
        (3, 1, 2),
        (4, 1, 3),
        (2, 0, 1),
        (2, 2, 2),
        (0, 0, 1),
    ],
)
def test_proof_needs_all_replicas_but_one(replicas, sync, expected):
    assert _freshness.proof_size(replicas, sync) == expected


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize(
    ("state", "promoted"),
    [("alive", True), ("crashed", True), ("dark", None)],
)
def test_a_member_that_is_listed_no_more_is_paused_too(
    draining, state, promoted
):
    lab = fakes.Lab()
    lab.add_promoter()
    gone = lab.cluster.members["c"]
    gone.draining = draining
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    listed = lab.cluster.entries()
    del listed["c"]
    lab.group.set_members(listed, lab.limit)
    if state != "alive":
        setattr(gone, state, True)
    lab.cluster.crash("a")
    lab.run(2.0)
    expected = draining if promoted is None else promoted
    assert bool(lab.cluster.promotions) is expected
    if state == "alive":
        assert gone.paused_term == 2 or gone.term == 2


def test_commits_are_proved_while_members_are_replaced():
    """Commits still need proof while several members are being replaced.

    In the run rough-48, the second replacement joined behind a partition.
    """
    lab = fakes.Lab()
    lab.cluster.members["b"].draining = True
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    assert lab.group.is_membership_changing
    write(lab, "calm")
    for name in "bc":
        lab.cluster.members[name].paused_term = 2
    joined = fakes.FakeMember("d", lab.cluster, REPLICA)
    joined.log = list(lab.cluster.members["a"].log)
    lab.cluster.members["d"] = joined
    assert write(lab, "w").reason is decisions.NOT_CONFIRMED
