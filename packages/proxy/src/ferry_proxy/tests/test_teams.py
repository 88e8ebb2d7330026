"""Teams, their keys, and in whose name statements run."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _access
from ferry_proxy import _configuration
from ferry_proxy import _metrics
from ferry_proxy import _statements
from ferry_proxy import _teams
from ferry_proxy.tests import fakes

ROUTE = _configuration.Route(
    "r", "db", "orders", _configuration.Consistency.SESSION, 1.0, 0.4, 1
)
STATES = _statements.TransactionState


def team(name, *keys):
    return _teams.Team(name, tuple(_teams.digest_of(k) for k in keys))


def configuration(version, *teams):
    return _configuration.Configuration(
        version, {"db": ROUTE}, {}, 3.0, 1 << 20, _teams.Teams.of(teams)
    )


@pytest.mark.parametrize(
    ("teams", "key", "holder"),
    [
        ([team("a", "k1", "k2")], "k1", "a"),
        ([team("a", "k1", "k2")], "k2", "a"),
        ([team("a", "k1"), team("b", "k2")], "k2", "b"),
        ([team("a", "k1", "k1")], "k1", "a"),
        ([team("a", "k1")], "", None),
        ([team("a", "k1")], "a", None),
        ([team("a"), team("b", "k2")], "k1", None),
        # A key of two teams is nobody's; their other keys hold.
        ([team("a", "k1", "k2"), team("b", "k1")], "k1", None),
        ([team("a", "k1", "k2"), team("b", "k1")], "k2", "a"),
        # Of two teams of one name the first stands.
        ([team("a", "k1"), team("a", "k2")], "k2", None),
        ([team("a", "k1"), team("a", "k2")], "k1", "a"),
    ],
)
def test_who_holds_a_key(teams, key, holder):
    access = _access.Access(
        True, lambda: configuration(4, *teams), fakes.REFUSALS
    )
    if holder is None:
        with pytest.raises(decisions.RequestFailedError) as caught:
            access.identify(ROUTE, key)
        assert caught.value.reason is decisions.LOGIN_REFUSED
        assert not key or key not in caught.value.detail.split()
    else:
        caller = access.identify(ROUTE, key)
        assert (caller.team, caller.version) == (holder, 4)


def test_what_is_passed_over_is_told():
    found = _teams.Teams.of([team("a", "k1"), team("b", "k1"), team("a", "k3")])
    assert found.mistakes == (
        "team b lists another's key",
        "team a is listed twice",
    )


@pytest.mark.parametrize(
    ("has_teams", "is_open"), [(False, False), (True, True)]
)
def test_where_no_key_is_needed(has_teams, is_open):
    route = attrs.evolve(ROUTE, is_open=is_open)
    access = _access.Access(has_teams, lambda: configuration(1), fakes.REFUSALS)
    assert access.identify(route, "") is _teams.ANONYMOUS


@pytest.mark.parametrize(
    ("own_version", "teams", "expected"),
    [
        (3, [team("a", "k")], "a"),  # Older than the other node's.
        (3, [], "a"),
        (4, [team("a", "k")], "a"),
        (5, [team("b", "k")], "b"),  # The key has moved.
        (5, [], None),  # It was taken away.
    ],
)
def test_the_newer_configuration_decides(own_version, teams, expected):
    access = _access.Access(
        True, lambda: configuration(own_version, *teams), fakes.REFUSALS
    )
    caller = _teams.Caller("a", _teams.digest_of("k"), 4)
    if expected is None:
        with pytest.raises(decisions.RequestFailedError):
            access.confirm(caller)
    else:
        assert access.confirm(caller).team == expected


class TeamsLab(fakes.Lab):
    """A group whose callers belong to teams."""

    def __init__(self, **kwargs) -> None:
        super().__init__(has_teams=True, **kwargs)
        self.set_teams(team("a", "ka"), team("b", "kb"))

    def set_teams(self, *teams) -> None:
        before = self.configuration
        self.configuration = attrs.evolve(
            before, version=before.version + 1, teams=_teams.Teams.of(teams)
        )

    def ran_as(self, request_id):
        return self.cluster.seen_teams.get(request_id)


@pytest.fixture
def lab():
    return TeamsLab()


def test_a_link_runs_the_statements_of_one_team(lab):
    sessions = {"a": lab.session("ka"), "b": lab.session("kb")}
    for number in range(12):
        name = "ab"[number % 2]
        text = ("READ x", "WRITE x 1")[number // 2 % 2]
        statement = fakes.statement(text)
        assert lab.do(sessions[name], statement).reason is None
        assert lab.ran_as(statement.request_id) == name


def test_an_idle_teams_link_makes_room(lab):
    keys = {f"t{n}": f"k{n}" for n in range(9)}
    lab.set_teams(*(team(n, k) for n, k in keys.items()))
    for name, key in keys.items():
        statement = fakes.statement("WRITE x 1")
        assert lab.do(lab.session(key), statement).reason is None
        assert lab.ran_as(statement.request_id) == name
        for pool in lab.group.pools.values():
            assert pool.size <= lab.limit


@pytest.mark.parametrize("text", ["READ x", "WRITE x 1"])
def test_a_key_that_is_taken_away_runs_nothing_more(lab, text):
    session = lab.session("ka")
    assert lab.do(session, fakes.statement(text)).reason is None
    lab.set_teams(team("a"), team("b", "kb"))
    statement = fakes.statement(text)
    reply = lab.do(session, statement)
    assert reply.reason is decisions.LOGIN_REFUSED
    assert reply.state is STATES.IDLE
    assert lab.ran_as(statement.request_id) is None


@pytest.mark.parametrize("text", ["READ x", "COMMIT"])
def test_a_transaction_ends_with_its_key(lab, text):
    session = lab.session("ka")
    lab.do(session, fakes.statement("BEGIN"))
    assert lab.do(session, fakes.statement("WRITE x 1")).reason is None
    lab.set_teams(team("b", "kb"))
    reply = lab.do(session, fakes.statement(text))
    assert reply.reason is decisions.LOGIN_REFUSED
    lab.do(session, fakes.statement("ROLLBACK"))
    lab.run(0.5)
    assert not lab.cluster.acknowledged
    assert session.state is STATES.IDLE


def test_a_key_that_moves_ends_its_transaction(lab):
    session = lab.session("ka")
    lab.do(session, fakes.statement("BEGIN"))
    assert lab.do(session, fakes.statement("WRITE x 1")).reason is None
    lab.set_teams(team("b", "ka"))
    statement = fakes.statement("READ x")
    reply = lab.do(session, statement)
    assert reply.reason is decisions.TRANSACTION_LOST
    assert lab.ran_as(statement.request_id) is None
    lab.do(session, fakes.statement("ROLLBACK"))
    assert lab.do(session, fakes.statement("READ x", "late")).reason is None
    assert lab.ran_as("late") == "b"


def test_questions_of_ours_need_no_link_of_their_own(lab):
    lab.do(lab.session("ka"), fakes.statement("WRITE x 1"))
    before = {n: m.opened for n, m in lab.cluster.members.items()}
    lab.run(3.0)
    assert {n: m.opened for n, m in lab.cluster.members.items()} == before


def test_statements_are_counted_by_team(lab):
    lab.do(lab.session("ka"), fakes.statement("READ x"))
    lab.do(lab.session("kb"), fakes.statement("READ x"))
    shown = lab.ctx.metrics.render().decode()
    for name in "ab":
        line = f'team_statements_total{{outcome="ran",team="{name}"}} 1'
        assert line in shown


def test_the_counters_of_teams_are_bounded():
    metrics = _metrics.Metrics()
    for number in range(_metrics.MAX_TEAMS + 50):
        metrics.record_team_statement(f"t{number}", "ran")
    lines = [
        line
        for line in metrics.render().decode().splitlines()
        if "team_statements_total" in line
    ]
    assert len(lines) == _metrics.MAX_TEAMS + 1
    assert any('"(others)"' in n and n.endswith(" 50") for n in lines)
