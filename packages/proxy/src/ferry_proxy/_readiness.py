"""Whether a node wants new sessions, decided from what it knows.

Answers the balancer, which asks each node once a second and sends callers to
those that want them.
"""

import enum

import attrs


class Unready(enum.Enum):
    """Why a node wants no new sessions."""

    STOPPING = "stopping"
    NO_CONFIGURATION = "no configuration yet"
    AWAITING_PEERS = "no word of peers yet"
    CUT_OFF = "cut off"
    NO_PRIMARY = "no primary is known"


@attrs.frozen(slots=True, kw_only=True)
class ReadinessInputs:
    """What decides.

    Attributes:
        is_stopping: Whether the node is about to end.
        has_configuration: Whether routes are known.
        awaits_peers: Whether peers may know a newer configuration.
        is_cut_off: Whether callers are better off elsewhere.
        knows_primary: Whether a primary is known, here or at a serving node.
    """

    is_stopping: bool
    has_configuration: bool
    awaits_peers: bool
    is_cut_off: bool
    knows_primary: bool


def unready_reason(standing: ReadinessInputs) -> Unready | None:
    """Returns why a node wants no new sessions; None if it does."""
    if standing.is_stopping:
        return Unready.STOPPING
    if not standing.has_configuration:
        return Unready.NO_CONFIGURATION
    if standing.awaits_peers:
        return Unready.AWAITING_PEERS
    if standing.is_cut_off:
        return Unready.CUT_OFF
    return None if standing.knows_primary else Unready.NO_PRIMARY
