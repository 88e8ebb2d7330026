"""The message that carries demands between serving nodes."""

import attrs

from ferry_proxy import _peer_messages
from ferry_proxy.queueing import _demands


@_peer_messages.message("demands")
@attrs.frozen(slots=True, repr=False)
class DemandReport:
    """The sender's demands for the members of groups that both nodes serve.

    Attributes:
        demands: The statements in progress and waiting, by group and member;
            members without any are omitted.
    """

    demands: dict[str, dict[str, _demands.Row]]
