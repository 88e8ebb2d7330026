"""Floors of sessions that carry no token, kept where their writes pass.

All writes to a primary pass through the node that owns it, so that node knows
the last position of each session's writes for as long as it owns the member.
What it does not know, because the write came before or was forgotten, lies
below one base position.
"""

import collections

from ferry_decisions import _positions

MAX_SESSIONS = 20_000


class SessionFloors:
    """The last acknowledged write of each session, or a bound for it."""

    def __init__(self, max_sessions: int = MAX_SESSIONS) -> None:
        self._max = max_sessions
        self._base = _positions.ZERO_POSITION
        self._floors: collections.OrderedDict[str, _positions.Position] = (
            collections.OrderedDict()
        )

    def restart(self, base: _positions.Position) -> None:
        """Begins anew, with a position that covers all earlier writes."""
        self._base = base
        self._floors.clear()

    def note(self, session: str, position: _positions.Position) -> None:
        """Takes in a write, before its caller is told of it."""
        known = self._floors.pop(session, _positions.ZERO_POSITION)
        self._floors[session] = max(known, position)
        if len(self._floors) > self._max:
            _, forgotten = self._floors.popitem(last=False)
            self._base = max(self._base, forgotten)

    def floor(self, session: str) -> _positions.Position:
        """Returns a position that covers all writes of a session."""
        return max(
            self._base, self._floors.get(session, _positions.ZERO_POSITION)
        )

    def __len__(self) -> int:
        return len(self._floors)
