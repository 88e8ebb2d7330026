"""The session state of pooled links, against a model of a member's session."""

import collections
import typing

import attrs
import ferry_decisions as decisions
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from ferry_proxy import _link_state
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _statements
from ferry_proxy.tests import fakes

STATES = _statements.TransactionState
OK = _links.Reply(STATES.IDLE, proof="proof")
REFUSED = _links.Reply(STATES.IDLE, reason=decisions.NOT_PRIMARY)
UNKNOWN = _links.Reply(STATES.IDLE, reason=decisions.UNKNOWN_PREPARED)
SHAPES = [_statements.Prepared(n % 2 == 0, f"q{n}") for n in range(5)]


@attrs.define(eq=False)
class Message:
    """A command on its way, or its reply.

    Attributes:
        command: The command.
        is_refused: Whether the member refuses it.
        fut: Completed with the reply.
        wanted: The values of the session, for a statement.
        prepared: What the statement executes; None for none.
    """

    command: _links.Command
    is_refused: bool
    fut: "decisions.Future[_links.Reply]"
    wanted: dict[str, str]
    prepared: _statements.Prepared | None


class SharedLink(stateful.RuleBasedStateMachine):
    """Sessions share a link to a member that refuses any of the commands."""

    def __init__(self):
        super().__init__()
        self.state = _link_state.LinkState()
        self.values = {}
        self.prepared = {}
        self.sent: collections.deque[Message] = collections.deque()
        self.answered: collections.deque[typing.Any] = collections.deque()

    @stateful.rule(
        values=st.dictionaries(st.sampled_from("abc"), st.sampled_from("12")),
        prepared=st.none() | st.sampled_from(SHAPES),
        refusals=st.lists(st.booleans(), min_size=6, max_size=6),
        refuses_rest=st.booleans(),
        max_prepared=st.sampled_from([1, 2, 256]),
    )
    def send_statement(
        self, values, prepared, refusals, refuses_rest, max_prepared
    ):
        limit, _link_state.MAX_PREPARED = _link_state.MAX_PREPARED, max_prepared
        try:
            alignment = self.state.align(values, prepared)
        finally:
            _link_state.MAX_PREPARED = limit
        text = "EXECUTE p x" if prepared else "READ x"
        statement = fakes.statement(text)
        run = _links.Run(statement, prepared_as=alignment.prepared_as)
        commands = [*alignment.commands, run]
        check = _link_state.Check(
            self.state, alignment, statement, prepared, False, "a"
        )
        futs: list[decisions.Future[_links.Reply]] = []
        is_refused = False
        for command, refused in zip(commands, refusals, strict=False):
            is_refused = refused or (refuses_rest and is_refused)
            futs.append(decisions.Future())
            self.sent.append(
                Message(command, is_refused, futs[-1], values, prepared)
            )
        checked = check.follow(futs[:-1], futs[-1])
        sent = self.sent[-1]
        checked.add_done_callback(lambda fut: self._check(fut.result(), sent))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule()
    def member_runs_the_next_command(self):
        message = self.sent.popleft()
        reply = REFUSED if message.is_refused else self._apply(message)
        ran_with = dict(self.values), dict(self.prepared)
        self.answered.append((message, reply, ran_with))

    def _apply(self, message):
        match message.command:
            case _links.Reset():
                self.values, self.prepared = {}, {}
            case _links.SetValue(name, value):
                self.values[name] = value
            case _links.Prepare(name, prepared):
                self.prepared[name] = prepared
            case _links.Run() if message.prepared is not None:
                if message.command.prepared_as not in self.prepared:
                    return UNKNOWN
        return OK

    @stateful.precondition(lambda self: self.answered)
    @stateful.rule()
    def the_next_reply_arrives(self):
        message, reply, self._ran_with = self.answered.popleft()
        message.fut.set_result(reply)

    def _check(self, reply, message):
        """A statement succeeds only if it ran with its session's state."""
        assert reply.reason is not decisions.UNKNOWN_PREPARED
        if reply.reason is None:
            values, prepared = self._ran_with
            assert values == message.wanted
            if message.prepared is not None:
                name = message.command.prepared_as
                assert prepared[name] == message.prepared

    @stateful.invariant()
    def what_is_noted_is_what_the_member_holds(self):
        held = self.state
        for name, value in held.values.items():
            assert self.values.get(name) == value
        assert self.values.keys() <= held.values.keys() | held.doubtful
        for prepared, name in held.prepared.items():
            assert self.prepared.get(name) == prepared


# Guards against notes of session state that the member does not have, for any
# sequence of replies.
TestSharedLink = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=30,
    deadline=None,
    database=None,
)(SharedLink).TestCase


def lose_lead(lab):
    """Makes another member the primary, which the node does not know yet."""
    old = lab.cluster.members["a"]
    old.role = _members.Role.REPLICA
    return old


# Guards against statements of other sessions that run with a value whose SET
# was refused.
def test_a_refused_command_leaves_no_trace_in_the_pool():
    lab = fakes.Lab(limit=2)
    one, other = lab.session(), lab.session()
    lab.do(one, fakes.statement("SET tz red"))
    lab.do(one, fakes.statement("BEGIN"))
    lab.do(one, fakes.statement("READ x"))
    lab.do(one, fakes.statement("SET tz green"))
    old = lose_lead(lab)
    refused = lab.do(one, fakes.statement("READ y"))
    lab.do(one, fakes.statement("ROLLBACK"))
    old.role = _members.Role.PRIMARY
    lab.run(0.5)
    for session, value in (
        (other, "green"),
        (one, "blue"),
        (lab.session(), ""),
    ):
        if value:
            lab.do(session, fakes.statement(f"SET tz {value}"))
        for number in range(6):
            request = f"{value}{number}"
            reply = lab.do(session, fakes.statement("WRITE x 1", request))
            assert reply.reason is None
            expected = {"tz": value} if value else {}
            assert lab.cluster.seen_values[request] == expected
    assert refused.reason is decisions.NOT_PRIMARY


# Guards against a prepared statement that is unknown at the member though its
# caller was told that it is prepared.
def test_a_refused_prepare_is_sent_again():
    lab = fakes.Lab(limit=1)
    one, other = lab.session(), lab.session()
    for session in (one, other):
        lab.do(session, fakes.statement("PREPARE p READ q"))
    lab.do(one, fakes.statement("BEGIN"))
    lab.do(one, fakes.statement("READ x"))
    old = lose_lead(lab)
    reply = lab.do(one, fakes.statement("EXECUTE p x"))
    assert reply.reason is decisions.NOT_PRIMARY
    lab.do(one, fakes.statement("ROLLBACK"))
    old.role = _members.Role.PRIMARY
    lab.run(0.5)
    for session in (other, one):
        lab.do(session, fakes.statement("BEGIN"))
        reply = lab.do(session, fakes.statement("EXECUTE p x"))
        assert reply.reason is None
        lab.do(session, fakes.statement("COMMIT"))


# Guards against an answer "unknown statement" for what a member has forgotten.
@pytest.mark.parametrize("texts", [["EXECUTE p x"], ["BEGIN", "EXECUTE p x"]])
def test_a_member_that_forgot_a_prepared_statement_is_told_again(texts):
    lab = fakes.Lab(limit=1)
    session = lab.session()
    lab.do(session, fakes.statement("PREPARE p WRITE q"))
    assert lab.do(session, fakes.statement("EXECUTE p x")).reason is None
    for member in lab.cluster.members.values():
        for conn in member.links:
            conn.prepared = {}
    replies = [lab.do(session, fakes.statement(t)) for t in texts]
    assert replies[-1].reason in (None, decisions.SESSION_STATE_LOST)
    lab.do(session, fakes.statement("ROLLBACK"))
    assert lab.do(session, fakes.statement("EXECUTE p x")).reason is None


def check_of(text, is_in_transaction=False):
    state = _link_state.LinkState()
    alignment = state.align({"tz": "red"})
    statement = fakes.statement(text)
    check = _link_state.Check(
        state, alignment, statement, None, is_in_transaction, "a"
    )
    futs: list[decisions.Future[_links.Reply]] = [
        decisions.Future(),
        decisions.Future(),
    ]
    return check.follow(futs[:-1], futs[-1]), futs


@pytest.mark.parametrize(
    ("text", "is_in_transaction", "reply", "reason"),
    [
        ("READ x", False, OK, decisions.SESSION_STATE_LOST),
        ("READ x", True, OK, decisions.SESSION_STATE_LOST),
        ("WRITE x 1", True, OK, decisions.SESSION_STATE_LOST),
        # It is committed, with a value of another session.
        ("WRITE x 1", False, OK, decisions.STATEMENT_FAILED),
        ("COMMIT", True, OK, None),
        ("READ x", True, REFUSED, decisions.NOT_PRIMARY),
        (
            "WRITE x 1",
            False,
            _links.Reply(STATES.IDLE, reason=decisions.STATEMENT_TIMEOUT),
            decisions.STATEMENT_TIMEOUT,
        ),
    ],
)
def test_a_reply_behind_a_refused_command(
    text, is_in_transaction, reply, reason
):
    out, futs = check_of(text, is_in_transaction)
    futs[0].set_result(REFUSED)
    futs[1].set_result(reply)
    assert out.result().reason is reason
    assert bool(out.result().proof) is (reason is None)


def test_a_lost_link_is_passed_on():
    out, futs = check_of("READ x")
    lost = _links.LinkLostError("reset")
    for fut in futs:
        fut.set_exception(lost)
    assert out.exception() is lost


# Guards against an unknown outcome for what has not run.
@pytest.mark.parametrize(
    "reply", [UNKNOWN, _links.Reply(STATES.IDLE, reason=decisions.MEMBER_BUSY)]
)
def test_a_statement_that_has_not_run_is_told_so_whatever_was_refused(reply):
    out, futs = check_of("READ x")
    refused = _links.Reply(STATES.IDLE, reason=decisions.STATEMENT_FAILED)
    futs[0].set_result(refused)
    futs[1].set_result(reply)
    assert out.result().reason is decisions.SESSION_STATE_LOST
    assert out.result().not_run
