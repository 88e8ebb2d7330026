"""Tests of the order of an entry's states across eras of the store."""

import json

import pytest

import ferry_decisions as decisions

CONTRACT = decisions.CONTRACT_PREFIX + "c"
TOPOLOGY = decisions.TOPOLOGY_PREFIX + "d"
RECORD = decisions.record_key("d")


def version(era, number, count=0, step=0):
    revision = decisions.Revision(era, number)
    return decisions.Version(revision, decisions.Rank(count, step))


def entry(era, number, key=CONTRACT, **document):
    value = json.dumps(document).encode()
    return decisions.StoreEntry(key, value, decisions.Revision(era, number))


def stored(directory):
    found = directory.get(CONTRACT)
    assert found is not None
    return json.loads(found.value)


@pytest.mark.parametrize(
    ("new", "known", "expected"),
    [
        (version(0, 2), version(0, 1), True),
        (version(0, 1), version(0, 2), False),
        (version(0, 2, count=1), version(0, 1, count=5), True),
        (version(1, 1), version(0, 9), True),
        (version(0, 9), version(1, 1), False),
        (version(1, 1, count=2), version(0, 9, count=3), False),
        (version(1, 1, count=4), version(0, 9, count=3), True),
        (version(1, 1, count=3, step=1), version(0, 9, count=3), True),
        (version(1, 1, count=3), version(0, 9, count=3), True),
        (version(1, 1, count=3), version(1, 1, count=3), False),
    ],
)
def test_replaces(new, known, expected):
    assert new.replaces(known) is expected


def test_a_copys_older_contract_replaces_nothing_and_a_later_one_does():
    directory = decisions.Directory()
    directory.merge([entry(0, 90, version=3)])
    assert directory.merge([entry(1, 40, version=1)]) == []
    assert directory.merge([entry(1, 41, version=4)])
    assert stored(directory) == {"version": 4}


def test_what_has_not_changed_is_not_told_again_in_a_new_era():
    one, two = decisions.Directory(), decisions.Directory()
    for directory in (one, two):
        directory.merge([entry(0, 40, version=1)])
    assert one.merge([entry(1, 40, version=1)]) == []
    assert one.digest == two.digest
    assert one.newer_than(two.versions()) == []


def test_a_node_that_knows_the_copy_alone_is_told_the_newer_state():
    old, fresh = decisions.Directory(), decisions.Directory()
    old.merge([entry(0, 90, version=3)])
    fresh.merge([entry(1, 40, version=1)])
    assert fresh.newer_than(old.versions()) == []
    fresh.merge(old.newer_than(fresh.versions()))
    assert stored(fresh) == {"version": 3}


@pytest.mark.parametrize(
    ("held", "stored", "lost"),
    [
        (entry(0, 90, version=3), entry(1, 40, version=1), True),
        (entry(0, 90, version=3), None, True),
        (entry(0, 90, version=3), entry(1, 41, version=3), False),
        (entry(1, 41, version=3), None, False),
        (entry(0, 90, TOPOLOGY, name="d"), None, False),
        (entry(0, 90, RECORD, term=4, primary="a"), None, True),
        (
            entry(0, 90, RECORD, term=4, primary="a"),
            entry(1, 41, RECORD, term=4, primary=""),
            True,
        ),
        (entry(0, 90, nonsense=True), None, False),
    ],
)
def test_lost_entries(held, stored, lost):
    listed = {} if stored is None else {stored.key: stored}
    found = decisions.lost_entries([held], listed, era=1)
    assert found == ([held] if lost else [])


def test_what_is_known_is_not_decoded_again(monkeypatch):
    """Guards against decoding unchanged entries.

    A reader lists 1,500 entries every few seconds and used to decode all
    1,500 of them; it now decodes 0.
    """
    directory = decisions.Directory()
    known = [entry(1, 40 + n, version=3) for n in range(3)]
    directory.merge(known)
    decoded: list[bytes] = []
    monkeypatch.setattr(json, "loads", decoded.append)
    directory.merge(known)
    again = {known[-1].key: entry(2, 40, version=3)}
    assert decisions.lost_entries([known[-1]], again, era=2) == []
    assert decoded == []
