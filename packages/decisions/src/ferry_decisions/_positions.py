"""Log positions, the histories they lie in, and the floors of sessions.

A position is a term and an index. Indices compare only inside one history: a
promotion to term t starts at an index, and whatever an earlier term held above
that index is cut. `History` knows the start of each term, and so what is left
of a position of an earlier term.
"""

import functools

import attrs


class InvalidPositionError(ValueError):
    """A text or value that is no log position."""


@functools.total_ordering
@attrs.frozen(slots=True, order=False)
class Position:
    """A place in a database's log.

    Attributes:
        term: The term of the primary that wrote the entry; 1 or more, 0 for
            the empty log.
        index: How many entries the log holds up to and with this one.
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
        """Reads `term:index`.

        Raises:
            InvalidPositionError: The text has another form.
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
    """The start of each term of one database.

    Attributes:
        starts: Pairs of a term and the index at which it began, by term.
    """

    starts: tuple[tuple[int, int], ...] = ()

    def with_term(self, term: int, start: int) -> "History":
        """Returns the history extended by a term; a known term is kept."""
        known = dict(self.starts)
        known.setdefault(term, start)
        return History(tuple(sorted(known.items())))

    def merged(self, other: "History") -> "History":
        """Returns the union of two views of the same history."""
        return History(
            tuple(sorted({**dict(other.starts), **dict(self.starts)}.items()))
        )

    def surviving_index(self, position: Position, term: int) -> int:
        """Returns how much of a position is left in the history of `term`."""
        cuts = [
            start
            for started, start in self.starts
            if position.term < started <= term
        ]
        return min([position.index, *cuts])

    def knows(self, term: int) -> bool:
        """Whether the start of `term` is known."""
        return any(started == term for started, _ in self.starts)


def satisfies(applied: Position, floor: Position, history: History) -> bool:
    """Whether a member that applied `applied` shows all below `floor`.

    A member still in an earlier term than the floor does not, whatever its
    index, since that term's tail may be cut. Nor does one whose term's start
    is unknown here.
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
