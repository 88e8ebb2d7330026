"""Checks results that callers saw against the contents of the database."""

import attrs
import ferry_decisions as decisions


@attrs.frozen
class Operation:
    """One request of one session.

    Attributes:
        session: Name of the session that sent the request.
        key: The key that it wrote or read.
        value: The value that it wrote or read.
        is_write: Whether it is a write.
        begun: When it was sent, in seconds.
        ended: When its reply arrived, in seconds.
        outcome: The outcome that was reported to the caller.
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
    """Number of violations of each consistency guarantee.

    The names of the attributes appear in benchmark reports.

    Attributes:
        own_writes: Reads that missed an earlier write of the same session.
        backwards: Reads older than an earlier read of the same session.
        lost: Acknowledged writes that the database does not contain.
        doubled: Writes that the database contains more than once.
        untrue: Writes that the database contains although their caller was
            told "not run".
    """

    own_writes: int = 0
    backwards: int = 0
    lost: int = 0
    doubled: int = 0
    untrue: int = 0

    @property
    def total(self) -> int:
        """Number of violations of any guarantee."""
        return sum(attrs.astuple(self))


def check(
    operations: list[Operation], stored: list[tuple[str, int]]
) -> Verdict:
    """Counts violations of the consistency guarantees.

    Assumes that the values of a key only grow, that each write is unique and
    that a session sends one request at a time.

    Args:
        operations: All requests, in the order of their replies.
        stored: The final log of the database, as pairs of a key and a value.
    """
    verdict = Verdict()
    counts: dict[tuple[str, int], int] = {}
    for entry in stored:
        counts[entry] = counts.get(entry, 0) + 1
    verdict.doubled = sum(count - 1 for count in counts.values())
    floor: dict[tuple[str, str], int] = {}
    seen: dict[tuple[str, str], int] = {}
    for op in operations:
        session_key = (op.session, op.key)
        if op.is_write:
            is_stored = (op.key, op.value) in counts
            if op.outcome is decisions.Outcome.RAN:
                verdict.lost += not is_stored
                floor[session_key] = max(floor.get(session_key, 0), op.value)
            elif op.outcome is decisions.Outcome.NOT_RUN:
                verdict.untrue += is_stored
        elif op.outcome is decisions.Outcome.RAN:
            verdict.own_writes += op.value < floor.get(session_key, 0)
            verdict.backwards += op.value < seen.get(session_key, 0)
            seen[session_key] = max(seen.get(session_key, 0), op.value)
    return verdict
