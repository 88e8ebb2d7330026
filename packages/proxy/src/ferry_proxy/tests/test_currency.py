"""Whether a configuration counts as outdated, also after a restored store."""

import math

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _currency
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_followers
from ferry_proxy.tests import test_restored_configuration

LIMIT_S = 3.0


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


def test_a_newer_configuration_than_before_may_be_older_than_a_lost_one(lab):
    found = currency(lab.reader, lab.clock)
    lab.store.restore(lab.store.copy())
    lab.store.put("config", b"11")
    lab.clock.advance(lab.policy.watch_wait_s + 1.0)
    assert lab.reader.copy.revision.era == 2
    assert doubt(found) is _currency.Doubt.STORE_RESTORED
    lab.store.put("config", b"12")
    lab.clock.advance(0.3)
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
        ({"copy_age_s": 3.1}, _currency.Doubt.OLD_COPY),
        ({"copy_age_s": 2.9}, None),
        ({"copy_read_s": 9.9}, _currency.Doubt.STORE_RESTORED),
        ({"copy_read_s": 10.1}, None),
    ],
)
def test_doubts(changes, expected):
    evidence = attrs.evolve(fakes.CURRENT, **changes)
    assert _currency.doubt(evidence, LIMIT_S) is expected


class SuspendableTimers(decisions.VirtualTimers):
    """Timers whose monotonic time stops while the machine is suspended."""

    suspended_s = 0.0

    def boot_now(self):
        return self.now() + self.suspended_s


class SuspendableLab(test_followers.Lab):
    """Nodes on a machine that may be suspended."""

    timers = SuspendableTimers


def test_news_from_before_a_suspension_are_old_news():
    lab = SuspendableLab()
    assert isinstance(lab.clock, SuspendableTimers)
    found = currency(lab.reader, lab.clock)
    assert doubt(found) is None
    lab.clock.suspended_s = 5.0
    assert doubt(found) is _currency.Doubt.OLD_COPY
    lab.store.put("members/b", b"orders")
    lab.clock.advance(0.3)
    assert doubt(found) is None


def test_the_evidence_names_the_peer_that_reported_the_age(lab):
    node = lab.other
    lab.clock.advance(1.0)
    evidence = currency_of(node, lab.clock).evidence
    assert evidence.reporter == lab.reader.own.name
    assert evidence.covered == node.copy.covered.number
    assert evidence.answer_age_s > evidence.copy_age_s


def test_the_evidence_of_a_reader_names_no_peer(lab):
    evidence = currency_of(lab.reader, lab.clock).evidence
    assert evidence.reporter == ""
    assert evidence.answer_age_s <= evidence.copy_age_s


def currency_of(node, clock):
    return _currency.Currency(clock, node.copy, node.follower, node)
