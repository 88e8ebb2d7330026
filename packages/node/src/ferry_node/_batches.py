"""Groups a caller's messages into batches that are run as a unit.

A batch is a simple Query, or all extended-protocol messages up to a Sync or
Flush. Endpoint connections are shared, so a caller's prepared statements are
kept here: each batch that uses a named statement sends it again as the unnamed
one, and the answer to the added Parse is removed from the reply.
"""

import attrs
import ferry_decisions as decisions

from ferry_node import _wire

# Named prepared statements that are kept for one caller.
MAX_STATEMENTS = 10_000


class UnsupportedMessageError(decisions.RequestFailedError):
    """The caller used an unsupported part of the protocol."""

    def __init__(self, detail: str) -> None:
        super().__init__(decisions.UNSUPPORTED, detail)


@attrs.frozen(slots=True)
class Batch:
    """Statements that are sent to an endpoint together.

    Attributes:
        payload: The bytes for the endpoint, which answers them with a single
            ReadyForQuery.
        statements: The classification of each executed statement.
        simple: Whether it is a simple Query.
        hidden: Ordinals, from 0, of the ParseComplete frames in the answer
            that belong to an added Parse and are hidden from the caller.
        messages: The caller's messages, for batches that this node answers.
        flushed: Whether it ended with a Flush; its caller then gets no
            ReadyForQuery.
    """

    payload: bytes
    statements: tuple[decisions.Statement, ...]
    simple: bool
    hidden: frozenset[int] = frozenset()
    messages: tuple[_wire.Message, ...] = ()
    flushed: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether it consists of a Sync only."""
        return not self.simple and len(self.messages) == 1

    @property
    def is_read(self) -> bool:
        """Whether all its statements are classified as reads."""
        return all(
            s.kind is decisions.StatementKind.READ for s in self.statements
        )

    @property
    def is_local(self) -> bool:
        """Whether this node answers it without an endpoint."""
        local = (decisions.StatementKind.SET, decisions.StatementKind.SHOW)
        return bool(self.statements) and all(
            s.kind in local for s in self.statements
        )

    @property
    def changes_session(self) -> bool:
        """Whether it changes session state of the endpoint connection."""
        return any(
            s.kind is decisions.StatementKind.SESSION_STATE
            for s in self.statements
        )

    @property
    def may_end(self) -> bool:
        """Whether it may commit or roll back a transaction."""
        if any(s.kind is decisions.StatementKind.END for s in self.statements):
            return True
        return self.simple and b";" in self.payload.rstrip(b"\0; \n")

    @property
    def first_kind(self) -> decisions.StatementKind | None:
        """The kind of the first statement; None without statements."""
        return self.statements[0].kind if self.statements else None


class BatchReader:
    """Groups one caller's messages into batches."""

    __slots__ = (
        "_named",
        "_parts",
        "_messages",
        "_sql",
        "_hidden",
        "_parse_count",
        "_current_name",
        "_portals",
        "_executed",
    )

    def __init__(self) -> None:
        self._named: dict[str, _wire.Parse] | None = None
        self._clear()

    def reset(self) -> None:
        """Discards the messages of a batch that was rejected."""
        self._clear()

    def _clear(self) -> None:
        self._parts: list[bytes] = []
        self._messages: list[_wire.Message] = []
        self._sql: dict[str, str] = {}
        self._hidden: list[int] = []
        self._parse_count = 0
        self._current_name: str | None = None
        self._portals: dict[str, str] = {}
        self._executed: list[decisions.Statement] = []

    def add(self, msg: _wire.Message) -> Batch | None:
        """Adds a message; returns the batch that it completes, if any.

        Raises:
            UnsupportedMessageError: The message is not supported, or the
                caller keeps too many prepared statements.
        """
        if isinstance(msg, _wire.Query):
            return self._make_simple_batch(msg)
        self._messages.append(msg)
        match msg:
            case _wire.Parse():
                self._handle_parse(msg)
            case _wire.Bind():
                self._handle_bind(msg)
            case _wire.Describe():
                self._handle_describe(msg)
            case _wire.Execute():
                sql = self._portals.get(msg.portal, "")
                self._executed.append(decisions.classify(sql))
                self._parts.append(msg.to_wire())
            case _wire.Close():
                self._handle_close(msg)
            case _wire.Sync():
                return self._complete(flushed=False)
            case _wire.Flush():
                has_parts = bool(self._parts)
                return self._complete(flushed=True) if has_parts else None
            case _:
                raise UnsupportedMessageError(type(msg).__name__)
        return None

    def _make_simple_batch(self, msg: _wire.Query) -> Batch:
        statement = decisions.classify(msg.query_string)
        return Batch(msg.to_wire(), (statement,), True, messages=(msg,))

    def _handle_parse(self, msg: _wire.Parse) -> None:
        if msg.statement:
            self._store_named(msg)
        self._add_parse(msg, msg.statement)

    def _store_named(self, msg: _wire.Parse) -> None:
        if self._named is None:
            self._named = {}
        if len(self._named) >= MAX_STATEMENTS:
            raise UnsupportedMessageError("too many prepared statements")
        self._named[msg.statement] = msg

    def _add_parse(self, msg: _wire.Parse, name: str) -> None:
        unnamed = _wire.Parse(
            statement="", query=msg.query, param_types=msg.param_types
        )
        self._parts.append(unnamed.to_wire())
        self._parse_count += 1
        self._current_name = name
        self._sql[name] = msg.query

    def _select_statement(self, name: str) -> None:
        """Adds a Parse that makes a named statement the unnamed one."""
        if self._current_name == name or not name:
            return
        known = (self._named or {}).get(name)
        if known is None:
            return  # The endpoint reports the unknown statement.
        self._hidden.append(self._parse_count)
        self._add_parse(known, name)

    def _handle_bind(self, msg: _wire.Bind) -> None:
        name = msg.statement
        self._select_statement(name)
        self._portals[msg.portal] = self._sql.get(name, "")
        if self._current_name == name:
            msg = _wire.Bind(
                portal=msg.portal,
                statement="",
                param_formats=msg.param_formats,
                param_values=msg.param_values,
                result_formats=msg.result_formats,
            )
        self._parts.append(msg.to_wire())

    def _handle_describe(self, msg: _wire.Describe) -> None:
        if msg.kind == "S":
            self._select_statement(msg.name)
            if self._current_name == msg.name:
                msg = _wire.Describe(kind="S", name="")
        self._parts.append(msg.to_wire())

    def _handle_close(self, msg: _wire.Close) -> None:
        if msg.kind == "S":
            if self._named is not None:
                self._named.pop(msg.name, None)
            # The endpoint has no such statement, which a Close permits.
            msg = _wire.Close(kind="S", name="rosemaryferry-none")
        self._parts.append(msg.to_wire())

    def _complete(self, flushed: bool) -> Batch:
        self._parts.append(_wire.SYNC_BYTES)
        batch = Batch(
            payload=b"".join(self._parts),
            statements=tuple(self._executed),
            simple=False,
            hidden=frozenset(self._hidden),
            messages=tuple(self._messages),
            flushed=flushed,
        )
        self._clear()
        return batch
