"""The session state on a link, as far as the member's replies tell.

Sessions share links. Before a statement runs, the values of its session and
the prepared statement that it names are put in place, and values of other
sessions are cleared. These commands are sent in one message with the
statement, as they occupy no slot of the member. A member may refuse any of
them, so what they put in place is in doubt until it has confirmed them.
"""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _events
from ferry_proxy import _links
from ferry_proxy import _statements

# Prepared statements kept on a link; when it is reached, the link is reset.
MAX_PREPARED = 256

StateCommand = _links.Reset | _links.SetValue | _links.Prepare


@attrs.frozen(slots=True)
class Alignment:
    """What puts a session's state in place on a link.

    Attributes:
        commands: The commands to send ahead of the statement.
        prepared_as: The name of the prepared statement on the link; empty if
            none is wanted.
    """

    commands: tuple[StateCommand, ...]
    prepared_as: str = ""


ALIGNED = Alignment(())


class LinkState:
    """What a member's session holds.

    Attributes:
        values: The session values that are known to be in place.
        prepared: The prepared statements that are known, with their names.
    """

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[_statements.Prepared, str] = {}
        # The values that may have any content, with the last command on them.
        self._doubtful: dict[str, StateCommand] = {}
        self._unconfirmed: dict[str, _statements.Prepared] = {}
        self._last_number = 0
        self._prepared_count = 0
        self._count_before_reset = 0

    @property
    def doubtful(self) -> frozenset[str]:
        """The names of the values that may be in place with any content."""
        return frozenset(self._doubtful)

    def distance(self, values: dict[str, str]) -> int:
        """Estimates how many commands `align` would return."""
        if self._has_others(values):
            return 1 + len(values)
        return sum(self.values.get(n) != v for n, v in values.items())

    def _has_others(self, values: dict[str, str]) -> bool:
        """Whether there may be values that a session does not have."""
        is_any_known = self.values.keys() - values.keys()
        return bool(is_any_known or self._doubtful.keys() - values.keys())

    def align(
        self,
        values: dict[str, str],
        prepared: _statements.Prepared | None = None,
    ) -> Alignment:
        """Returns what puts a session's state in place; the caller sends it.

        Args:
            values: The session's values.
            prepared: The prepared statement that the next command executes.
        """
        if prepared is None and values == self.values and not self._doubtful:
            return ALIGNED
        commands: list[StateCommand] = []
        is_full = prepared is not None and self._prepared_count >= MAX_PREPARED
        if self._has_others(values) or is_full:
            commands.append(_links.Reset())
            self._note_sent(commands[-1])
        for name, value in values.items():
            if self.values.get(name) != value:
                commands.append(_links.SetValue(name, value))
                self._note_sent(commands[-1])
        if prepared is None:
            return Alignment(tuple(commands))
        known_name = self.prepared.get(prepared)
        if known_name is not None:
            return Alignment(tuple(commands), known_name)
        self._last_number += 1
        command = _links.Prepare(f"p{self._last_number}", prepared)
        self._note_sent(command)
        return Alignment((*commands, command), command.name)

    def _note_sent(self, command: StateCommand) -> None:
        """Records that what a command changes is in doubt from now on."""
        match command:
            case _links.Reset():
                names = [*self.values, *self._doubtful]
                self._doubtful = dict.fromkeys(names, command)
                self.values.clear()
                self.prepared.clear()
                self._unconfirmed.clear()
                self._count_before_reset = self._prepared_count
                self._prepared_count = 0
            case _links.SetValue(name):
                self.values.pop(name, None)
                self._doubtful[name] = command
            case _links.Prepare(name, prepared):
                self._unconfirmed[name] = prepared
                self._prepared_count += 1

    def note_reply(self, command: StateCommand, reply: _links.Reply) -> None:
        """Records a reply; what a refused command changes stays in doubt."""
        if reply.reason is not None:
            self._note_refused(command)
            return
        match command:
            case _links.Reset():
                self._doubtful = {
                    n: c for n, c in self._doubtful.items() if c is not command
                }
            case _links.SetValue(name, value):
                if self._doubtful.get(name) is command:
                    del self._doubtful[name]
                    self.values[name] = value
            case _links.Prepare(name):
                prepared = self._unconfirmed.pop(name, None)
                if prepared is not None:
                    self.prepared[prepared] = name

    def _note_refused(self, command: StateCommand) -> None:
        match command:
            case _links.Reset():
                self._prepared_count += self._count_before_reset
            case _links.Prepare(name):
                self._unconfirmed.pop(name, None)

    def forget(self, prepared: _statements.Prepared) -> None:
        """Records that the member does not know a prepared statement."""
        self.prepared.pop(prepared, None)


class Check:
    """Checks that a statement ran with the state that was sent ahead of it."""

    def __init__(
        self,
        state: LinkState,
        alignment: Alignment,
        statement: _statements.Statement,
        prepared: _statements.Prepared | None,
        is_in_transaction: bool,
        member: str,
    ) -> None:
        """Creates a check of one statement.

        Args:
            state: The state of the link.
            alignment: What is sent ahead of the statement.
            statement: The statement.
            prepared: The prepared statement that it executes; None for none.
            is_in_transaction: Whether the link is in a transaction.
            member: The member's id, for the log.
        """
        self._state = state
        self._alignment = alignment
        self._statement = statement
        self._prepared = prepared
        self._is_in_transaction = is_in_transaction
        self._member = member
        self._refusal: decisions.Reason | None = None

    def follow(
        self,
        aligned: "list[decisions.Future[_links.Reply]]",
        fut: "decisions.Future[_links.Reply]",
    ) -> "decisions.Future[_links.Reply]":
        """Returns the checked reply to the statement.

        Args:
            aligned: The replies to the alignment, which arrive first.
            fut: The reply to the statement.
        """
        for command, done in zip(
            self._alignment.commands, aligned, strict=True
        ):
            done.add_done_callback(
                lambda d, c=command: self._note(c, d)  # type: ignore[misc]
            )
        out: decisions.Future[_links.Reply] = decisions.Future()
        fut.add_done_callback(lambda done: self._finish(done, out))
        return out

    def _note(
        self, command: StateCommand, fut: "decisions.Future[_links.Reply]"
    ) -> None:
        if fut.exception() is not None:
            return  # The link is lost, and its state with it.
        reply = fut.result()
        self._state.note_reply(command, reply)
        if reply.reason is not None and self._refusal is None:
            self._refusal = reply.reason
            _events.emit(
                _events.SessionStateRefused(
                    self._statement.request_id,
                    self._member,
                    type(command).__name__,
                    reply.reason.name,
                )
            )

    def _finish(
        self,
        fut: "decisions.Future[_links.Reply]",
        out: "decisions.Future[_links.Reply]",
    ) -> None:
        exc = fut.exception()
        if exc is not None:
            decisions.reject(out, exc)
        else:
            decisions.resolve(out, self.verdict(fut.result()))

    def verdict(self, reply: _links.Reply) -> _links.Reply:
        """Returns what the statement's reply means for its caller."""
        if reply.reason is decisions.UNKNOWN_PREPARED:
            # The session knows the statement, so the member's session does not.
            if self._prepared is not None:
                self._state.forget(self._prepared)
            return attrs.evolve(reply, reason=self._not_run_reason)
        if self._refusal is None:
            return reply
        if reply.reason is not None:
            # The refusal tells why, the replies after it follow from it.
            reason = self._not_run_reason if reply.not_run else reply.reason
            return attrs.evolve(reply, reason=reason)
        if self._statement.kind is _statements.Kind.COMMIT:
            return reply
        # It ran with the state of another session.
        is_kept = self._writes and not self._is_in_transaction
        reason = (
            decisions.STATEMENT_FAILED
            if is_kept
            else decisions.SESSION_STATE_LOST
        )
        return attrs.evolve(reply, rows=(), proof="", reason=reason)

    @property
    def _not_run_reason(self) -> decisions.Reason:
        """Why a statement that has not run could not find its state."""
        refusal = self._refusal
        if refusal and refusal.outcome is decisions.Outcome.NOT_RUN:
            return refusal
        return decisions.SESSION_STATE_LOST

    @property
    def _writes(self) -> bool:
        if self._prepared is not None:
            return self._prepared.writes
        return self._statement.kind is _statements.Kind.WRITE
