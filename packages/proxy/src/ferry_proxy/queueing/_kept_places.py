"""The place in the queue of a session that was refused and returns as told."""

import attrs

from ferry_proxy import _requests

# A place is kept for this many time limits of the route: a caller that was
# refused more often than that has given up.
MAX_TIME_LIMITS = 3


@attrs.frozen(slots=True)
class _Place:
    """A refused request that may return.

    Attributes:
        route: The name of its route.
        arrived: When it arrived first, in the clock's seconds.
        return_at: When it was told to return.
        valid_until: When its place is forgotten.
    """

    route: str
    arrived: float
    return_at: float
    valid_until: float


class KeptPlace:
    """The place of one session, which holds one at most."""

    def __init__(self) -> None:
        self._place: _Place | None = None

    def take(self, route: str, now: float) -> float:
        """Returns how long a request that arrives now has been queued.

        A request that returns too early or too late loses its place, and so
        does one on another route.

        Args:
            route: The name of its route.
            now: The time, in the clock's seconds.

        Returns:
            The time since its first arrival, in seconds; 0 if it has no place.
        """
        place, self._place = self._place, None
        if place is None or place.route != route:
            return 0.0
        if not place.return_at <= now <= place.valid_until:
            return 0.0
        return now - place.arrived

    def keep_for(self, request: _requests.Request, return_at: float) -> None:
        """Keeps the place of a request that was refused.

        Args:
            request: The request.
            return_at: When its caller was told to return.
        """
        route = request.route
        arrived = request.arrived - request.queued_for_s
        self.keep(route.name, arrived, return_at, route.timeout_s)

    def keep(
        self, route: str, arrived: float, return_at: float, timeout_s: float
    ) -> None:
        """Keeps the place of a request that was refused.

        Args:
            route: The name of its route.
            arrived: When it arrived first, in the clock's seconds.
            return_at: When it was told to return.
            timeout_s: The time limit of its route, in seconds.
        """
        valid_until = arrived + MAX_TIME_LIMITS * timeout_s
        self._place = _Place(route, arrived, return_at, valid_until)


def usable_wait_s(queued_for_s: float, timeout_s: float) -> float:
    """Returns how long a peer says that a request has been queued.

    Args:
        queued_for_s: The peer's figure, in seconds.
        timeout_s: The time limit of the route, in seconds.

    Returns:
        The figure, or 0 if it is invalid.
    """
    longest_s = MAX_TIME_LIMITS * timeout_s
    return queued_for_s if 0.0 <= queued_for_s <= longest_s else 0.0
