"""Log positions, and their comparison across terms.

A position consists of a term and an index. Indices are comparable only within
one history: a promotion to term t starts at an index, and entries of earlier
terms above that index are truncated. `History` holds the start of each term,
from which it derives how much of an earlier term's position survives.
"""

import functools

import attrs


class InvalidPositionError(ValueError):
    """A text is not a valid log position."""


@functools.total_ordering
@attrs.frozen(slots=True, order=False)
class Position:
    """A position in a database's log, ordered by term and index.

    Attributes:
        term: The term of the primary that wrote the entry, from 1; 0 for the
            empty log.
        index: The number of log entries up to and including this one.
    """

    term: int = attrs.field(validator=attrs.validators.ge(0))
    index: int = attrs.field(validator=attrs.validators.ge(0))

    def __lt__(self, other: "Position") -> bool:
        return (self.term, self.index) < (other.term, other.index)

    def __str__(self) -> str:
        return f"{self.term}:{self.index}"

    @classmethod
    @functools.lru_cache(maxsize=4096)  # noqa: B019 - a class method
    def from_text(cls, text: str) -> "Position":
        """Parses a position of the form `term:index`.

        Raises:
            InvalidPositionError: The text does not have this form.
        """
        term, colon, index = text.partition(":")
        try:
            if colon:
                return cls(int(term), int(index))
        except ValueError:
            pass
        raise InvalidPositionError(f"{text!r} is not of the form term:index")


ZERO_POSITION = Position(0, 0)


@attrs.frozen(slots=True)
class History:
    """The log index at which each term of a database started.

    Attributes:
        starts: Pairs of a term and the index at which it started, sorted by
            term.
    """

    starts: tuple[tuple[int, int], ...] = ()

    def with_term(self, term: int, start: int) -> "History":
        """Returns the history with a term added; a known term is kept."""
        known = dict(self.starts)
        known.setdefault(term, start)
        return History(tuple(sorted(known.items())))

    def merged(self, other: "History") -> "History":
        """Returns the union of two partial histories of the same database."""
        return History(
            tuple(sorted({**dict(other.starts), **dict(self.starts)}.items()))
        )

    def surviving_index(self, position: Position, term: int) -> int:
        """Returns the index up to which a position survives in `term`."""
        later_starts = [
            start
            for started, start in self.starts
            if position.term < started <= term
        ]
        return min([position.index, *later_starts])

    def knows(self, term: int) -> bool:
        """Whether the start of `term` is known."""
        return any(started == term for started, _ in self.starts)


def satisfies(applied: Position, floor: Position, history: History) -> bool:
    """Whether a member that has applied `applied` shows all up to `floor`.

    A member in an earlier term than the floor does not, whatever its index,
    because the end of its term may be truncated. A member whose term has an
    unknown start does not either.
    """
    if floor == ZERO_POSITION:
        return True
    if applied.term < floor.term:
        return False
    if applied.term == floor.term:
        return applied.index >= floor.index
    if not history.knows(applied.term):
        return False
    return applied.index >= history.surviving_index(floor, applied.term)
