"""A fake database member: in-memory SQLite behind the wire protocol."""

import collections
from collections.abc import Callable
import itertools
import sqlite3
import typing

import attrs
import ferry_decisions as decisions
import ferry_runtime as runtime

from ferry_standins import _log
from ferry_standins import _session
from ferry_standins import _sql

# How long a statement waits for the open transaction of another session.
LOCK_TIMEOUT_S = 5.0


@attrs.define
class MemberFaults:
    """The faults that a member currently shows.

    Attributes:
        silent: Whether it accepts requests without answering any.
        statement_s: Delay before each statement runs, in seconds.
    """

    silent: bool = False
    statement_s: float = 0.0


class Member:
    """A member with its tables, its log and its connections.

    Attributes:
        replica: Its log and its promises, which survive a restart.
        faults: The faults that it currently shows.
        sessions: Open connections.
        peak_connections: Largest number of open connections so far.
        owner_id: The node that owns the member; empty for none.
        waits: Control statements that wait for an index, with that index.
    """

    def __init__(
        self,
        loop: runtime.EventLoop,
        name: str,
        group: _log.Group,
        max_connections: int = 35,
    ) -> None:
        self.name = name
        self.replica = _log.Replica(name, last_heard_at=loop.now())
        self.faults = MemberFaults()
        self.loop = loop
        self.group = group
        self.max_connections = max_connections
        self.sessions: set[_session.Session] = set()
        self.peak_connections = 0
        self.owner_id = ""
        self.process_ids = itertools.count(1)
        self.waits: list[tuple[int, _session.Session]] = []
        self._db = self._open()
        self._lock_holder: _session.Session | None = None
        self._lock_queue: collections.deque[
            tuple[_session.Session, Callable[[], None]]
        ] = collections.deque()
        self._listener = runtime.Listener(loop, "127.0.0.1", 0, self._accept)
        self.port = self._listener.port
        group.add(self.replica, self.apply_to)
        group.subscribe(self._received)

    def _open(self) -> sqlite3.Connection:
        return sqlite3.connect(
            ":memory:", isolation_level=None, check_same_thread=False
        )

    def stop(self) -> None:
        """Crashes the member, which closes its connections and its port."""
        self.group.set_down(self.name, True)
        self._listener.close()
        for session in list(self.sessions):
            session.close()

    def restart(self) -> None:
        """Restarts the member on its old port, with its log."""
        self.group.set_down(self.name, False)
        self._listener = runtime.Listener(
            self.loop, "127.0.0.1", self.port, self._accept
        )

    def status(self) -> decisions.MemberStatus:
        """Returns the status that the member reports."""
        return self.replica.status(
            self.loop.now(), self.owner_id, self.guests()
        )

    def apply_to(self, index: int) -> None:
        """Applies log entries to the tables, up to an index."""
        replica = self.replica
        if replica.leads or self._lock_holder is not None:
            return
        while replica.applied < min(index, len(replica.log)):
            for statement in replica.log[replica.applied].statements:
                self._db.execute(statement.sql, statement.values)
            replica.applied += 1

    def rebuild(self) -> None:
        """Rebuilds the tables after applied entries were removed."""
        self._db.close()
        self._db = self._open()
        count = len(self.replica.log)
        self.replica.applied = 0
        self.apply_to(count)

    def own(self, owner: str) -> None:
        """Sets the owner; an empty one releases the member.

        A change to another owner closes the connections of callers.
        """
        is_transfer = bool(self.owner_id) and bool(owner)
        if is_transfer and owner != self.owner_id:
            self.drop_callers()
        self.owner_id = owner

    def cancel(self, process_id: int) -> None:
        """Cancels the statement of a connection if it has not run yet."""
        for session in self.sessions:
            if session.process_id == process_id:
                session.cancel()

    def is_running(self, process_id: int) -> bool:
        """Returns whether a connection is running a statement."""
        return any(
            s.process_id == process_id and s.is_running for s in self.sessions
        )

    def guests(self) -> int:
        """Returns the number of connections left over from other owners."""
        return sum(
            not s.is_control and s.owner != self.owner_id for s in self.sessions
        )

    def drop_callers(self) -> None:
        """Closes the connections of callers, as a change of role does."""
        for session in list(self.sessions):
            if not session.is_control:
                session.close()

    def with_lock(
        self, session: "_session.Session", work: Callable[[], None]
    ) -> None:
        """Runs a callable once no other session has an open transaction."""
        if self._lock_holder is None or self._lock_holder is session:
            work()
            return
        self._lock_queue.append((session, work))
        self.loop.after(
            LOCK_TIMEOUT_S, lambda: self._time_out_lock(session, work)
        )

    def _time_out_lock(
        self, session: "_session.Session", work: Callable[[], None]
    ) -> None:
        if (session, work) in self._lock_queue:
            self._lock_queue.remove((session, work))
            session.fail_lock_timeout()

    def set_lock_holder(self, session: "_session.Session | None") -> None:
        """Sets the session that has an open transaction.

        Without one, the member applies outstanding entries and runs queued
        statements.
        """
        self._lock_holder = session
        if session is None:
            self.apply_to(len(self.replica.log))
        while self._lock_holder is None and self._lock_queue:
            _, work = self._lock_queue.popleft()
            work()

    def lock_holder(self) -> "_session.Session | None":
        """Returns the session that has an open transaction."""
        return self._lock_holder

    def run(self, sql: str, values: tuple[typing.Any, ...]) -> _sql.Result:
        """Runs one statement on the tables.

        Raises:
            _sql.SqlError: SQLite rejected the statement.
        """
        try:
            cursor = self._db.execute(_sql.PARAMETER.sub(r"?\1", sql), values)
            rows = cursor.fetchall()
        except sqlite3.IntegrityError as exc:
            raise _sql.SqlError("23505", str(exc)) from exc
        except sqlite3.Error as exc:
            raise _sql.SqlError("42601", str(exc)) from exc
        columns = [d[0] for d in cursor.description or ()]
        return _sql.Result(
            columns, rows, _sql.command_tag(sql, cursor.rowcount, len(rows))
        )

    def _accept(self, stream: runtime.Stream) -> None:
        _session.Session(self, stream)

    def _received(self, name: str) -> None:
        if name == self.name:
            self.answer_due_waits()

    def answer_due_waits(self) -> None:
        """Replies to the waits whose index has been received."""
        received_count = len(self.replica.log)
        due = [w for w in self.waits if w[0] <= received_count]
        self.waits = [w for w in self.waits if w[0] > received_count]
        for _, session in due:
            session.answer_status()
