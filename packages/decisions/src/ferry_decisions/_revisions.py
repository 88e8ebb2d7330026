"""Revisions of a store that may be restored from an older backup."""

import attrs


@attrs.frozen(slots=True, order=True)
class Revision:
    """A revision of the store, ordered by era and then by number.

    A store that is restored from a backup continues from the backup's last
    number. Numbers are then issued again, so a higher number may denote older
    data. Data of a later era is newer, whatever the numbers.

    Attributes:
        era: How many times the store was restored from a backup; 0 if the
            store does not report it.
        number: The number of changes in the store; 0 before the first one.
    """

    era: int = 0
    number: int = 0

    @property
    def beginning(self) -> "Revision":
        """The revision before the first change of this era."""
        return Revision(self.era)


UNREAD_REVISION = Revision()
