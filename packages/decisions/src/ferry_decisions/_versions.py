"""Which of two states of an entry of the store is the newer one.

Within an era of the store its revisions tell. A store that came back from a
copy holds older states under later revisions; there the entries' own counts
tell, which whoever writes them lets grow: a contract's version, a record's
term.
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
    """An entry's own count; equal for entries that have none.

    Attributes:
        count: Grows with each change.
        step: Tells the steps of one change apart.
    """

    count: int = 0
    step: int = 0


NO_RANK = Rank()
_ReadRank = Callable[[dict[str, typing.Any]], Rank]
_readers: dict[str, _ReadRank] = {}


def _ranks(prefix: str) -> Callable[[_ReadRank], _ReadRank]:
    """Returns a decorator that registers how keys of a prefix are ranked."""

    def register(read: _ReadRank) -> _ReadRank:
        _readers[prefix] = read
        return read

    return register


@_ranks(_contracts.CONTRACT_PREFIX)
def _contract_rank(raw: dict[str, typing.Any]) -> Rank:
    return Rank(int(raw["version"]))


@_ranks(_promotion.RECORD_PREFIX)
def _record_rank(raw: dict[str, typing.Any]) -> Rank:
    return Rank(int(raw["term"]), int(bool(raw["primary"])))


def rank_of(entry: _ports.StoreEntry) -> Rank:
    """Returns an entry's own count; the lowest for one that is unreadable."""
    for prefix, read in _readers.items():
        if entry.key.startswith(prefix):
            try:
                return read(json.loads(entry.value))
            except (ValueError, KeyError, TypeError):
                return NO_RANK  # Whoever decodes it says so.
    return NO_RANK


@attrs.frozen(slots=True)
class Version:
    """How new a state of an entry is.

    Attributes:
        revision: The store's revision of it.
        rank: Its own count.
    """

    revision: _revisions.Revision
    rank: Rank

    def replaces(self, known: "Version") -> bool:
        """Whether this state is newer than one that is known."""
        is_same_era = self.revision.era == known.revision.era
        if is_same_era or self.rank == known.rank:
            return self.revision > known.revision
        return self.rank > known.rank


def version_of(entry: _ports.StoreEntry) -> Version:
    """Returns how new an entry is."""
    return Version(entry.revision, rank_of(entry))


def newest(
    one: _ports.StoreEntry | None, other: _ports.StoreEntry | None
) -> _ports.StoreEntry | None:
    """Returns the newer one of two states of an entry."""
    if one is None or other is None:
        return one or other
    return other if version_of(other).replaces(version_of(one)) else one


def lost_entries(
    held: list[_ports.StoreEntry],
    listed: dict[str, _ports.StoreEntry],
    era: int,
) -> list[_ports.StoreEntry]:
    """Returns what nodes wrote in an earlier era and the store lacks now.

    Whoever else writes to the store does so again by itself.

    Args:
        held: The newest states that are known.
        listed: What the store holds, by key.
        era: The store's present era.
    """
    return [
        entry
        for entry in held
        if entry.revision.era < era and _is_lost(entry, listed.get(entry.key))
    ]


def _is_lost(
    entry: _ports.StoreEntry, stored: _ports.StoreEntry | None
) -> bool:
    """Whether the store holds less than an entry that has a count.

    Most came back unchanged, and are looked at in each read from then on: these
    are not decoded.
    """
    if stored is not None and stored.value == entry.value:
        return False
    rank = rank_of(entry)
    stored_rank = NO_RANK if stored is None else rank_of(stored)
    return rank > stored_rank
