"""What a caller sends, cut into batches that are run as one.

A batch is a simple Query, or all extended-protocol messages up to a Sync.
Endpoint connections are shared, so prepared statements live here: a named
statement is sent again, as the unnamed one, with each batch that uses it, and
the answers to what was added are taken out again.
"""

import attrs
import ferry_decisions as decisions

from ferry_node import _wire

MAX_STATEMENTS = 10_000


class UnsupportedMessageError(decisions.RequestFailedError):
    """The caller used a part of the protocol that is not offered."""

    def __init__(self, detail: str) -> None:
        super().__init__(decisions.UNSUPPORTED, detail)


@attrs.frozen(slots=True)
class Batch:
    """Statements that are handed to an endpoint together.

    Attributes:
        payload: The bytes for the endpoint; one ReadyForQuery answers them.
        statements: What is known of each statement that is executed.
        simple: Whether it is a simple Query.
        hidden: Ordinals, from 0, of the ParseComplete frames in the answer
            that the caller did not ask for.
        messages: The caller's messages, for those answered by this node.
        flushed: Whether a Flush ended it: its caller gets no ReadyForQuery.
    """

    payload: bytes
    statements: tuple[decisions.Statement, ...]
    simple: bool
    hidden: frozenset[int] = frozenset()
    messages: tuple[_wire.Message, ...] = ()
    flushed: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether it is a Sync and no more."""
        return not self.simple and len(self.messages) == 1

    @property
    def is_read(self) -> bool:
        """Whether all of it is believed to read only."""
        return all(
            s.kind is decisions.StatementKind.READ for s in self.statements
        )

    @property
    def is_local(self) -> bool:
        """Whether this node answers all of it."""
        local = (decisions.StatementKind.SET, decisions.StatementKind.SHOW)
        return bool(self.statements) and all(
            s.kind in local for s in self.statements
        )

    @property
    def changes_session(self) -> bool:
        """Whether it sets state of the endpoint connection itself."""
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
        """The kind of the first statement; None where there is none."""
        return self.statements[0].kind if self.statements else None


class BatchReader:
    """Cuts one caller's messages into batches."""

    __slots__ = (
        "_named",
        "_parts",
        "_messages",
        "_sql",
        "_hidden",
        "_parses",
        "_current",
        "_portals",
        "_executed",
    )

    def __init__(self) -> None:
        self._named: dict[str, _wire.Parse] | None = None
        self._clear()

    def reset(self) -> None:
        """Forgets a batch that was refused in the middle."""
        self._clear()

    def _clear(self) -> None:
        self._parts: list[bytes] = []
        self._messages: list[_wire.Message] = []
        self._sql: dict[str, str] = {}
        self._hidden: list[int] = []
        self._parses = 0
        self._current: str | None = None
        self._portals: dict[str, str] = {}
        self._executed: list[decisions.Statement] = []

    def take(self, msg: _wire.Message) -> Batch | None:
        """Takes a message in; returns the batch that it completes, if any.

        Raises:
            UnsupportedMessageError: The message is not offered.
        """
        if isinstance(msg, _wire.Query):
            return self._simple(msg)
        self._messages.append(msg)
        match msg:
            case _wire.Parse():
                self._take_parse(msg)
            case _wire.Bind():
                self._take_bind(msg)
            case _wire.Describe():
                self._take_describe(msg)
            case _wire.Execute():
                sql = self._portals.get(msg.portal, "")
                self._executed.append(decisions.classify(sql))
                self._parts.append(msg.to_wire())
            case _wire.Close():
                self._take_close(msg)
            case _wire.Sync():
                return self._complete(flushed=False)
            case _wire.Flush():
                has_parts = bool(self._parts)
                return self._complete(flushed=True) if has_parts else None
            case _:
                raise UnsupportedMessageError(type(msg).__name__)
        return None

    def _simple(self, msg: _wire.Query) -> Batch:
        statement = decisions.classify(msg.query_string)
        return Batch(msg.to_wire(), (statement,), True, messages=(msg,))

    def _take_parse(self, msg: _wire.Parse) -> None:
        if msg.statement:
            self._remember(msg)
        self._add_parse(msg, msg.statement)

    def _remember(self, msg: _wire.Parse) -> None:
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
        self._parses += 1
        self._current = name
        self._sql[name] = msg.query

    def _use(self, name: str) -> None:
        """Makes a statement the unnamed one at the endpoint."""
        if self._current == name or not name:
            return
        known = (self._named or {}).get(name)
        if known is None:
            return  # The endpoint answers that there is no such statement.
        self._hidden.append(self._parses)
        self._add_parse(known, name)

    def _take_bind(self, msg: _wire.Bind) -> None:
        name = msg.statement
        self._use(name)
        self._portals[msg.portal] = self._sql.get(name, "")
        if self._current == name:
            msg = _wire.Bind(
                portal=msg.portal,
                statement="",
                param_formats=msg.param_formats,
                param_values=msg.param_values,
                result_formats=msg.result_formats,
            )
        self._parts.append(msg.to_wire())

    def _take_describe(self, msg: _wire.Describe) -> None:
        if msg.kind == "S":
            self._use(msg.name)
            if self._current == msg.name:
                msg = _wire.Describe(kind="S", name="")
        self._parts.append(msg.to_wire())

    def _take_close(self, msg: _wire.Close) -> None:
        if msg.kind == "S":
            if self._named is not None:
                self._named.pop(msg.name, None)
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
