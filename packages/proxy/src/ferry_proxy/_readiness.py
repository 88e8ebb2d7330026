"""Decides whether a node is ready for new sessions.

The load balancer checks each node once a second, and sends callers only to
nodes that are ready.
"""

import enum

import attrs

# A balancer that sends callers to a node sends one at least this often.
NO_CALLER_S = 0.3
# How long a caller has to be silent before its connection may be closed: a
# network round trip, in which its next request may be on the way.
QUIET_S = 0.05
# The same for a caller that has sent no request yet: it has just connected in
# order to send one.
FIRST_REQUEST_S = 0.5


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


def may_close_idle(silence_s: float, has_requested: bool) -> bool:
    """Whether no request of an idle caller is likely to be on the way.

    Args:
        silence_s: Seconds since the caller sent or received anything.
        has_requested: Whether it has sent a request before.
    """
    return silence_s >= (QUIET_S if has_requested else FIRST_REQUEST_S)
