"""Whether a configuration counts as outdated, also after a restored store."""

import math

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _currency
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_followers
from ferry_proxy.tests import test_restored_configuration

LIMIT_S = 3.8


@attrs.define
class Mesh:
    """Connected peers that report these configuration versions."""

    versions: list[int]

    @property
    def streams(self):
        return [Peer(v) for v in self.versions]


@attrs.frozen
class Peer:
    version: int
    peer: str = "n1"
    store_seen: float = float("-inf")
    covered: decisions.Revision = decisions.UNREAD_REVISION


def currency(node, clock, versions=()):
    return _currency.Currency(
        clock, node.copy, node.follower, Mesh(list(versions))
    )


def doubt(found):
    return _currency.doubt(found.evidence, LIMIT_S)


@pytest.fixture
def lab():
    return test_restored_configuration.Lab()


def test_what_a_copy_lacks_may_yet_be_written_again(lab):
    started = lab.add()
    lab.clock.advance(0.3)
    for node in (lab.reader, started):
        assert (
            doubt(currency(node, lab.clock)) is _currency.Doubt.STORE_RESTORED
        )


def test_the_doubt_ends_as_the_operators_write_again(lab):
    found = currency(lab.reader, lab.clock)
    lab.store.put("config", b"9")
    lab.clock.advance(0.3)
    assert doubt(found) is None


def test_a_newer_configuration_than_before_was_written_since(lab):
    found = currency(lab.reader, lab.clock)
    copy = lab.store.copy()
    lab.store.restore(copy)
    lab.store.put("config", b"11")
    lab.clock.advance(lab.policy.watch_wait_s + 1.0)
    assert lab.reader.copy.revision.era == 2
    assert doubt(found) is None


def test_the_doubt_ends_if_nobody_writes(lab):
    found = currency(lab.reader, lab.clock)
    lab.clock.advance(_currency.RESTORE_DOUBT_S)
    assert doubt(found) is None


def test_a_store_that_was_never_restored_leaves_no_doubt():
    lab = test_followers.Lab()
    found = currency(lab.reader, lab.clock)
    assert found.evidence.copy_read_s == math.inf
    assert doubt(found) is None


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"told_version": 2}, _currency.Doubt.PEER_IS_AHEAD),
        ({"told_version": 2, "version": 2}, None),
        ({"store_age_s": 3.9}, _currency.Doubt.STORE_SILENT),
        ({"store_age_s": 3.7}, None),
        ({"copy_read_s": 9.9}, _currency.Doubt.STORE_RESTORED),
        ({"copy_read_s": 10.1}, None),
    ],
)
def test_doubts(changes, expected):
    evidence = attrs.evolve(fakes.CURRENT, **changes)
    assert _currency.doubt(evidence, LIMIT_S) is expected


@attrs.define
class SuspendedClock:
    """A clock whose monotonic time stops while its machine is suspended."""

    lab: test_followers.Lab
    suspended_s: float = 0.0

    def now(self):
        return self.lab.clock.now()

    def boot_now(self):
        return self.lab.clock.now() + self.suspended_s

    def after(self, delay, callback):
        return self.lab.clock.after(delay, callback)


def test_news_from_before_a_suspension_are_old_news():
    lab = test_followers.Lab()
    clock = SuspendedClock(lab)
    found = currency(lab.reader, clock)
    assert doubt(found) is None
    clock.suspended_s = 5.0
    assert doubt(found) is _currency.Doubt.STORE_SILENT
    lab.store.put("members/b", b"orders")
    lab.clock.advance(0.3)
    assert doubt(found) is None


def test_the_evidence_names_the_peer_that_the_news_came_from(lab):
    node = lab.other
    lab.clock.advance(1.0)
    evidence = currency_of(node, lab.clock).evidence
    assert evidence.reporter == lab.reader.own.name
    assert evidence.reporter_covered == lab.reader.copy.covered.number
    assert evidence.covered == node.copy.covered.number
    assert evidence.answer_age_s > evidence.store_age_s


def test_the_evidence_of_a_reader_names_no_peer(lab):
    evidence = currency_of(lab.reader, lab.clock).evidence
    assert evidence.reporter == ""
    assert evidence.answer_age_s == evidence.store_age_s


def currency_of(node, clock):
    return _currency.Currency(clock, node.copy, node.follower, node)
