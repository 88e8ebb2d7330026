"""One connection to a stand-in member: its statements and transaction."""

import collections
from collections.abc import Callable
import json
import re
import typing

import attrs
import ferry_decisions as decisions
import ferry_node as node
from ferry_node import _wire
import ferry_runtime as runtime

from ferry_standins import _control
from ferry_standins import _log
from ferry_standins import _sql

if typing.TYPE_CHECKING:
    from ferry_standins import _member

READ_ONLY = "25006"
STALE_TERM = "57P04"
NOT_OWNER = "57P05"
CANCELED = "57014"
REFUSED = "55000"
TOO_MANY = "53300"
LOCK_TIMEOUT = "55P03"
CONTROL_SUFFIX = "-control"
_CONTROL = re.compile(
    r"select\s+" + node.CONTROL_FUNCTION + r"\('(.*)'\)\s*;?\s*$", re.I | re.S
)
_WRITES = frozenset({"INSERT", "UPDATE", "DELETE", "CREATE", "DROP", "ALTER"})


@attrs.define(slots=True)
class _Prepared:
    """The unnamed statement or portal of a session."""

    sql: str = ""
    values: tuple[typing.Any, ...] = ()


class Session:
    """One connection to a member."""

    def __init__(
        self, member: "_member.Member", stream: runtime.Stream
    ) -> None:
        self._member = member
        self._stream = stream
        self._decoder = _wire.CallerDecoder()
        self._started = False
        self._queue: collections.deque[_wire.Message] = collections.deque()
        self._working = False
        self._status = "I"
        self._read_only = False
        self._entry: list[_log.LogStatement] = []
        self._statements: dict[str, str] = {}
        self._types: dict[str, list[int]] = {}
        self._portals: dict[str, _Prepared] = {}
        self._skipping = False
        self._canceled = False
        self._position = ""
        self._term = 0
        self.process_id = next(member.process_ids)
        self.is_control = False
        self.owner = ""
        stream.on_data = self._receive
        stream.on_closed = lambda _: self._gone()

    @property
    def is_running(self) -> bool:
        """Whether a statement is under way."""
        return self._working

    def blackhole(self) -> None:
        """Takes and gives nothing from now on, as if the way were lost."""
        self._stream.pause()

    def close(self) -> None:
        """Ends the connection."""
        self._stream.close()
        self._gone()

    def _gone(self) -> None:
        self._member.sessions.discard(self)
        if self._member.lock_holder() is self:
            self._roll_back()

    def _receive(self, data: bytes) -> None:
        if self._member.faults.silent:
            return
        try:
            for msg in self._decoder.feed(data):
                if self._started:
                    self._queue.append(msg)
                else:
                    self._start(msg)
        except _wire.MalformedMessageError:
            self.close()
            return
        self._work()

    def _start(self, msg: _wire.Message) -> None:
        if isinstance(msg, _wire.CancelRequest):
            self._member.cancel(msg.process_id)
            self.close()
            return
        if not isinstance(msg, _wire.StartupMessage):
            self._stream.send(_wire.encode_tls_answer(False))
            return
        member = self._member
        self.is_control = msg.params.get("user", "").endswith(CONTROL_SUFFIX)
        given = int(msg.params.get(_wire.TERM_PARAMETER, "0"))
        self._term = given or member.replica.term
        if len(member.sessions) >= member.max_connections:
            self._refuse(TOO_MANY, "too many connections")
            return
        if not self.is_control and self._is_stale():
            self._refuse(STALE_TERM, "stale term")
            return
        self.owner = msg.params.get(_wire.OWNER_PARAMETER, "")
        if self.owner and self.owner != member.owner_id:
            self._refuse(NOT_OWNER, "owned by another node")
            return
        member.sessions.add(self)
        member.peak_connections = max(
            member.peak_connections, len(member.sessions)
        )
        self._started = True
        self._decoder.expect_statements()
        self._stream.send(
            _wire.encode_login_ok(
                {"server_version": "15.0"}, self.process_id, b"\0\0\0\0"
            )
        )

    def _refuse(self, sqlstate: str, message: str) -> None:
        self._stream.send(_wire.encode_sqlstate(sqlstate, message))
        self._stream.close_when_sent()

    def _is_stale(self) -> bool:
        return self._term != self._member.replica.term

    def _work(self) -> None:
        """Takes queued messages in order, one after another."""
        while self._queue and not self._working:
            self._take(self._queue.popleft())

    def _take(self, msg: _wire.Message) -> None:
        if self._skipping and not isinstance(msg, _wire.Sync):
            return
        match msg:
            case _wire.Query():
                self._simple(msg.query_string)
            case _wire.Parse():
                self._statements[msg.statement] = msg.query
                self._types[msg.statement] = msg.param_types
                self._stream.send(_wire.PARSE_COMPLETE_BYTES)
            case _wire.Bind():
                self._bind(msg)
            case _wire.Describe():
                self._describe(msg)
            case _wire.Execute():
                self._execute(msg)
            case _wire.Close():
                self._stream.send(_wire.CLOSE_COMPLETE_BYTES)
            case _wire.Sync():
                self._skipping = False
                self._ready()
            case _wire.Terminate():
                self.close()

    def _simple(self, sql: str) -> None:
        found = _CONTROL.match(sql)
        if found and self.is_control:
            _control.run(self._member, self, found[1].replace("''", "'"))
            return
        parts = [p.strip() for p in sql.split(";") if p.strip()]
        if not parts:
            self._stream.send(_wire.EMPTY_QUERY)
            self._ready()
            return
        self._begin_work(lambda: self._run_parts(parts))

    def _run_parts(self, parts: list[str]) -> None:
        for part in parts:
            if not self._run(part, (), described=False):
                break
        self._end_work()
        self._ready()

    def _begin_work(self, work: Callable[[], None]) -> None:
        """Runs work after the statement's time and the member's lock."""
        self._working = True

        def locked() -> None:
            self._member.with_lock(self, work)

        if self._member.faults.statement_s > 0:
            self._member.loop.after(self._member.faults.statement_s, locked)
        else:
            locked()

    def cancel(self) -> None:
        """Ends the statement that is under way, if it has not run yet."""
        if self._working:
            self._canceled = True

    def _end_work(self) -> None:
        self._working = False
        if self._queue:
            self._member.loop.call_soon(self._work)

    def fail_lock_timeout(self) -> None:
        """Ends a statement that waited too long for the lock."""
        self._fail(LOCK_TIMEOUT, "lock timeout")
        self._end_work()
        if not self._skipping:
            self._ready()

    def _bind(self, msg: _wire.Bind) -> None:
        sql = self._statements.get(msg.statement)
        if sql is None:
            self._fail("26000", f"no statement {msg.statement!r}")
            self._skipping = True
            return
        values = _sql.bound_values(msg, self._types.get(msg.statement, []))
        self._portals[msg.portal] = _Prepared(sql, values)
        self._stream.send(_wire.BIND_COMPLETE_BYTES)

    def _describe(self, msg: _wire.Describe) -> None:
        if msg.kind == "S":
            sql = self._statements.get(msg.name, "")
            count = len(set(_sql.PARAMETER.findall(sql)))
            oids = [_wire.TEXT_OID] * count
            self._stream.send(_wire.encode_parameter_description(oids))
            self._stream.send(_wire.NO_DATA_BYTES)

    def _execute(self, msg: _wire.Execute) -> None:
        portal = self._portals.get(msg.portal)
        if portal is None:
            self._fail("34000", "no portal")
            self._skipping = True
            return

        def work() -> None:
            if not self._run(portal.sql, portal.values, described=True):
                self._skipping = True
            self._end_work()

        self._begin_work(work)

    def _run(
        self, sql: str, values: tuple[typing.Any, ...], described: bool
    ) -> bool:
        """Runs one statement and sends its result; returns its success."""
        if self._stream.closed or self._member.faults.silent:
            return False
        try:
            self._check_canceled()
            self._check_term()
            result = self._run_checked(sql, values)
        except _sql.SqlError as exc:
            self._fail(exc.sqlstate, str(exc))
            return False
        except _log.RefusedError as exc:
            self._fail(STALE_TERM, str(exc))
            return False
        if result.columns:
            self._send_rows(result)
        elif described:
            self._stream.send(_wire.NO_DATA_BYTES)
        self._stream.send(_wire.encode_command_complete(result.tag))
        return True

    def _check_canceled(self) -> None:
        canceled, self._canceled = self._canceled, False
        if canceled:
            raise _sql.SqlError(CANCELED, "canceling statement")

    def _check_term(self) -> None:
        if not self.is_control and self._is_stale():
            raise _sql.SqlError(STALE_TERM, "stale term")

    def _run_checked(
        self, sql: str, values: tuple[typing.Any, ...]
    ) -> _sql.Result:
        word = _sql.first_word(sql)
        if self._status == "E" and word not in ("ROLLBACK", "COMMIT"):
            raise _sql.SqlError("25P02", "transaction is aborted")
        if word in ("BEGIN", "START"):
            return self._begin(sql)
        if word in ("COMMIT", "END", "ROLLBACK", "ABORT"):
            return self._finish(word)
        if word in ("DISCARD", "SET", "RESET"):
            if word == "DISCARD" and self._status != "I":
                self._roll_back()
            return _sql.Result([], [], word)
        if word in _WRITES:
            return self._write(sql, values)
        return self._member.run(sql, values)

    def _begin(self, sql: str) -> _sql.Result:
        if self._status == "I":
            self._status = "T"
            self._read_only = "READ ONLY" in sql.upper()
            self._member.run("BEGIN", ())
            self._member.set_lock_holder(self)
        return _sql.Result([], [], "BEGIN")

    def _finish(self, word: str) -> _sql.Result:
        if self._status == "I":
            return _sql.Result([], [], word)
        commits = word in ("COMMIT", "END") and self._status == "T"
        if not commits:
            self._roll_back()
            return _sql.Result([], [], "ROLLBACK")
        entry, self._entry = self._entry, []
        self._member.run("COMMIT", ())
        self._status = "I"
        if entry:
            self._commit(entry)
        self._member.set_lock_holder(None)
        return _sql.Result([], [], "COMMIT")

    def _write(self, sql: str, values: tuple[typing.Any, ...]) -> _sql.Result:
        if self._read_only or not self._member.replica.leads:
            raise _sql.SqlError(READ_ONLY, "cannot write on a replica")
        result = self._member.run(sql, values)
        statement = _log.LogStatement(_sql.PARAMETER.sub(r"?\1", sql), values)
        if self._status == "T":
            self._entry.append(statement)
        else:
            self._commit([statement])
        return result

    def _commit(self, entry: list[_log.LogStatement]) -> None:
        self._member.replica.append(tuple(entry))
        self._member.group.committed(self._member.name)

    def _roll_back(self) -> None:
        self._entry = []
        if self._status != "I":
            self._member.run("ROLLBACK", ())
        self._status = "I"
        self._read_only = False
        if self._member.lock_holder() is self:
            self._member.set_lock_holder(None)

    def _send_rows(self, result: _sql.Result) -> None:
        oids = [_sql.type_oid(v) for v in result.rows[0]] if result.rows else []
        oids = oids or [_wire.TEXT_OID] * len(result.columns)
        parts = [_wire.encode_row_description(result.columns, oids)]
        for row in result.rows:
            parts.append(
                _wire.encode_data_row([_sql.column_text(v) for v in row])
            )
        self._stream.send(b"".join(parts))

    def _fail(self, sqlstate: str, message: str) -> None:
        if self._status == "T":
            self._status = "E"
        self._stream.send(_wire.encode_sqlstate(sqlstate, message))

    def _ready(self) -> None:
        if self._member.faults.silent:
            return
        if self._status == "I":
            self._read_only = False
        position = str(self._member.replica.shown)
        if position != self._position and not self.is_control:
            self._position = position
            self._stream.send(
                _wire.encode_parameter(_wire.POSITION_PARAMETER, position)
            )
        self._stream.send(_wire.encode_ready(self._status))

    def refuse_control(self, detail: str) -> None:
        """Answers a control statement with a refusal."""
        self._fail(REFUSED, detail)
        self._ready()

    def answer_status(self) -> None:
        """Answers a control statement with the member's status."""
        if self._stream.closed or self._member.faults.silent:
            return
        self.answer_value(decisions.unstructure(self._member.status()))

    def answer_value(self, value: object) -> None:
        """Answers a control statement with a JSON value."""
        self._send_rows(
            _sql.Result(["value"], [(json.dumps(value),)], "SELECT 1")
        )
        self._stream.send(_wire.encode_command_complete("SELECT 1"))
        self._ready()
