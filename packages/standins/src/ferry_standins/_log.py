"""A member's log, terms and replication, independent of any protocol.

`Replica` holds the state that survives a restart of a member: its log and its
promises. `Group` replicates entries from the primary to the other members and
delays or drops them as its faults tell.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions


class RefusedError(Exception):
    """The order contradicts the member's promises or its log."""


@attrs.frozen(slots=True)
class LogStatement:
    """One statement of a log entry.

    Attributes:
        sql: The text of the statement.
        values: The values of its parameters.
    """

    sql: str
    values: tuple[object, ...] = ()


@attrs.frozen(slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
        term: The term of the primary that committed it.
        statements: The statements that it ran.
    """

    term: int
    statements: tuple[LogStatement, ...]


@attrs.define
class Replica:
    """The durable state of one member.

    Attributes:
        name: The member's name.
        log: All entries.
        applied: Number of entries that are visible to reads.
        promised: The highest term that it was fenced at.
        promised_claim_id: The claim that it promised this term to.
        term: The term that it follows or leads.
        start: The index that its log has to reach to be complete in that term.
        complete_term: The last term whose start its log has reached. Its log
            counts only in that term when a new primary is chosen.
        primary: The member that it follows; its own name if it leads.
        last_heard_at: When it last heard from its primary, in seconds.
        truncated: Entries that the last change of primary removed from its
            log.
    """

    name: str
    log: list[LogEntry] = attrs.field(factory=list)
    applied: int = 0
    promised: int = 0
    promised_claim_id: str = ""
    term: int = 0
    start: int = 0
    complete_term: int = 0
    primary: str = ""
    last_heard_at: float = 0.0
    truncated: list[LogEntry] = attrs.field(factory=list)

    @property
    def leads(self) -> bool:
        """Whether it considers itself the primary and is not fenced."""
        return self.primary == self.name and self.promised == self.term

    @property
    def received(self) -> decisions.Position:
        """The end of its log, in its last complete term."""
        return decisions.Position(self.complete_term, len(self.log))

    @property
    def applied_position(self) -> decisions.Position:
        """The position visible to reads, in its last complete term."""
        return decisions.Position(self.complete_term, self.applied)

    def status(
        self, now: float, owner: str, guests: int
    ) -> decisions.MemberStatus:
        """Returns the status that the member reports.

        Args:
            now: The current time, in seconds.
            owner: The node that owns the member.
            guests: Number of connections left over from another owner.
        """
        return decisions.MemberStatus(
            name=self.name,
            promised=self.promised,
            is_primary=self.leads,
            received=self.received,
            applied=self.applied_position,
            term=self.term,
            owner=owner,
            guests=guests,
            upstream_silence_s=0.0 if self.leads else now - self.last_heard_at,
        )

    def clear(self) -> None:
        """Discards the log and the promises."""
        self.log.clear()
        self.truncated.clear()
        self.applied = self.promised = self.term = 0
        self.start = self.complete_term = 0
        self.promised_claim_id = self.primary = ""

    def fence(self, term: int, claim_id: str) -> None:
        """Promises a term to a claim.

        Raises:
            RefusedError: It has promised a later term, or this term to
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
        self.complete_term = term
        self.primary = self.name
        self.applied = len(self.log)

    def follow(
        self, term: int, primary: str, common: int, start: int, end: int = 0
    ) -> bool:
        """Becomes a replica of a primary.

        Args:
            term: The primary's term.
            primary: The primary's name.
            common: How many entries it has in common with the primary.
            start: The index at which the term began.
            end: The end of the primary's log. A member that has lost its own
                may have confirmed any entry up to here.

        Returns:
            Whether entries that were already applied were removed.

        Raises:
            RefusedError: It has promised a later term.
        """
        if term < self.promised:
            raise RefusedError(f"promised {self.promised}")
        if self.term == term and self.primary == primary:
            return False
        has_state = self.term > 0
        self.promised = term
        self.term = term
        self.start = start if has_state else max(start, end)
        self.primary = primary
        self.truncated = self.log[common:]
        del self.log[common:]
        was_truncated = self.applied > len(self.log)
        self.applied = min(self.applied, len(self.log))
        self._update_complete_term()
        return was_truncated

    def _update_complete_term(self) -> None:
        """Marks the followed term complete once its start is reached."""
        if len(self.log) >= self.start:
            self.complete_term = self.term

    def append(self, statements: tuple[LogStatement, ...]) -> None:
        """Appends an entry as the primary.

        Raises:
            RefusedError: It is not the primary.
        """
        if not self.leads:
            raise RefusedError("not the primary")
        self.log.append(LogEntry(self.term, statements))
        self.applied = len(self.log)

    def receive(
        self, term: int, primary: str, entries: list[LogEntry], base: int
    ) -> bool:
        """Appends the entries that are missing from the log.

        Args:
            term: The term of the sender.
            primary: The name of the sender.
            entries: Entries of the sender's log.
            base: The index of the first of them.

        Returns:
            Whether they were accepted.
        """
        if term < self.promised or term != self.term:
            return False
        if primary != self.primary or base > len(self.log):
            return False
        missing = entries[len(self.log) - base :]
        self.log.extend(missing)
        self._update_complete_term()
        return True


@attrs.define
class LinkFaults:
    """Delays and cuts of the replication between members.

    Attributes:
        delay_s: Time for entries to reach a replica, in seconds.
        apply_s: Time from receiving an entry to applying it, in seconds.
        cut: Pairs of members that cannot reach each other.
    """

    delay_s: float = 0.002
    apply_s: float = 0.0
    cut: set[frozenset[str]] = attrs.field(factory=set)


class Group:
    """Replicates entries between the members of one database."""

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
            on_apply: Called with the index up to which the member may apply
                entries.
        """
        self._members[member.name] = member
        self._on_apply[member.name] = on_apply

    def subscribe(self, on_received: Callable[[str], object]) -> None:
        """Registers a callback for members that received entries.

        Args:
            on_received: Called with the name of the member.
        """
        self._on_received.append(on_received)

    def set_down(self, name: str, down: bool) -> None:
        """Excludes a member from replication, or includes it again."""
        (self._down.add if down else self._down.discard)(name)

    def common_prefix(self, name: str, primary: str) -> int:
        """Returns how many entries a member has in common with a primary.

        Raises:
            RefusedError: The member cannot reach the primary.
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

    def log_end(self, name: str) -> int:
        """Returns the number of entries in a member's log."""
        return len(self._members[name].log)

    def send_committed(self, name: str) -> None:
        """Sends the committed entries of a primary to the other members."""
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
            lambda: self._deliver(source, target, term, entries, base),
        )

    def _deliver(
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
        on_apply = self._on_apply[target.name]
        if self.faults.apply_s <= 0:
            on_apply(index)
        else:
            self._timers.after(self.faults.apply_s, lambda: on_apply(index))
