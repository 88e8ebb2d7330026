"""A stand-in for one database member: SQLite in memory behind the protocol."""

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

LOCK_TIMEOUT_S = 5.0


@attrs.define
class MemberFaults:
    """What is wrong with a member at present.

    Attributes:
        silent: Whether it takes requests and answers none.
        statement_s: Time that a statement takes, in seconds.
    """

    silent: bool = False
    statement_s: float = 0.0


class Member:
    """One member: its tables, its log and its connections."""

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
        """Crashes the member: its connections end and its port closes."""
        self.group.set_down(self.name, True)
        self._listener.close()
        for session in list(self.sessions):
            session.close()

    def restart(self) -> None:
        """Starts the member again on its old port, with its log."""
        self.group.set_down(self.name, False)
        self._listener = runtime.Listener(
            self.loop, "127.0.0.1", self.port, self._accept
        )

    def status(self) -> decisions.MemberStatus:
        """Returns what the member says of itself."""
        return self.replica.status(
            self.loop.now(), self.owner_id, self.guests()
        )

    def apply_to(self, index: int) -> None:
        """Shows entries up to an index."""
        replica = self.replica
        if replica.leads or self._lock_holder is not None:
            return
        while replica.applied < min(index, len(replica.log)):
            for statement in replica.log[replica.applied].statements:
                self._db.execute(statement.sql, statement.values)
            replica.applied += 1

    def rebuild(self) -> None:
        """Makes the tables anew from the log, after a cut."""
        self._db.close()
        self._db = self._open()
        count = len(self.replica.log)
        self.replica.applied = 0
        self.apply_to(count)

    def own(self, owner: str) -> None:
        """Takes an owner, or is released by its former one."""
        taken = bool(self.owner_id) and bool(owner)
        if taken and owner != self.owner_id:
            self.drop_callers()
        self.owner_id = owner

    def cancel(self, process_id: int) -> None:
        """Ends the statement of a connection, if it has not run yet."""
        for session in self.sessions:
            if session.process_id == process_id:
                session.cancel()

    def is_running(self, process_id: int) -> bool:
        """Whether a connection runs a statement."""
        return any(
            s.process_id == process_id and s.is_running for s in self.sessions
        )

    def guests(self) -> int:
        """Returns how many connections another owner has left."""
        return sum(
            not s.is_control and s.owner != self.owner_id for s in self.sessions
        )

    def drop_callers(self) -> None:
        """Ends the connections of callers, as a change of role does."""
        for session in list(self.sessions):
            if not session.is_control:
                session.close()

    def with_lock(
        self, session: "_session.Session", work: Callable[[], None]
    ) -> None:
        """Runs work once no other session has a transaction open."""
        if self._lock_holder is None or self._lock_holder is session:
            work()
            return
        self._lock_queue.append((session, work))
        self.loop.after(
            LOCK_TIMEOUT_S, lambda: self._lock_expired(session, work)
        )

    def _lock_expired(
        self, session: "_session.Session", work: Callable[[], None]
    ) -> None:
        if (session, work) in self._lock_queue:
            self._lock_queue.remove((session, work))
            session.fail_lock_timeout()

    def set_lock_holder(self, session: "_session.Session | None") -> None:
        """Sets the session that has a transaction open."""
        self._lock_holder = session
        if session is None:
            self.apply_to(len(self.replica.log))
        while self._lock_holder is None and self._lock_queue:
            _, work = self._lock_queue.popleft()
            work()

    def lock_holder(self) -> "_session.Session | None":
        """Returns the session that has a transaction open."""
        return self._lock_holder

    def run(self, sql: str, values: tuple[typing.Any, ...]) -> _sql.Result:
        """Runs one statement on the tables.

        Raises:
            _sql.SqlError: SQLite refused it.
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
        """Answers the waits whose index has been received."""
        have = len(self.replica.log)
        due = [w for w in self.waits if w[0] <= have]
        self.waits = [w for w in self.waits if w[0] > have]
        for _, session in due:
            session.answer_status()
