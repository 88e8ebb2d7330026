"""How old the state is that a node's copy of the store is complete for."""

import math
import typing

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _copy_age
from ferry_proxy import _store
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_restored_configuration

NOW_S = 100.0
ANSWER_DELAY_S = 0.7


@attrs.frozen
class Stream:
    """A peer whose copy was complete 0.5 s ago."""

    covered: decisions.Revision = fakes.at(7, era=1)
    version: int = 9
    peer: str = "n1"
    complete_at: float = NOW_S - 0.5


@attrs.frozen
class Copy:
    """What the node itself knows."""

    covered: decisions.Revision = fakes.at(7, era=1)
    version: int = 9


@attrs.frozen
class Mesh:
    streams: list[Stream]


def age(*streams):
    clock = decisions.VirtualTimers(NOW_S)
    copy: typing.Any = Copy()
    mesh: typing.Any = Mesh(list(streams))
    return _copy_age.CopyAge(clock, copy, mesh)


@pytest.mark.parametrize(
    "stream",
    [Stream(), Stream(covered=fakes.at(6, era=1)), Stream(version=8)],
)
def test_a_report_counts_if_the_copy_contains_the_peers(stream):
    found = age(stream)
    assert (found.seconds, found.reporter) == (0.5, "n1")
    assert found.reported_s == 0.5


@pytest.mark.parametrize(
    "stream",
    [
        Stream(covered=fakes.at(8, era=1)),
        Stream(covered=fakes.at(3, era=0)),
        Stream(covered=fakes.at(3, era=2)),
        Stream(version=10),
    ],
)
def test_a_report_on_a_copy_that_holds_more_counts_for_nothing(stream):
    found = age(stream)
    assert found.seconds == math.inf
    assert found.reported_s == math.inf


def test_the_newest_moment_counts_whoever_showed_it():
    found = age(Stream(complete_at=NOW_S - 2.0), Stream(peer="n2"))
    assert found.reporter == "n2"
    found.confirm(NOW_S - 0.1)
    found.confirm(NOW_S - 3.0)
    assert found.seconds == pytest.approx(0.1)
    assert found.reporter == ""
    assert found.reported_s == 0.5


class SlowStore:
    """Answers each call `ANSWER_DELAY_S` later than the store."""

    def __init__(self, clock, store):
        self._clock = clock
        self._store = store

    def __getattr__(self, name):
        return lambda *args: decisions.start(self._call(name, *args))

    def _call(self, name, *args):
        reply = yield getattr(self._store, name)(*args)
        yield decisions.sleep(self._clock, ANSWER_DELAY_S)
        return reply


def reader_with_slow_store():
    """Returns a lab and its reader, whose store's answers now come late."""
    lab = test_restored_configuration.Lab()
    follower = lab.reader.follower
    slow: typing.Any = SlowStore(lab.clock, follower._store)
    follower._store = slow
    lab.clock.advance(lab.policy.watch_wait_s + 0.5)
    return lab, follower


def wait_for_answer(lab, follower):
    """Runs until the store next answers."""
    before = follower.answered_at
    while follower.answered_at == before:
        lab.clock.advance(0.01)


def test_a_change_tells_of_the_time_at_which_it_was_asked_for():
    lab, follower = reader_with_slow_store()
    wait_for_answer(lab, follower)
    lab.store.put("config", b"12")
    wait_for_answer(lab, follower)
    assert follower.copy_age.seconds >= ANSWER_DELAY_S


def test_an_empty_answer_tells_of_the_end_of_the_wait():
    lab, follower = reader_with_slow_store()
    wait_for_answer(lab, follower)
    wait_for_answer(lab, follower)
    late_s = ANSWER_DELAY_S + 0.1
    assert ANSWER_DELAY_S <= follower.copy_age.seconds <= late_s


def test_a_full_read_tells_of_the_time_at_which_it_was_asked_for():
    lab, follower = reader_with_slow_store()
    lab.store.restore(lab.store.copy())
    while lab.reader.copy.revision.era < lab.store.era:
        wait_for_answer(lab, follower)
    assert follower.copy_age.seconds >= ANSWER_DELAY_S


def test_an_answer_of_an_earlier_era_tells_of_no_moment():
    lab, follower = reader_with_slow_store()
    wait_for_answer(lab, follower)
    later = fakes.at(lab.store.number, era=lab.store.era + 1)
    lab.reader.copy.merge_snapshot(_store.Changes((), later), "peer")
    age_s, before = follower.copy_age.seconds, lab.clock.now()
    wait_for_answer(lab, follower)
    elapsed_s = lab.clock.now() - before
    assert follower.copy_age.seconds == pytest.approx(age_s + elapsed_s)
