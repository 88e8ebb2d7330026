"""Sessions, transactions and single statements against a fake group."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _statements
from ferry_proxy.tests import fakes

STATES = _statements.TransactionState
CONSISTENCY = _configuration.Consistency


def reasons(lab, session, *texts):
    """Runs statements; returns the name of each one's failure."""
    answers = [lab.do(session, fakes.statement(t)) for t in texts]
    return [a.reason.name if a.reason else "" for a in answers]


@pytest.mark.parametrize("consistency", list(CONSISTENCY))
def test_reads_and_writes_carry_the_members_proof(consistency):
    lab = fakes.Lab(consistency)
    session = lab.session()
    wrote = lab.do(session, fakes.statement("WRITE x 1"))
    read = lab.do(session, fakes.statement("READ x"))
    assert wrote.proof == "proof-a"
    assert read.proof.startswith("proof-")
    assert read.rows == ("row",)
    assert read.state is STATES.IDLE


@pytest.mark.parametrize(
    ("consistency", "member"),
    [
        (CONSISTENCY.PRIMARY, "a"),
        (CONSISTENCY.BOUNDED, "b"),
        (CONSISTENCY.SESSION, "b"),
    ],
)
def test_replicas_take_the_reads_that_they_may(consistency, member):
    lab = fakes.Lab(consistency)
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.proof == "proof-" + member


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["COMMIT"], ["protocol_violation"]),
        (["BEGIN", "BEGIN"], ["", "protocol_violation"]),
        (["EXECUTE p x"], ["unknown_prepared"]),
        (["CLOSE p"], ["unknown_prepared"]),
        (["PREPARE p READ q", "EXECUTE p x", "CLOSE p"], ["", "", ""]),
        (["BEGIN", "WRITE x 1", "READ x", "COMMIT"], ["", "", "", ""]),
        (["BEGIN READ", "READ x", "READ y", "COMMIT"], ["", "", "", ""]),
        (["BEGIN", "WRITE x 1", "ROLLBACK", "READ x"], ["", "", "", ""]),
        (["BEGIN", "COMMIT"], ["", ""]),
        (["ROLLBACK"], [""]),
        (["BEGIN READ", "WRITE x 1", "READ x", "ROLLBACK"],
         ["", "not_primary", "in_failed_transaction", ""]),
        (["BEGIN READ", "WRITE x 1", "COMMIT"],
         ["", "not_primary", "transaction_lost"]),
    ],
)  # fmt: skip
def test_conversations(texts, expected):
    lab = fakes.Lab()
    session = lab.session()
    assert reasons(lab, session, *texts) == expected


def test_values_are_in_place_and_no_one_elses():
    lab = fakes.Lab(limit=1)
    one, two, plain = lab.session(), lab.session(), lab.session()
    lab.do(one, fakes.statement("SET tz UTC"))
    lab.do(two, fakes.statement("SET tz EST"))
    lab.do(two, fakes.statement("SET app desk"))
    seen = lab.cluster.seen_values
    for _ in range(3):
        lab.do(one, fakes.statement("WRITE x 1", "w1"))
        lab.do(two, fakes.statement("WRITE x 2", "w2"))
        lab.do(plain, fakes.statement("WRITE x 3", "w3"))
        assert seen["w1"] == {"tz": "UTC"}
        assert seen["w2"] == {"tz": "EST", "app": "desk"}
        assert seen["w3"] == {}


def test_prepared_names_of_two_callers_do_not_collide():
    lab = fakes.Lab(limit=1)
    one, two = lab.session(), lab.session()
    lab.do(one, fakes.statement("PREPARE s1 WRITE q-one"))
    lab.do(two, fakes.statement("PREPARE s1 WRITE q-two"))
    lab.do(one, fakes.statement("EXECUTE s1 x", "e1"))
    lab.do(two, fakes.statement("EXECUTE s1 x", "e2"))
    lab.do(one, fakes.statement("EXECUTE s1 x", "e3"))
    runs = dict(lab.cluster.members["a"].runs)
    assert (runs["e1"], runs["e2"], runs["e3"]) == ("q-one", "q-two", "q-one")


def test_a_transaction_takes_no_link_before_its_first_statement():
    lab = fakes.Lab()
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    lab.run(1.0)
    open_links = [
        link
        for link in lab.cluster.members["a"].links
        if link.state is STATES.OPEN
    ]
    assert open_links == []


def test_transactions_leave_a_link_for_single_statements():
    lab = fakes.Lab(limit=2)
    first, second, third = lab.session(), lab.session(), lab.session()
    assert reasons(lab, first, "BEGIN", "WRITE x 1") == ["", ""]
    assert reasons(lab, second, "BEGIN", "WRITE x 1")[1] == "overloaded"
    assert reasons(lab, third, "WRITE x 1") == [""]


def test_a_resting_transaction_is_ended_and_told():
    lab = fakes.Lab()
    session = lab.session()
    reasons(lab, session, "BEGIN", "WRITE x 1")
    lab.run(3.1)
    session.end_if_idle(lab.clock.now())
    lab.run(0.1)
    assert session.state is STATES.FAILED
    assert reasons(lab, session, "COMMIT") == ["transaction_lost"]
    assert lab.cluster.acknowledged == []


def test_a_caller_that_leaves_rolls_back():
    lab = fakes.Lab()
    session = lab.session()
    reasons(lab, session, "BEGIN", "WRITE x 1")
    session.close()
    lab.run(0.1)
    links = lab.cluster.members["a"].links
    assert all(link.state is STATES.IDLE for link in links)


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        (["BEGIN", "WRITE x 1", "!", "COMMIT"], "transaction_lost"),
        (["WRITE x 1 !"], "answer_lost"),
        (["BEGIN", "WRITE x 1", "COMMIT !"], "answer_lost"),
        (["BEGIN", "READ x", "COMMIT !"], "transaction_lost"),
        (["BEGIN", "READ x !"], "transaction_lost"),
    ],
)
def test_what_is_told_when_the_link_breaks(texts, expected):
    """`!` alone breaks the links; after a text, while it is under way."""
    lab = fakes.Lab()
    session = lab.session()
    told = []
    for text in texts:
        breaks = text.endswith("!")
        statement = text.removesuffix("!")
        fut = None
        if statement.strip():
            fut = session.run(fakes.statement(statement.strip()))
            lab.run(0.005 if breaks else 0.1)
        if breaks:
            for link in list(lab.cluster.members["a"].links):
                link.fail("reset")
            lab.run(1.5)
        if fut is not None:
            told.append(fut.result().reason)
    assert told[-1] is not None
    assert told[-1].name == expected


def test_a_write_without_an_answer_is_not_handed_over_again():
    lab = fakes.Lab()
    lab.cluster.members["a"].replies_to_drop = 1
    answer = lab.do(lab.session(), fakes.statement("WRITE x 1", "once"))
    assert answer.reason is decisions.ANSWER_LOST
    runs = [r for r in lab.cluster.members["a"].runs if r[0] == "once"]
    assert len(runs) == 1


def test_a_read_without_an_answer_is_asked_elsewhere():
    lab = fakes.Lab(CONSISTENCY.BOUNDED)
    lab.cluster.members["b"].replies_to_drop = 1
    begun = lab.clock.now()
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.reason is None
    assert lab.clock.now() - begun < lab.route.target_s


def test_a_busy_member_is_asked_again():
    lab = fakes.Lab()
    lab.cluster.members["a"].busy = 3
    answer = lab.do(lab.session(), fakes.statement("WRITE x 1"))
    assert answer.reason is None


def test_own_commits_are_in_the_floor_of_own_reads():
    lab = fakes.Lab()
    session = lab.session()
    wrote = lab.do(session, fakes.statement("WRITE x 1"))
    lab.do(session, fakes.statement("READ x", "mine"))
    floor = lab.cluster.seen_floors["mine"]
    assert floor is not None and floor >= wrote.position


def test_a_route_that_is_gone_is_refused_by_name():
    lab = fakes.Lab()
    session = lab.session()
    lab.configuration = _configuration.Configuration(2, {}, {}, 3.0, 1 << 20)
    assert reasons(lab, session, "READ x") == ["unknown_database"]


def test_an_open_transaction_keeps_the_route_it_began_under():
    lab = fakes.Lab()
    session = lab.session()
    reasons(lab, session, "BEGIN", "WRITE x 1")
    lab.configuration = _configuration.Configuration(2, {}, {}, 3.0, 1 << 20)
    assert reasons(lab, session, "COMMIT") == [""]


def test_without_proof_a_primary_read_is_refused_at_once():
    lab = fakes.Lab(CONSISTENCY.PRIMARY)
    lab.cluster.members["b"].paused_term = 2
    lab.cluster.members["c"].paused_term = 2
    begun = lab.clock.now()
    answer = lab.do(lab.session(), fakes.statement("READ x", "unproved"))
    assert answer.reason is decisions.NO_PRIMARY
    assert "unproved" not in dict(lab.cluster.members["a"].runs)
    assert lab.clock.now() - begun < lab.route.target_s


def test_a_transaction_that_finds_no_floor_does_not_hold_the_loop():
    lab = fakes.Lab(CONSISTENCY.BOUNDED)
    for name in "abc":
        lab.cluster.members[name].paused_term = 9
    lab.run(2.0)
    session = lab.session()
    lab.do(session, fakes.statement("BEGIN"))
    answer = lab.do(session, fakes.statement("READ x"))
    assert answer.reason is decisions.NO_PRIMARY


def test_members_that_are_all_behind_are_not_pestered():
    """Incident inc-1442: a read was asked 35 times in 0.4 s."""
    lab = fakes.Lab(CONSISTENCY.BOUNDED)
    lab.cluster.visible_position = decisions.Position(0, 0)
    lab.cluster.members["a"].log = [(1, "w")]
    lab.run(2.5)
    answer = lab.do(lab.session(), fakes.statement("READ x", "late"))
    assert answer.reason is decisions.BEHIND
    assert lab.cluster.behind_rejections <= 12


def test_a_silent_read_is_not_asked_at_a_member_that_leaves():
    """Day rough-42: a hedge went to a member that had left 7.8 s before."""
    lab = fakes.Lab(CONSISTENCY.BOUNDED)
    leaving = lab.cluster.members["c"]
    leaving.draining = True
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    for name in "ab":
        lab.cluster.members[name].replies_to_drop = 2
    lab.do(lab.session(), fakes.statement("READ x"))
    assert leaving.runs == []


@pytest.mark.parametrize(("text"), ["WRITE x 1", "READ x"])
def test_a_primary_that_has_long_been_leaving_gets_nothing_new(text):
    lab = fakes.Lab(CONSISTENCY.PRIMARY)
    lab.cluster.members["a"].draining = True
    lab.group.set_members(lab.cluster.entries(), lab.limit)
    assert reasons(lab, lab.session(), text) == [""]
    lab.run(7.0)
    assert reasons(lab, lab.session(), text) == ["no_primary"]
