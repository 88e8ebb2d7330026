"""Interface to one connection to a member, independent of the protocol.

A link runs commands in order and returns one complete reply for each. A
protocol adapter implements `Link` and `Connector`; the proxy itself does not
depend on a wire format.
"""

import typing

import attrs
import ferry_decisions as decisions

from ferry_proxy import _members
from ferry_proxy import _statements


@attrs.frozen(slots=True, repr=False)
class Run:
    """Runs a caller's statement.

    Attributes:
        statement: The statement.
        floor: The position that the member must have applied; None for any.
        prepared_as: The name of EXECUTE's prepared statement on this link.
    """

    statement: _statements.Statement
    floor: decisions.Position | None = None
    prepared_as: str = ""


@attrs.frozen(slots=True, repr=False)
class Begin:
    """Begins a transaction.

    Attributes:
        read_only: Whether it may run on a replica.
        floor: The position that the member must have applied; None for any.
    """

    read_only: bool
    floor: decisions.Position | None = None


@attrs.frozen(slots=True, repr=False)
class Rollback:
    """Rolls back the open transaction."""


@attrs.frozen(slots=True, repr=False)
class Reset:
    """Clears the session values and prepared statements of the link."""


@attrs.frozen(slots=True, repr=False)
class SetValue:
    """Sets a session value."""

    name: str
    value: str


@attrs.frozen(slots=True, repr=False)
class Prepare:
    """Prepares a statement under a name that is local to the link."""

    name: str
    prepared: _statements.Prepared


@attrs.frozen(slots=True, repr=False)
class Status:
    """Requests the status of the member."""


@attrs.frozen(slots=True, repr=False)
class Pause:
    """Stops a replica from receiving from primaries below `term`."""

    term: int


@attrs.frozen(slots=True, repr=False)
class Resume:
    """Lets a paused replica receive from its primary again."""


@attrs.frozen(slots=True, repr=False)
class StepDown:
    """Demotes a primary whose term is below `term` to a replica."""

    term: int


Command = (
    Run
    | Begin
    | Rollback
    | Reset
    | SetValue
    | Prepare
    | Status
    | Pause
    | Resume
    | StepDown
)


@attrs.frozen(slots=True, repr=False)
class Reply:
    """The complete reply to a control command or to a caller's statement.

    Attributes:
        state: The transaction state afterwards: that of the member's session
            for a command, that of the caller's for a forwarded reply.
        rows: The rows, as encoded by the member.
        proof: The member's execution token, passed to the caller unchanged.
        reason: Why it failed; None for success.
        detail: The member's description of a failure.
        position: The end of the member's applied log, if reported.
        report: The status, for commands that request it.
        retry_after_s: The delay before a retry, in seconds; None if the reason
            implies it.
        keeps_place: Whether a caller that returns after it keeps its place.
    """

    state: _statements.TransactionState
    rows: tuple[str, ...] = ()
    proof: str = ""
    reason: decisions.Reason | None = None
    detail: str = ""
    position: decisions.Position | None = None
    report: _members.Report | None = None
    retry_after_s: float | None = None
    keeps_place: bool = False

    @classmethod
    def failed(
        cls,
        state: _statements.TransactionState,
        exc: decisions.RequestFailedError,
    ) -> "Reply":
        """Returns the reply that reports a failure to its caller."""
        return cls(
            state,
            reason=exc.reason,
            detail=exc.detail,
            retry_after_s=exc.retry_after_s,
            keeps_place=exc.keeps_place,
        )

    @property
    def not_run(self) -> bool:
        """Whether it is certain that the statement has no effect."""
        reason = self.reason
        if reason is None:
            return False
        return reason.outcome is decisions.Outcome.NOT_RUN


IDLE = _statements.TransactionState.IDLE


class LinkLostError(Exception):
    """The link was lost before the reply was complete.

    Attributes:
        was_sent: Whether the command may have reached the member.
        is_local: Whether this node closed the link.
    """

    def __init__(
        self, detail: str, was_sent: bool = True, is_local: bool = False
    ) -> None:
        super().__init__(detail)
        self.was_sent = was_sent
        self.is_local = is_local


class ConnectFailedError(Exception):
    """A link could not be opened.

    Attributes:
        reason: The type of the failure.
        refused: Whether the host rejected the connection because nothing
            listens on the port.
    """

    def __init__(
        self, reason: decisions.Reason, detail: str, refused: bool = False
    ) -> None:
        super().__init__(f"{reason.name}: {detail}")
        self.reason = reason
        self.refused = refused


class Link(typing.Protocol):
    """An open connection to a member."""

    @property
    def lost(self) -> bool:
        """Whether the connection has ended."""

    def run(self, commands: "list[Command]") -> "list[decisions.Future[Reply]]":
        """Sends commands as one message; the replies arrive in order.

        A future fails with `LinkLostError` if the link is lost before its
        reply is complete.
        """

    def close(self) -> None:
        """Closes the connection; the member rolls back an open transaction."""


class Connector(typing.Protocol):
    """Opens links to members."""

    def connect(
        self, member: _members.Member, timeout_s: float, team: str
    ) -> "decisions.Future[Link]":
        """Opens a link; the future fails with `ConnectFailedError`.

        Args:
            member: The member.
            timeout_s: The time limit, in seconds.
            team: The team that the link runs statements for; empty for this
                node's own commands.
        """
