"""Ordering of the states of a store entry, also across restores of the store.

Within an era, the store's revisions order the states. A store restored from a
backup holds older states under later revisions; there the counters in the
entries decide, which their writers increment: a contract's version or a
record's term.
"""

from collections.abc import Callable
import json
import typing

import attrs

from ferry_decisions import _contracts
from ferry_decisions import _ports
from ferry_decisions import _promotion
from ferry_decisions import _revisions


@attrs.frozen(slots=True, order=True)
class Rank:
    """The counter in an entry's value; equal for all entries without one.

    Attributes:
        count: Increases with each change.
        step: Orders the steps within one change.
    """

    count: int = 0
    step: int = 0


NO_RANK = Rank()
_RankReader = Callable[[dict[str, typing.Any]], Rank]
_rank_readers: dict[str, _RankReader] = {}


def _ranks_prefix(prefix: str) -> Callable[[_RankReader], _RankReader]:
    """Returns a decorator that registers how entries of a prefix are ranked."""

    def register(read: _RankReader) -> _RankReader:
        _rank_readers[prefix] = read
        return read

    return register


@_ranks_prefix(_contracts.CONTRACT_PREFIX)
def _contract_rank(raw: dict[str, typing.Any]) -> Rank:
    return Rank(int(raw["version"]))


@_ranks_prefix(_promotion.RECORD_PREFIX)
def _record_rank(raw: dict[str, typing.Any]) -> Rank:
    return Rank(int(raw["term"]), int(bool(raw["primary"])))


def rank_of(entry: _ports.StoreEntry) -> Rank:
    """Returns the rank of an entry, or `NO_RANK` if it cannot be decoded."""
    for prefix, read in _rank_readers.items():
        if entry.key.startswith(prefix):
            try:
                return read(json.loads(entry.value))
            except (ValueError, KeyError, TypeError):
                # The code that uses the entry reports the error.
                return NO_RANK
    return NO_RANK


@attrs.frozen(slots=True)
class Version:
    """The version of a state of an entry.

    Attributes:
        revision: The store's revision of the state.
        rank: The counter in the entry's value.
    """

    revision: _revisions.Revision
    rank: Rank

    def replaces(self, known: "Version") -> bool:
        """Whether this state is newer than a known one."""
        is_same_era = self.revision.era == known.revision.era
        if is_same_era or self.rank == known.rank:
            return self.revision > known.revision
        return self.rank > known.rank


def version_of(entry: _ports.StoreEntry) -> Version:
    """Returns the version of an entry."""
    return Version(entry.revision, rank_of(entry))


def newest(
    one: _ports.StoreEntry | None, other: _ports.StoreEntry | None
) -> _ports.StoreEntry | None:
    """Returns the newer of two states of an entry; None counts as older."""
    if one is None or other is None:
        return one or other
    return other if version_of(other).replaces(version_of(one)) else one


def lost_entries(
    held: list[_ports.StoreEntry],
    listed: dict[str, _ports.StoreEntry],
    era: int,
) -> list[_ports.StoreEntry]:
    """Returns entries that nodes wrote in an earlier era and the store lost.

    Other writers to the store write their entries again by themselves.

    Args:
        held: The newest known states of the entries.
        listed: The store's entries by key.
        era: The store's current era.
    """
    return [
        entry
        for entry in held
        if entry.revision.era < era and _is_lost(entry, listed.get(entry.key))
    ]


def _is_lost(
    entry: _ports.StoreEntry, stored: _ports.StoreEntry | None
) -> bool:
    """Whether the store lacks an entry with a rank or holds an older state.

    Most entries are unchanged after a restore, and each later read compares
    them again, so unchanged entries are not decoded.
    """
    if stored is not None and stored.value == entry.value:
        return False
    rank = rank_of(entry)
    stored_rank = NO_RANK if stored is None else rank_of(stored)
    return rank > stored_rank
