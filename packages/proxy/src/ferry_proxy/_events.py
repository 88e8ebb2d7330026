"""The log's events: one JSON line each, typed, and bounded in number.

A line names its event and its fields; times are in seconds. Lines go to
standard output and never block: what a stalled reader does not take is left
out and counted. Ordinary requests have a budget of lines a second; failures
have one of their own.

Events and messages have no `repr` of their own: each that attrs generates costs
0.4 ms of a node's start.
"""

import json
import math
import os
import sys
import time

import attrs
import ferry_decisions as decisions

REQUESTS_PER_S = 5.0  # Lines for requests that went well.
FAILURES_PER_S = 40.0  # Lines for what was refused or failed.
BURST_S = 2.0  # Seconds of budget that may be saved up.


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStarted:
    """A process began."""

    data_centre: str


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStopping:
    """A planned stop began."""

    sessions: int


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStopped:
    """A process ends; `cut` counts sessions that were still busy."""

    cut: int


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeRemoved:
    """A node that has long been out of reach is taken off the list."""

    name: str


@attrs.frozen(slots=True, repr=False, eq=False)
class SettingsReloaded:
    """The settings were read again."""

    changed: bool


@attrs.frozen(slots=True, repr=False, eq=False)
class Ready:
    """The node began or ceased to want new sessions."""

    ready: bool
    why: str


@attrs.frozen(slots=True, repr=False, eq=False)
class DependencyLost:
    """Something that the node needs does not answer."""

    name: str
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class DependencyBack:
    """It answers again."""

    name: str


@attrs.frozen(slots=True, repr=False, eq=False)
class StoreRestored:
    """The store came back from an older copy; `source` tells who said so."""

    era: int
    source: str


@attrs.frozen(slots=True, repr=False, eq=False)
class ItemsRead:
    """All items were read, since changes could not be followed.

    Attributes:
        source: The store or a peer.
        era: The era in which they were answered.
        revision: The number at which they were answered.
        known_era: The era up to which the node had known all changes.
        known: The number up to which it had.
        items: How many there are.
        passed_over: How many of them the node held to be no newer than its
            own.
    """

    source: str
    era: int
    revision: int
    known_era: int
    known: int
    items: int
    passed_over: int


@attrs.frozen(slots=True, repr=False, eq=False)
class ConfigurationTaken:
    """A configuration is in force; `source` is the store or a peer."""

    version: int
    era: int
    revision: int
    source: str


@attrs.frozen(slots=True, repr=False, eq=False)
class RefusedByConfiguration:
    """A caller was refused what the configuration does not allow.

    Attributes:
        reason: The name of the reason.
        subject: The database, or what stands for the caller's key.
        doubt: Why it was not refused for good; empty if it was.
        evidence: What the configuration's age was judged by.
    """

    reason: str
    subject: str
    doubt: str
    evidence: attrs.AttrsInstance


@attrs.frozen(slots=True, repr=False, eq=False)
class DocumentRefused:
    """A document in the store is invalid and was passed over."""

    key: str
    revision: int
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class TeamsPassedOver:
    """Teams or keys of a configuration that is in force name nobody to use."""

    version: int
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class LimitUsed:
    """What a node gave of a team's limit in half a second.

    Attributes:
        team: The team.
        share: The part of all limits that the node gives out.
        use: What it gave, to whom, and what a new bucket began with.
    """

    team: str
    share: float
    use: attrs.AttrsInstance


@attrs.frozen(slots=True, repr=False, eq=False)
class MemberChanged:
    """A member appeared, changed or went."""

    member: str
    service: str
    change: str


@attrs.frozen(slots=True, repr=False, eq=False)
class LeaderFound:
    """A primary is followed from now on."""

    service: str
    member: str
    term: int


@attrs.frozen(slots=True, repr=False, eq=False)
class LeaderLost:
    """The primary that was followed leads no more."""

    service: str
    member: str
    term: int


@attrs.frozen(slots=True, repr=False, eq=False)
class PrimarySuspected:
    """A change of primary is wanted; `peers` counts those who agree."""

    service: str
    member: str
    why: str
    silence_s: float
    peers: int


@attrs.frozen(slots=True, repr=False, eq=False)
class PromotionStep:
    """A step of a change of primary."""

    service: str
    step: str
    token: int
    member: str
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class RequestDone:
    """The outcome of a request, and what decided it.

    `via` names the serving node that it was forwarded to, if it was.
    """

    request: str
    session: int
    team: str
    route: str
    kind: str
    outcome: str
    detail: str
    via: str
    member: str
    elapsed_s: float
    waited_s: float
    attempts: int


@attrs.frozen(slots=True, repr=False, eq=False)
class RequestServed:
    """What a serving node did for a request of another node, its entry."""

    request: str
    entry: str
    team: str
    service: str
    outcome: str
    detail: str
    member: str
    elapsed_s: float
    attempts: int


@attrs.frozen(slots=True, repr=False, eq=False)
class LinesLeftOut:
    """How many lines were left out since the last such line."""

    requests: int
    failures: int
    blocked: int


_SUCCESSES = (RequestDone, RequestServed)
_BOUNDED = (*_SUCCESSES, DocumentRefused, RefusedByConfiguration)


class _Budget:
    """A number of lines a second."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s * BURST_S
        self._at = time.monotonic()

    def take(self) -> bool:
        """Whether one more line is within the budget."""
        now = time.monotonic()
        gained = (now - self._at) * self._per_s
        self._left = min(self._per_s * BURST_S, self._left + gained)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class EventLog:
    """Writes events as lines, within budgets and without blocking."""

    def __init__(self, node: str, fd: int | None = None) -> None:
        self._node = node
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._requests = _Budget(REQUESTS_PER_S)
        self._failures = _Budget(FAILURES_PER_S)
        self._rest = b""
        self._left_out = _zero()
        self._report_at = 0.0

    def write(self, event: attrs.AttrsInstance) -> None:
        """Writes an event, if its budget allows."""
        if isinstance(event, _BOUNDED) and not self._allowed(event):
            return
        now = time.monotonic()
        if any(self._left_out.values()) and now >= self._report_at:
            self._report_at = now + 1.0
            counts, self._left_out = self._left_out, _zero()
            self._line(LinesLeftOut(**counts))
        self._line(event)

    def _allowed(self, event: attrs.AttrsInstance) -> bool:
        went_well = isinstance(event, _SUCCESSES) and event.outcome == "ran"
        budget = self._requests if went_well else self._failures
        if budget.take():
            return True
        self._left_out["requests" if went_well else "failures"] += 1
        return False

    def _line(self, event: attrs.AttrsInstance) -> None:
        fields = {
            "at": round(time.time(), 4),
            "node": self._node,
            "event": type(event).__name__,
            **attrs.asdict(event, value_serializer=_json_value),
        }
        data = self._rest + json.dumps(fields, default=str).encode() + b"\n"
        try:
            sent = os.write(self._fd, data)
        except OSError:  # Most often: nobody reads, and the pipe is full.
            self._left_out["blocked"] += 1
            return
        # The rest of a half-written line goes before the next one.
        self._rest = data[sent:]


def _json_value(_: object, __: object, value: object) -> object:
    """Returns a value that JSON has: None for an infinite number."""
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _zero() -> dict[str, int]:
    return {"requests": 0, "failures": 0, "blocked": 0}


_logs: list[EventLog] = []


def start_log(log: EventLog) -> None:
    """Sends this process's events to a log."""
    _logs[:] = [log]


def emit(event: attrs.AttrsInstance) -> None:
    """Writes an event to the process's log; without one, to absl's."""
    for log in _logs:
        log.write(event)
    if not _logs:
        decisions.log_debug("%s %s", type(event).__name__, attrs.asdict(event))
