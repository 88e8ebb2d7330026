"""Types that describe the load of a member as one node observes it."""

import attrs


@attrs.frozen(slots=True)
class WorkKey:
    """What service times are recorded by.

    Attributes:
        route: The route's name.
        kind: The kind of the statement.
    """

    route: str
    kind: str


@attrs.frozen(slots=True)
class Demand:
    """One node's statements for a member.

    Attributes:
        running: How many were sent to it and not answered.
        waiting: How many wait at the node.
    """

    running: int
    waiting: int

    @property
    def total(self) -> int:
        """How many statements the member would run if it had the slots."""
        return self.running + self.waiting
