"""Messages by which nodes ask one another for what they know of a primary."""

import math

import attrs

from ferry_proxy import _peer_messages


def _finite(_: object, field: "attrs.Attribute[float]", value: float) -> None:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"{field.name} is no finite number")


def _position(
    _: object,
    field: "attrs.Attribute[tuple[int, int]]",
    value: tuple[int, int],
) -> None:
    numbers = [n for n in value if type(n) is int and n >= 0]
    if len(value) != 2 or len(numbers) != 2:
        raise ValueError(f"{field.name} is no term and index")


@_peer_messages.message("opinion?")
@attrs.frozen(slots=True, repr=False)
class OpinionRequest:
    """Asks for a peer's view of its contact with a member.

    Attributes:
        service: The group.
        member: The member's id.
        born: Identifies the start of the member that is meant; it changes
            when the member restarts.
    """

    service: str
    member: str
    born: int = 0


@_peer_messages.message("opinion")
@attrs.frozen(slots=True, repr=False)
class OpinionReply:
    """The sender's contact with a member.

    Attributes:
        heard_ago_s: Seconds since the member last answered; negative for
            never.
        unanswered_s: Seconds for which a request sent after that has been
            pending.
        least_acked: The term and index of a position at or before the newest
            commit that the sender has passed on as acknowledged.
        most_acked: Likewise, at or after all of these commits.
        watched_s: Seconds for which the sender has observed the commits that
            it passes on; negative if it does not.
        acked_ago_s: Seconds since it passed on the newest one; negative for
            never.
        departures: The departures that are open at the sender, encoded as in
            the record of departures; empty if there are none.
    """

    heard_ago_s: float = attrs.field(validator=_finite)
    unanswered_s: float = attrs.field(default=0.0, validator=_finite)
    least_acked: tuple[int, int] = attrs.field(
        default=(0, 0), validator=_position
    )
    most_acked: tuple[int, int] = attrs.field(
        default=(0, 0), validator=_position
    )
    watched_s: float = attrs.field(default=-1.0, validator=_finite)
    acked_ago_s: float = attrs.field(default=-1.0, validator=_finite)
    departures: bytes = b""
