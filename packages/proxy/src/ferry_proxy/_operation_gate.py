"""The gate for new operations, which a node that is being stopped closes."""

import ferry_decisions as decisions

DETAIL = "this node is being stopped"


class OperationGate:
    """Decides whether new statements and transactions may begin."""

    def __init__(self) -> None:
        self._is_closed = False

    def close(self) -> None:
        """Lets no operation begin from now on."""
        self._is_closed = True

    def check(self) -> None:
        """Checks that an operation may begin.

        Raises:
            decisions.RequestFailedError: The node is being stopped.
        """
        if self._is_closed:
            raise decisions.RequestFailedError(decisions.STOPPING, DETAIL)
