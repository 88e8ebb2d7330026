"""Messages by which nodes ask one another for what they know of a primary."""

import attrs

from ferry_proxy import _peer_messages


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

    heard_ago_s: float
    unanswered_s: float = 0.0
    least_acked: tuple[int, int] = (0, 0)
    most_acked: tuple[int, int] = (0, 0)
    watched_s: float = -1.0
    acked_ago_s: float = -1.0
    departures: bytes = b""
