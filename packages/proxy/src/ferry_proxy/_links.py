"""What the proxy needs of one connection to a member.

A link runs commands in order and answers each by a whole reply. The adapter
of a protocol implements `Link` and `Connector`; the proxy knows no wire.
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
        floor: The position that the member must show; None for any.
        prepared_as: The name that EXECUTE's statement has on this link.
    """

    statement: _statements.Statement
    floor: decisions.Position | None = None
    prepared_as: str = ""


@attrs.frozen(slots=True, repr=False)
class Begin:
    """Begins a transaction.

    Attributes:
        read_only: Whether a replica may hold it.
        floor: The position that the member must show; None for any.
    """

    read_only: bool
    floor: decisions.Position | None = None


@attrs.frozen(slots=True, repr=False)
class Rollback:
    """Rolls the open transaction back."""


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
    """Prepares a statement under a name of the link's own."""

    name: str
    prepared: _statements.Prepared


@attrs.frozen(slots=True, repr=False)
class Status:
    """Asks the member for its status."""


@attrs.frozen(slots=True, repr=False)
class Pause:
    """Stops a replica from receiving from primaries below `term`."""

    term: int


@attrs.frozen(slots=True, repr=False)
class Resume:
    """Lets a paused replica receive again."""


@attrs.frozen(slots=True, repr=False)
class StepDown:
    """Makes a primary of a term below `term` a replica."""

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
    """The whole answer to a command of ours, or to a caller's statement.

    Attributes:
        state: Where the session stands after it: at the member for a command,
            for the caller where the reply is passed on.
        rows: The rows, as the member wrote them.
        proof: The member's token of a run, passed on to the caller as it is.
        reason: Why it failed; None for success.
        detail: The member's words on a failure.
        position: The end of the member's applied log, where it told.
        report: The status, for commands that ask for it.
        retry_after_s: When to ask again, in seconds; None where the reason
            tells.
    """

    state: _statements.TransactionState
    rows: tuple[str, ...] = ()
    proof: str = ""
    reason: decisions.Reason | None = None
    detail: str = ""
    position: decisions.Position | None = None
    report: _members.Report | None = None
    retry_after_s: float | None = None

    @classmethod
    def failed(
        cls,
        state: _statements.TransactionState,
        exc: decisions.RequestFailedError,
    ) -> "Reply":
        """Returns the answer that a failure is to its caller."""
        return cls(
            state,
            reason=exc.reason,
            detail=exc.detail,
            retry_after_s=exc.retry_after_s,
        )

    @property
    def not_run(self) -> bool:
        """Whether the member promises that nothing of it is kept."""
        reason = self.reason
        if reason is None:
            return False
        return reason.outcome is decisions.Outcome.NOT_RUN


IDLE = _statements.TransactionState.IDLE


class LinkLostError(Exception):
    """The link ended before the whole reply.

    Attributes:
        handed: Whether the command may have reached the member.
    """

    def __init__(self, detail: str, was_sent: bool = True) -> None:
        super().__init__(detail)
        self.was_sent = was_sent


class ConnectFailedError(Exception):
    """A link could not be opened.

    Attributes:
        reason: The type of the failure.
        refused: Whether the machine answered that nothing listens there.
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
        """Whether it has ended."""

    def run(self, commands: "list[Command]") -> "list[decisions.Future[Reply]]":
        """Sends commands in one piece; the replies come in order.

        A future fails with `LinkLostError` when the link ends before its
        reply is whole.
        """

    def close(self) -> None:
        """Ends the connection; the member rolls back what is open."""


class Connector(typing.Protocol):
    """Opens links."""

    def connect(
        self, member: _members.Member, timeout_s: float, team: str
    ) -> "decisions.Future[Link]":
        """Opens a link; fails with `ConnectFailedError`.

        Args:
            member: The member.
            timeout_s: When to give up, in seconds.
            team: In whose name; empty for this node's own.
        """
