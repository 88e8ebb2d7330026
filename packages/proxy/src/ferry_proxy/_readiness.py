"""Decides whether a node is ready for new sessions.

The load balancer checks each node once a second, and sends callers only to
nodes that are ready.
"""

import enum

import attrs

# A balancer that sends callers to a node sends one at least this often.
NO_CALLER_S = 0.3


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
