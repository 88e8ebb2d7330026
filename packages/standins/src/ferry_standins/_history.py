"""A checker of what callers saw against what the database holds."""

import attrs
import ferry_decisions as decisions


@attrs.frozen
class Operation:
    """One request of one session.

    Attributes:
        session: Whose it is.
        key: The key that it wrote or read.
        value: What it wrote or saw.
        is_write: Whether it wrote.
        begun: When it was sent, in seconds.
        ended: When its answer came, in seconds.
        outcome: What the caller was told.
    """

    session: str
    key: str
    value: int
    is_write: bool
    begun: float
    ended: float
    outcome: decisions.Outcome


@attrs.define
class Verdict:
    """How often each promise was broken.

    Attributes:
        own_writes: Reads that did not show an earlier write of the session.
        backwards: Reads that showed less than an earlier read of it.
        lost: Acknowledged writes that the database does not hold.
        doubled: Writes that it holds more than once.
        untrue: Writes that it holds though their caller was told "not run".
    """

    own_writes: int = 0
    backwards: int = 0
    lost: int = 0
    doubled: int = 0
    untrue: int = 0

    @property
    def total(self) -> int:
        """All violations."""
        return sum(attrs.astuple(self))


def check(
    operations: list[Operation], stored: list[tuple[str, int]]
) -> Verdict:
    """Returns how often each promise was broken.

    Values of a key only grow, each write is unique, and a session sends one
    request at a time.

    Args:
        operations: All requests, in the order of their answers.
        stored: The database's log at the end: pairs of a key and a value.
    """
    verdict = Verdict()
    counts: dict[tuple[str, int], int] = {}
    for pair in stored:
        counts[pair] = counts.get(pair, 0) + 1
    verdict.doubled = sum(n - 1 for n in counts.values())
    floor: dict[tuple[str, str], int] = {}
    seen: dict[tuple[str, str], int] = {}
    for op in operations:
        place = (op.session, op.key)
        if op.is_write:
            held = (op.key, op.value) in counts
            if op.outcome is decisions.Outcome.RAN:
                verdict.lost += not held
                floor[place] = max(floor.get(place, 0), op.value)
            elif op.outcome is decisions.Outcome.NOT_RUN:
                verdict.untrue += held
        elif op.outcome is decisions.Outcome.RAN:
            verdict.own_writes += op.value < floor.get(place, 0)
            verdict.backwards += op.value < seen.get(place, 0)
            seen[place] = max(seen.get(place, 0), op.value)
    return verdict
