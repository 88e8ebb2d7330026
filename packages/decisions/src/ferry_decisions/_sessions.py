"""The state of one caller's session, and the token that carries its floors.

The token is reported to the caller after each change and may be sent back
through any other node. It only ever raises a floor, so a forged one harms
nobody but its bearer's own share of replica reads.
"""

import re

import attrs

from ferry_decisions import _outcomes
from ferry_decisions import _positions

_AGE = re.compile(r"age\s+(?P<number>\d+(?:\.\d+)?)\s*(?P<unit>ms|s|min)")
_UNIT_S = {"ms": 0.001, "s": 1.0, "min": 60.0}
_TOKEN = re.compile(r"[a-z0-9-]+=\d+:\d+(?:,[a-z0-9-]+=\d+:\d+)*")
_SESSION_ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
SETTINGS = ("session", "read", "timeout_ms", "idempotency_key", "session_id")
MAX_KEY_CHARS = 128
MAX_TIMEOUT_MS = 3_600_000


@attrs.frozen(slots=True)
class SessionState:
    """What a session asked for, and what it has seen.

    Attributes:
        floors: Pairs of a database and the position that reads must show. A
            database that is absent has no known floor, and its first read
            goes to the primary.
        staleness_s: Greatest age that its reads accept, in seconds.
        timeout_s: Time that one statement may take, in seconds.
        idempotency_key: Set for the next write; empty when unset.
        session_id: What the session is known by when it comes back without
            a token; empty for its login.
        carries_token: Whether the caller sent a token, and so keeps its
            floors itself.
    """

    floors: tuple[tuple[str, _positions.Position], ...] = ()
    staleness_s: float = 0.0
    timeout_s: float = 10.0
    idempotency_key: str = ""
    session_id: str = ""
    carries_token: bool = False

    def floor(self, database: str) -> _positions.Position | None:
        """Returns the floor in a database; None where it is not known."""
        for name, position in self.floors:
            if name == database:
                return position
        return None

    def with_floor(
        self, database: str, seen: _positions.Position
    ) -> "SessionState":
        """Returns the state after an answer that showed `seen`."""
        known = self.floor(database)
        if known is not None and known >= seen:
            return self
        rest = tuple(pair for pair in self.floors if pair[0] != database)
        return attrs.evolve(self, floors=(*rest, (database, seen)))

    def without_floor(self, database: str) -> "SessionState":
        """Returns the state with no known floor in a database."""
        rest = tuple(pair for pair in self.floors if pair[0] != database)
        return attrs.evolve(self, floors=rest)

    @property
    def token(self) -> str:
        """The floors as a text that `with_token` takes."""
        return ",".join(f"{name}={position}" for name, position in self.floors)

    def with_token(self, text: str) -> "SessionState":
        """Returns the state with its floors raised to those of a token.

        Raises:
            RequestFailedError: The text is no token.
        """
        if not _TOKEN.fullmatch(text):
            raise _invalid("session", "database=term:index[,...]")
        state = attrs.evolve(self, carries_token=True)
        for pair in text.split(","):
            name, _, position = pair.partition("=")
            state = state.with_floor(
                name, _positions.Position.from_text(position)
            )
        return state

    def with_setting(self, name: str, value: str) -> "SessionState":
        """Returns the state after SET rosemaryferry.NAME = VALUE.

        Raises:
            RequestFailedError: The setting is unknown or the value malformed.
        """
        if name == "session":
            return self.with_token(value)
        if name == "read":
            return attrs.evolve(self, staleness_s=parse_staleness(value))
        if name == "timeout_ms":
            return attrs.evolve(self, timeout_s=_milliseconds(value) / 1000)
        if name == "idempotency_key":
            if len(value) > MAX_KEY_CHARS:
                raise _invalid(name, f"at most {MAX_KEY_CHARS} characters")
            return attrs.evolve(self, idempotency_key=value)
        raise _invalid(
            name, "one of session, read, timeout_ms, idempotency_key"
        )

    def setting(self, name: str) -> str:
        """Returns the value that SHOW rosemaryferry.NAME gives.

        Raises:
            RequestFailedError: The setting is unknown.
        """
        values = {
            "session": self.token,
            "read": f"age {self.staleness_s:g}s"
            if self.staleness_s
            else "primary",
            "timeout_ms": f"{self.timeout_s * 1000:.0f}",
            "idempotency_key": self.idempotency_key,
            "session_id": self.session_id,
        }
        if name not in values:
            raise _invalid(name, "one of " + ", ".join(values))
        return values[name]


def parse_staleness(text: str) -> float:
    """Returns the seconds of `age 5s`, `age 200ms`, or 0 for `primary`.

    Raises:
        RequestFailedError: The text has another form.
    """
    if text.strip().lower() == "primary":
        return 0.0
    found = _AGE.fullmatch(text.strip().lower())
    if not found:
        raise _invalid("read", "'primary' or 'age NUMBER[ms|s|min]'")
    return float(found["number"]) * _UNIT_S[found["unit"]]


def _milliseconds(text: str) -> int:
    if text.isdecimal() and 0 < int(text) <= MAX_TIMEOUT_MS:
        return int(text)
    raise _invalid("timeout_ms", f"a whole number from 1 to {MAX_TIMEOUT_MS}")


def _invalid(name: str, expected: str) -> _outcomes.RequestFailedError:
    return _outcomes.RequestFailedError(
        _outcomes.INVALID_SETTING, f"rosemaryferry.{name}: expected {expected}"
    )
