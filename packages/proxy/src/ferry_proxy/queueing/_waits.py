"""Expected waits and the time until there is room. All functions are pure."""

from collections.abc import Iterable
import heapq
import math

import attrs
import ferry_decisions as decisions

# Time for the answer to reach the caller: a hop and the network.
TRANSIT_S = 0.01


@attrs.frozen(slots=True, kw_only=True)
class Estimate:
    """What a request may expect at a member.

    Attributes:
        wait_s: The time until it starts, in seconds.
        margin_s: By how much the wait and its own time may exceed what is
            expected.
        own_s: Its own time.
    """

    wait_s: float
    margin_s: float
    own_s: float

    @property
    def total_s(self) -> float:
        """The expected time until its answer, in seconds."""
        return self.wait_s + self.own_s + TRANSIT_S

    @property
    def least_s(self) -> float:
        """The time until its answer if it did not wait."""
        return self.own_s + TRANSIT_S


def start_delay_s(
    running: Iterable[float], ahead: Iterable[float], places: int
) -> float:
    """Returns the time until a request starts, in seconds.

    Args:
        running: The expected rests of the running statements.
        ahead: The expected times of the waiting ones that start before it, in
            order.
        places: The number of statements in progress at once.
    """
    places = max(1, places)
    ends = sorted(running)
    idle = [0.0] * max(0, places - len(ends))
    free = idle + ends[max(0, len(ends) - places) :]
    for time_s in ahead:
        heapq.heapreplace(free, free[0] + time_s)
    return free[0]


def margin_s(
    spreads: Iterable[float], own_spread_s: float, places: int
) -> float:
    """Returns the margin for a wait and the request after it, in seconds.

    The spreads are independent, and those of the work ahead are divided among
    the places.

    Args:
        spreads: By how much each statement ahead may exceed its time.
        own_spread_s: The same for the request.
        places: The number of statements in progress at once.
    """
    ahead = sum(s * s for s in spreads) / max(1, places) ** 2
    return math.sqrt(ahead + own_spread_s**2)


def with_arrivals_s(delay_s: float, taken: float, longest_s: float) -> float:
    """Returns a delay, prolonged by more urgent requests that arrive.

    Args:
        delay_s: The delay without such requests, in seconds.
        taken: The part of the places that more urgent kinds take.
        longest_s: The delay if its kind gets no more than it is owed.
    """
    left = 1.0 - taken
    if left <= 0.0:
        return longest_s
    return min(delay_s / left, longest_s)


def time_to_room_s(estimate: Estimate, target_s: float) -> float:
    """Returns when a request that is refused now may be let in, in seconds.

    Args:
        estimate: What it may expect now.
        target_s: The target latency of its route.
    """
    end_s = estimate.total_s + estimate.margin_s
    return max(decisions.MIN_RETRY_DELAY_S, end_s - target_s)
