"""Typed events of the log, written as JSON lines at a bounded rate.

Each line holds the name of an event and its fields; times are in seconds. Lines
are written to standard output without blocking: lines that a stalled reader
does not accept are dropped and counted. Successful requests and failures have
separate budgets of lines a second.

Event and message classes have no generated `repr`: each one that attrs
generates adds 0.4 ms to the start of a node.
"""

import json
import math
import os
import sys
import time

import attrs
import ferry_decisions as decisions

from ferry_proxy import _log_budget

# The budget of lines a second for successful requests.
REQUESTS_PER_S = 5.0

# The budget of lines a second for refusals and failures.
FAILURES_PER_S = 40.0


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStarted:
    """The process of a node has started."""

    data_centre: str


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStopping:
    """A planned stop has started."""

    sessions: int


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeStopped:
    """The process ends; `cut` counts the statements that still ran."""

    cut: int


@attrs.frozen(slots=True, repr=False, eq=False)
class NodeRemoved:
    """A node that was unreachable for long is removed from the list."""

    name: str


@attrs.frozen(slots=True, repr=False, eq=False)
class SettingsReloaded:
    """The settings were reloaded; `changed` tells whether they differ."""

    changed: bool


@attrs.frozen(slots=True, repr=False, eq=False)
class Ready:
    """The node has started or stopped accepting new sessions."""

    ready: bool
    why: str


@attrs.frozen(slots=True, repr=False, eq=False)
class DependencyLost:
    """A dependency of the node does not answer."""

    name: str
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class DependencyBack:
    """A lost dependency answers again."""

    name: str


@attrs.frozen(slots=True, repr=False, eq=False)
class WriteRejected:
    """The store rejected a conditional write, as its condition does not hold.

    Attributes:
        key: The item's key.
        expected: The revision that the item was to have; 0 for none.
        found: The revision that it has, as far as the reply tells.
    """

    key: str
    expected: int
    found: str


@attrs.frozen(slots=True, repr=False, eq=False)
class StoreRestored:
    """The store was restored from an older copy, as `source` reported."""

    era: int
    source: str


@attrs.frozen(slots=True, repr=False, eq=False)
class ItemsRead:
    """All items were read, since the changes could not be followed.

    Attributes:
        source: The store or the peer that they were read from.
        era: The era of the reply.
        revision: The revision number of the reply.
        known_era: The era up to which the node had known all changes.
        known: The revision number up to which it had known them.
        items: The number of items.
        passed_over: The number of items that were no newer than the node's
            own and were ignored.
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
    """A configuration is active now; `source` is the store or a peer."""

    version: int
    era: int
    revision: int
    source: str


@attrs.frozen(slots=True, repr=False, eq=False)
class RefusedByConfiguration:
    """A caller was refused because of the configuration.

    Attributes:
        reason: The name of the reason.
        subject: The database, or the digest of the caller's key.
        doubt: Why the refusal is not final; empty if it is.
        evidence: How the configuration was found to be current or outdated.
    """

    reason: str
    subject: str
    doubt: str
    evidence: attrs.AttrsInstance


@attrs.frozen(slots=True, repr=False, eq=False)
class DocumentRefused:
    """A document in the store is invalid and was ignored."""

    key: str
    revision: int
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class TeamsPassedOver:
    """Teams or keys of the active configuration are unusable."""

    version: int
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class LimitUsed:
    """The use of a team's rate limit at a node in half a second.

    Attributes:
        team: The team.
        share: The share of all limits that the node grants.
        use: The tokens granted, by recipient, and the initial tokens of a new
            bucket.
    """

    team: str
    share: float
    use: attrs.AttrsInstance


@attrs.frozen(slots=True, repr=False, eq=False)
class FeatureChanged:
    """An optional feature is on or off from now on."""

    feature: str
    on: bool


@attrs.frozen(slots=True, repr=False, eq=False)
class MemberChanged:
    """A member was added, changed or removed."""

    member: str
    service: str
    change: str


@attrs.frozen(slots=True, repr=False, eq=False)
class MemberEjected:
    """A member fails statements; others are preferred until it recovers.

    `failure_share` is the share of its recent statements that failed.
    """

    service: str
    member: str
    failure_share: float


@attrs.frozen(slots=True, repr=False, eq=False)
class MemberReturned:
    """An ejected member has served its probes and is used as before."""

    service: str
    member: str
    ejected_s: float


@attrs.frozen(slots=True, repr=False, eq=False)
class LeaderFound:
    """A primary was found, and the node follows it from now on."""

    service: str
    member: str
    term: int


@attrs.frozen(slots=True, repr=False, eq=False)
class LeaderLost:
    """The primary that the node followed is no longer the leader; `why` tells.

    The term is the newest that the node knows.
    """

    service: str
    member: str
    term: int
    why: str


@attrs.frozen(slots=True, repr=False, eq=False)
class RequestDone:
    """The outcome of a request, and how it came about.

    `via` names the serving node that it was forwarded to, if any.
    `retry_after_s` is when its caller was told to return; 0 for no time.
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
    retry_after_s: float = 0.0


@attrs.frozen(slots=True, repr=False, eq=False)
class RequestServed:
    """A serving node has run a request that its `entry` node forwarded."""

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
class SessionStateRefused:
    """A member refused what was to put a session's state in place."""

    request: str
    member: str
    command: str
    reason: str


@attrs.frozen(slots=True, repr=False, eq=False)
class LinesLeftOut:
    """The numbers of lines dropped since the last such line."""

    requests: int
    failures: int
    blocked: int


_SUCCESSES = (RequestDone, RequestServed)
_BOUNDED = (
    *_SUCCESSES,
    DocumentRefused,
    RefusedByConfiguration,
    SessionStateRefused,
)


class EventLog:
    """Writes events as JSON lines, within budgets and without blocking."""

    def __init__(self, node: str, fd: int | None = None) -> None:
        self._node = node
        self._fd = sys.stdout.fileno() if fd is None else fd
        os.set_blocking(self._fd, False)
        self._requests = _log_budget.LogBudget(REQUESTS_PER_S)
        self._failures = _log_budget.LogBudget(FAILURES_PER_S)
        self._unsent = b""
        self._dropped = _zero_counts()
        self._report_at = 0.0

    def write(self, event: attrs.AttrsInstance) -> None:
        """Writes an event, unless its budget is used up."""
        if isinstance(event, _BOUNDED) and not self._is_within_budget(event):
            return
        now = time.monotonic()
        if any(self._dropped.values()) and now >= self._report_at:
            self._report_at = now + 1.0
            counts, self._dropped = self._dropped, _zero_counts()
            self._write_line(LinesLeftOut(**counts))
        self._write_line(event)

    def _is_within_budget(self, event: attrs.AttrsInstance) -> bool:
        succeeded = isinstance(event, _SUCCESSES) and event.outcome == "ran"
        budget = self._requests if succeeded else self._failures
        if budget.take():
            return True
        self._dropped["requests" if succeeded else "failures"] += 1
        return False

    def _write_line(self, event: attrs.AttrsInstance) -> None:
        fields = {
            "at": round(time.time(), 4),
            "node": self._node,
            "event": type(event).__name__,
            **attrs.asdict(event, value_serializer=_json_value),
        }
        data = self._unsent + json.dumps(fields, default=str).encode() + b"\n"
        try:
            sent = os.write(self._fd, data)
        except OSError:  # This is usually a full pipe that nobody reads.
            self._dropped["blocked"] += 1
            return
        # The rest of a partly written line precedes the next line.
        self._unsent = data[sent:]


def _json_value(_: object, __: object, value: object) -> object:
    """Returns a value that JSON can hold: None for infinities and NaN."""
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value


def _zero_counts() -> dict[str, int]:
    return {"requests": 0, "failures": 0, "blocked": 0}


_logs: list[EventLog] = []


def start_log(log: EventLog) -> None:
    """Sends the events of this process to a log."""
    _logs[:] = [log]


def emit(event: attrs.AttrsInstance) -> None:
    """Writes an event to the process's log, or to absl's if there is none."""
    for log in _logs:
        log.write(event)
    if not _logs:
        decisions.log_debug("%s %s", type(event).__name__, attrs.asdict(event))
