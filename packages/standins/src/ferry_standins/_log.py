"""A member's log, terms and replication, without any protocol.

`Replica` holds what survives a restart of a member: its log and what it has
promised. `Group` carries entries from the primary to the others, late, never,
or not at all, as its faults say.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions


class RefusedError(Exception):
    """The member has promised otherwise."""


@attrs.frozen(slots=True)
class LogStatement:
    """One statement of a log entry.

    Attributes:
        sql: Its text.
        values: Its parameters.
    """

    sql: str
    values: tuple[object, ...] = ()


@attrs.frozen(slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
        term: The term of the primary that committed it.
        statements: What it did.
    """

    term: int
    statements: tuple[LogStatement, ...]


@attrs.define
class Replica:
    """The durable state of one member.

    Attributes:
        name: The member's name.
        log: All entries.
        applied: How many of them its reads show.
        promised: The highest term it was fenced at.
        promised_claim_id: The claim that it promised to.
        term: The term that it follows or leads.
        start: The index at which that term began.
        whole: The last term whose start its log has reached. Only in that
            term does its log count when a successor is chosen.
        primary: The member that it follows; its own name if it leads.
        last_heard_at: When it last heard from its primary, in seconds.
        cut: Entries that a promotion cut from its log.
    """

    name: str
    log: list[LogEntry] = attrs.field(factory=list)
    applied: int = 0
    promised: int = 0
    promised_claim_id: str = ""
    term: int = 0
    start: int = 0
    whole: int = 0
    primary: str = ""
    last_heard_at: float = 0.0
    cut: list[LogEntry] = attrs.field(factory=list)

    @property
    def leads(self) -> bool:
        """Whether it believes that it is the primary, unfenced."""
        return self.primary == self.name and self.promised == self.term

    @property
    def received(self) -> decisions.Position:
        """How much it holds of the history of its last whole term."""
        return decisions.Position(self.whole, len(self.log))

    @property
    def shown(self) -> decisions.Position:
        """What its reads show, in its last whole term."""
        return decisions.Position(self.whole, self.applied)

    def status(
        self, now: float, owner: str, guests: int
    ) -> decisions.MemberStatus:
        """Returns what the member says of itself.

        Args:
            now: The time in seconds.
            owner: The node that owns the member.
            guests: Connections that another owner has left.
        """
        return decisions.MemberStatus(
            name=self.name,
            promised=self.promised,
            is_primary=self.leads,
            received=self.received,
            applied=self.shown,
            term=self.term,
            owner=owner,
            guests=guests,
            upstream_silence_s=0.0 if self.leads else now - self.last_heard_at,
        )

    def fence(self, term: int, claim_id: str) -> None:
        """Promises a term to a claim.

        Raises:
            RefusedError: It has promised a later term, or this one to
                another claim.
        """
        if term < self.promised:
            raise RefusedError(f"promised {self.promised}")
        if term == self.promised and claim_id != self.promised_claim_id:
            raise RefusedError(f"promised {term} to another claim")
        self.promised = term
        self.promised_claim_id = claim_id

    def lead(self, term: int, start: int) -> None:
        """Becomes the primary of a term.

        Raises:
            RefusedError: It has promised a later term or lacks entries.
        """
        if term < self.promised or len(self.log) < start:
            raise RefusedError(f"promised {self.promised}")
        self.promised = term
        self.term = term
        self.start = start
        self.whole = term
        self.primary = self.name
        self.applied = len(self.log)

    def follow(self, term: int, primary: str, common: int, start: int) -> bool:
        """Becomes a replica; returns whether what it shows was cut.

        Args:
            term: The primary's term.
            primary: The primary's name.
            common: How many entries it has in common with the primary.
            start: The index at which the term began.

        Raises:
            RefusedError: It has promised a later term.
        """
        if term < self.promised:
            raise RefusedError(f"promised {self.promised}")
        if self.term == term and self.primary == primary:
            return False
        self.promised = term
        self.term = term
        self.start = start
        self.primary = primary
        self.cut = self.log[common:]
        del self.log[common:]
        was_truncated = self.applied > len(self.log)
        self.applied = min(self.applied, len(self.log))
        self._update_complete_term()
        return was_truncated

    def _update_complete_term(self) -> None:
        """Counts in the followed term once its start is reached."""
        if len(self.log) >= self.start:
            self.whole = self.term

    def append(self, statements: tuple[LogStatement, ...]) -> None:
        """Adds an entry as the primary.

        Raises:
            RefusedError: It does not lead.
        """
        if not self.leads:
            raise RefusedError("not the primary")
        self.log.append(LogEntry(self.term, statements))
        self.applied = len(self.log)

    def receive(
        self, term: int, primary: str, entries: list[LogEntry], base: int
    ) -> bool:
        """Takes entries from a primary; returns whether it took them."""
        if term < self.promised or term != self.term:
            return False
        if primary != self.primary or base > len(self.log):
            return False
        fresh = entries[len(self.log) - base :]
        self.log.extend(fresh)
        self._update_complete_term()
        return True


@attrs.define
class LinkFaults:
    """What is wrong between members, and at each.

    Attributes:
        delay_s: Time for entries to reach a replica, in seconds.
        apply_s: Time from receiving an entry to showing it, in seconds.
        cut: Pairs of members between which nothing gets through.
    """

    delay_s: float = 0.002
    apply_s: float = 0.0
    cut: set[frozenset[str]] = attrs.field(factory=set)


class Group:
    """Replication between the members of one database."""

    def __init__(
        self,
        timers: decisions.TimerService,
        faults: LinkFaults,
        heartbeat_s: float = 0.1,
    ) -> None:
        self.faults = faults
        self._timers = timers
        self._members: dict[str, Replica] = {}
        self._on_received: list[Callable[[str], object]] = []
        self._on_apply: dict[str, Callable[[int], object]] = {}
        self._down: set[str] = set()
        self._timer = decisions.PeriodicTimer(
            timers, heartbeat_s, self._send_all
        )

    def add(self, member: Replica, on_apply: Callable[[int], object]) -> None:
        """Adds a member.

        Args:
            member: The member.
            on_apply: Called with the index up to which it may apply.
        """
        self._members[member.name] = member
        self._on_apply[member.name] = on_apply

    def subscribe(self, on_received: Callable[[str], object]) -> None:
        """Calls back with a member's name after it received entries."""
        self._on_received.append(on_received)

    def set_down(self, name: str, down: bool) -> None:
        """Stops or starts a member's part in replication."""
        (self._down.add if down else self._down.discard)(name)

    def common_prefix(self, name: str, primary: str) -> int:
        """Returns how many entries a member has in common with a primary.

        Raises:
            RefusedError: The primary is out of its reach.
        """
        target, source = self._members[name], self._members[primary]
        if not self._reachable(source, target):
            raise RefusedError(f"{primary} is out of reach")
        count = 0
        for own, other in zip(target.log, source.log, strict=False):
            if own is not other:
                break
            count += 1
        return count

    def committed(self, name: str) -> None:
        """Sends what a primary has committed."""
        self._send_from(self._members[name])

    def close(self) -> None:
        """Stops replication."""
        self._timer.stop()

    def _send_all(self) -> None:
        for member in self._members.values():
            if member.leads:
                self._send_from(member)

    def _send_from(self, source: Replica) -> None:
        if source.name in self._down:
            return
        for target in self._members.values():
            if target is not source and self._reachable(source, target):
                self._send(source, target)

    def _reachable(self, source: Replica, target: Replica) -> bool:
        return (
            frozenset((source.name, target.name)) not in self.faults.cut
            and source.name not in self._down
            and target.name not in self._down
        )

    def _send(self, source: Replica, target: Replica) -> None:
        base = min(len(target.log), len(source.log))
        entries = source.log[base:]
        term = source.term
        self._timers.after(
            self.faults.delay_s,
            lambda: self._arrive(source, target, term, entries, base),
        )

    def _arrive(
        self,
        source: Replica,
        target: Replica,
        term: int,
        entries: list[LogEntry],
        base: int,
    ) -> None:
        if not self._reachable(source, target):
            return
        if not target.receive(term, source.name, entries, base):
            return
        target.last_heard_at = self._timers.now()
        for callback in self._on_received:
            callback(target.name)
        index = len(target.log)
        apply = self._on_apply[target.name]
        if self.faults.apply_s <= 0:
            apply(index)
        else:
            self._timers.after(self.faults.apply_s, lambda: apply(index))
