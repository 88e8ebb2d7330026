"""How long a member that is leaving may receive new statements."""

import attrs


@attrs.define(slots=True, eq=False)
class DrainWindow:
    """The time for which a draining member still takes statements.

    Attributes:
        length_s: How long that is, in seconds.
        since: When it began to drain, in the clock's seconds; None while it
            does not.
    """

    length_s: float
    since: float | None = None

    def note(self, draining: bool, now: float) -> None:
        """Records whether the member is draining; the first time counts."""
        if not draining:
            self.since = None
        elif self.since is None:
            self.since = now

    def is_open(self, now: float) -> bool:
        """Whether the member takes new statements."""
        return self.since is None or now - self.since < self.length_s
