"""Moments in the life of a store that may come back from an older copy."""

import attrs


@attrs.frozen(slots=True, order=True)
class Revision:
    """A moment in a store's life, by which knowledge of it is ordered.

    A store that comes back from a copy counts on from the copy's last number:
    numbers go back and are given out again, so that a higher one may be the
    older truth. What it says in a later era is newer, whatever the numbers.

    Attributes:
        era: How often the store came back from a copy; 0 where it does not
            say so.
        number: The count of its changes; 0 for a time before the first one.
    """

    era: int = 0
    number: int = 0

    @property
    def beginning(self) -> "Revision":
        """The time before the first change of this era."""
        return Revision(self.era)


UNREAD_REVISION = Revision()
