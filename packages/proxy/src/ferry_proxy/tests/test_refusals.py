"""Tests of refusals by the configuration, and of their log lines."""

import json
import os

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _events
from ferry_proxy.tests import fakes


@pytest.fixture
def lines():
    """Yields a function that reads the events that the process logged."""
    read, write = os.pipe()
    _events.start_log(_events.EventLog("n1", write))
    yield lambda: [json.loads(x) for x in os.read(read, 65536).splitlines()]
    _events._logs.clear()
    os.close(read)
    os.close(write)


def test_a_refusal_is_logged_with_its_evidence(lines):
    refusals = fakes.REFUSALS
    refusals.of(decisions.UNKNOWN_DATABASE, "orders-db")
    (line,) = lines()
    assert line["event"] == "RefusedByConfiguration"
    assert line["subject"] == "orders-db"
    expected = attrs.asdict(fakes.CURRENT)
    expected |= {"copy_read_s": None, "answer_age_s": None}
    assert line["evidence"] == expected


def test_a_session_on_an_unknown_database_is_refused_with_its_evidence(lines):
    lab = fakes.Lab()
    session = lab.session()
    lab.configuration = attrs.evolve(lab.configuration, routes={})
    with pytest.raises(decisions.RequestFailedError):
        session.check()
    answer = lab.do(session, fakes.statement("READ x"))
    assert answer.reason is decisions.UNKNOWN_DATABASE
    refused = [x for x in lines() if x["event"] == "RefusedByConfiguration"]
    assert [x["reason"] for x in refused] == ["unknown_database"] * 2


OUTDATED_EVIDENCE = [
    {"told_version": 2},
    {"copy_age_s": 60.0},
    {"era": 1, "store_era": 1, "copy_read_s": 0.2},
]


@pytest.mark.parametrize("changes", OUTDATED_EVIDENCE)
def test_an_outdated_configuration_refuses_no_database_for_good(changes):
    lab = fakes.Lab()
    session = lab.session()
    lab.evidence = attrs.evolve(fakes.CURRENT, **changes)
    lab.configuration = attrs.evolve(lab.configuration, routes={})
    answer = lab.do(session, fakes.statement("READ x"))
    assert answer.reason is not decisions.UNKNOWN_DATABASE
    assert answer.reason.outcome is decisions.Outcome.NOT_RUN
    assert answer.reason.retry_after_s > 0


@pytest.mark.parametrize("changes", OUTDATED_EVIDENCE)
def test_an_outdated_configuration_refuses_no_key_for_good(changes):
    lab = fakes.Lab(has_teams=True)
    session = lab.session("key-of-a-new-team")
    lab.evidence = attrs.evolve(fakes.CURRENT, **changes)
    answer = lab.do(session, fakes.statement("READ x"))
    assert answer.reason is not decisions.LOGIN_REFUSED
    assert answer.reason.retry_after_s > 0


@pytest.mark.parametrize(
    "changes",
    [{}, {"told_version": 0, "peers": 0}, {"copy_read_s": 60.0}],
)
def test_a_current_configuration_refuses_for_good(changes):
    lab = fakes.Lab()
    lab.evidence = attrs.evolve(fakes.CURRENT, **changes)
    lab.configuration = attrs.evolve(lab.configuration, routes={})
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.reason is decisions.UNKNOWN_DATABASE
