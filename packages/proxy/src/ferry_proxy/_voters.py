"""The voters of a group, as far as a node knows them."""

from collections.abc import Callable

from ferry_proxy import _departures
from ferry_proxy import _members


class Voters:
    """The members that count towards the quorum of a commit.

    Attributes:
        keys: The keys of the recorded voters, empty while no record is known;
            None where no record is kept.
        on_missing: Callbacks that arrange for a record to be written.
    """

    def __init__(self) -> None:
        self.keys: frozenset[str] | None = None
        self.on_missing: list[Callable[[], object]] = []

    def include(self, member: _members.Member) -> bool:
        """Whether a listed member counts."""
        return self.keys is None or _departures.key_of(member) in self.keys

    def require_record(self) -> None:
        """Arranges for a record to be written unless one is known."""
        if self.keys is not None and not self.keys:
            for callback in self.on_missing:
                callback()
