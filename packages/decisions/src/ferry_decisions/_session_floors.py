"""Read floors of sessions without a token, kept by the primary's owner.

All writes to a primary pass through the node that owns it. While it owns the
member, that node therefore knows the position of each session's latest write.
Writes that it does not know, because they preceded its ownership or were
evicted, are covered by a single base position.
"""

import collections

from ferry_decisions import _positions

# Maximum number of sessions whose floors are kept individually.
MAX_SESSIONS = 20_000


class SessionFloors:
    """The latest write position of each session, or an upper bound of it."""

    def __init__(self, max_sessions: int = MAX_SESSIONS) -> None:
        self._max = max_sessions
        self._base = _positions.ZERO_POSITION
        self._floors: collections.OrderedDict[str, _positions.Position] = (
            collections.OrderedDict()
        )

    def restart(self, base: _positions.Position) -> None:
        """Clears all floors; `base` has to cover all earlier writes."""
        self._base = base
        self._floors.clear()

    def note(self, session: str, position: _positions.Position) -> None:
        """Records a write; must be called before the write is acknowledged."""
        known = self._floors.pop(session, _positions.ZERO_POSITION)
        self._floors[session] = max(known, position)
        if len(self._floors) > self._max:
            _, evicted = self._floors.popitem(last=False)
            self._base = max(self._base, evicted)

    def floor(self, session: str) -> _positions.Position:
        """Returns a position that covers all writes of the session."""
        return max(
            self._base, self._floors.get(session, _positions.ZERO_POSITION)
        )

    def __len__(self) -> int:
        return len(self._floors)
