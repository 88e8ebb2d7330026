"""Decides whether a node is ready for new sessions.

The load balancer checks each node once a second, and sends callers only to
nodes that are ready.
"""

import enum

import attrs

# A balancer that sends callers to a node sends one at least this often.
NO_CALLER_S = 0.3
# How long a caller has to be silent before its connection may be closed: a
# network round trip, in which its next request may be on the way, and several
# of its usual pauses. One that pauses for longer than the maximum is as likely
# to send at one moment as at another.
QUIET_S = 0.05
QUIET_PAUSES = 3.0
MAX_QUIET_S = 0.5
# By how much a longer pause counts less with each shorter one after it.
PAUSE_DECAY = 0.9
# The same for a caller that has sent no request yet: it has just connected in
# order to send one.
FIRST_REQUEST_S = 0.5
# A caller that pauses for less than this, as seen from here, may send its next
# request before it notices that the connection has ended: a network round trip
# is part of the pause.
SHORT_PAUSE_S = 0.005


class Unready(enum.Enum):
    """Why a node is not ready for new sessions."""

    STOPPING = "stopping"
    NO_CONFIGURATION = "no configuration yet"
    AWAITING_PEERS = "no word of peers yet"
    CUT_OFF = "cut off"
    NO_PRIMARY = "no primary is known"


@attrs.frozen(slots=True, kw_only=True)
class ReadinessInputs:
    """The conditions that readiness depends on.

    Attributes:
        is_stopping: Whether the node is shutting down.
        has_configuration: Whether it has a configuration, and so knows routes.
        awaits_peers: Whether peers may still report a newer configuration.
        is_cut_off: Whether other nodes can serve callers better because this
            one is isolated.
        knows_primary: Whether a primary is known, here or at a serving node.
    """

    is_stopping: bool
    has_configuration: bool
    awaits_peers: bool
    is_cut_off: bool
    knows_primary: bool


def unready_reason(inputs: ReadinessInputs) -> Unready | None:
    """Returns why a node is not ready for new sessions; None if it is."""
    if inputs.is_stopping:
        return Unready.STOPPING
    if not inputs.has_configuration:
        return Unready.NO_CONFIGURATION
    if inputs.awaits_peers:
        return Unready.AWAITING_PEERS
    if inputs.is_cut_off:
        return Unready.CUT_OFF
    return None if inputs.knows_primary else Unready.NO_PRIMARY


def lets_callers_go(is_out_of_rotation: bool, no_caller_s: float) -> bool:
    """Whether a node that is cut off closes the connections of its callers.

    Where most nodes of a data centre are unready, the balancer sends callers to
    all of them again. Those that are let go would come back.

    Args:
        is_out_of_rotation: Whether the balancer has seen that it is unready.
        no_caller_s: Seconds since a caller last connected.
    """
    return is_out_of_rotation and no_caller_s > NO_CALLER_S


def may_close_idle(silence_s: float, usual_pause_s: float | None) -> bool:
    """Whether no request of an idle caller is likely to be on the way.

    Args:
        silence_s: Seconds since the caller sent or received anything.
        usual_pause_s: How long it pauses between an answer and its next
            request; None if it has sent no request yet.
    """
    if usual_pause_s is None:
        return silence_s >= FIRST_REQUEST_S
    quiet_s = max(QUIET_S, QUIET_PAUSES * usual_pause_s)
    return silence_s >= min(quiet_s, MAX_QUIET_S)


def usual_pause_s(before_s: float, pause_s: float) -> float:
    """Returns how long a caller pauses, after one more of its pauses.

    Args:
        before_s: The figure before this pause.
        pause_s: The pause, in seconds.
    """
    return max(pause_s, PAUSE_DECAY * before_s)


def may_close_with_answer(pause_s: float) -> bool:
    """Whether a connection may end right after an answer.

    Args:
        pause_s: Seconds between the last answer before it and the caller's next
            request, as seen by this node.
    """
    return pause_s >= SHORT_PAUSE_S
