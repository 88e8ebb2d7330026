"""When refused requests should return.

Callers that are all told the same time return in step, into the same queue.
Each refused request is therefore given a slot of its own: behind the backlog
and behind the returns that others were promised before. Slots are as far apart
as statements leave the queue.
"""

import math

import attrs

from ferry_decisions import _hashing

# The weight of the newest sample, so that the mean spans about 20 statements
# and a single long one moves it little.
SAMPLE_WEIGHT = 0.05

# A statement takes up to twice as long while all places are taken, since there
# are two places for each slot of a member.
FULL_FACTOR = 2.0

# The share of the drain rate that is promised to returns; new requests arrive
# meanwhile and need the rest.
PROMISED_SHARE = 0.75

# The shortest delay: a refusal and the next request cross the network twice.
MIN_RETRY_DELAY_S = 0.01

# The longest delay that is passed on from another node.
MAX_DELAY_S = 60.0

# The first part of the hashed key.
SPREAD_KEY = "return"

# The slowest rate that slots are computed for.
MIN_DRAIN_PER_S = 1e-3


def usable_delay_s(delay_s: float | None) -> float | None:
    """Returns a delay that another node reported, or None if it is invalid."""
    if delay_s is None or not 0.0 <= delay_s <= MAX_DELAY_S:
        return None
    return delay_s


def spread_delay_s(delay_s: float, remaining_s: float, request: str) -> float:
    """Returns a delay within the second half of a longer one.

    Args:
        delay_s: The longest delay, in seconds.
        remaining_s: The time until the request's deadline, in seconds.
        request: The request's id, which determines the result.
    """
    longest_s = max(MIN_RETRY_DELAY_S, min(delay_s, remaining_s))
    fraction = _hashing.stagger_fraction(SPREAD_KEY, request)
    return max(MIN_RETRY_DELAY_S, longest_s * (1.0 + fraction) / 2)


class DrainRate:
    """How fast statements leave the queue of a member."""

    def __init__(self) -> None:
        self._mean_s = 0.0

    def note(self, elapsed_s: float, is_full: bool = True) -> None:
        """Records a statement of the member.

        Args:
            elapsed_s: How long it took, in seconds.
            is_full: Whether all places at the member were taken.
        """
        if not math.isfinite(elapsed_s) or elapsed_s <= 0:
            return
        if not is_full:
            elapsed_s *= FULL_FACTOR
        if not self._mean_s:
            self._mean_s = elapsed_s
        self._mean_s += (elapsed_s - self._mean_s) * SAMPLE_WEIGHT

    def per_s(self, parallel: int) -> float:
        """Returns the statements per second; 0 if unknown.

        Args:
            parallel: The number of statements that are in progress while there
                is a queue.
        """
        return max(1, parallel) / self._mean_s if self._mean_s else 0.0


@attrs.frozen(slots=True, kw_only=True)
class Refusal:
    """A refused request.

    Attributes:
        request: The request's id, which determines its time within a slot.
        priority: Its queue priority; 0 goes first.
        at: The time, in the clock's seconds.
        wait_s: When the backlog ahead of it will have left, in seconds.
        remaining_s: The time until its deadline, in seconds.
    """

    request: str
    priority: int
    at: float
    wait_s: float
    remaining_s: float


@attrs.frozen(slots=True)
class Advice:
    """When a refused request should return.

    Attributes:
        delay_s: The delay, in seconds.
        is_promised: Whether room is expected then, so that the request keeps
            its place in the queue.
    """

    delay_s: float
    is_promised: bool


class ReturnSchedule:
    """The returns that were promised at the queue of one member."""

    def __init__(self) -> None:
        self._promised_until: dict[int, float] = {}

    def advise(self, refusal: Refusal, drain_per_s: float) -> Advice:
        """Returns when a refused request should return.

        A slot before its deadline is promised and counts as backlog for later
        refusals, except for more urgent ones. A later slot is not: the request
        may try once more before its deadline, and takes nobody's place.

        Args:
            refusal: The request.
            drain_per_s: How many statements leave the queue per second.
        """
        self._forget_passed(refusal.at)
        slot_s = 1.0 / max(drain_per_s * PROMISED_SHARE, MIN_DRAIN_PER_S)
        starts_at = self.next_slot(refusal)
        fraction = _hashing.stagger_fraction(SPREAD_KEY, refusal.request)
        delay_s = starts_at + slot_s * fraction - refusal.at
        if delay_s > refusal.remaining_s:
            remaining_s = refusal.remaining_s
            late_s = spread_delay_s(remaining_s, remaining_s, refusal.request)
            return Advice(late_s, is_promised=False)
        self._promised_until[refusal.priority] = starts_at + slot_s
        return Advice(max(MIN_RETRY_DELAY_S, delay_s), is_promised=True)

    def next_slot(self, refusal: Refusal) -> float:
        """Returns when the next free slot begins, in the clock's seconds."""
        wait_s = refusal.wait_s if math.isfinite(refusal.wait_s) else 0.0
        backlog_until = refusal.at + max(0.0, wait_s)
        promised = [
            until
            for priority, until in self._promised_until.items()
            if priority <= refusal.priority
        ]
        return max(backlog_until, *promised, refusal.at)

    def _forget_passed(self, now: float) -> None:
        self._promised_until = {
            p: u for p, u in self._promised_until.items() if u > now
        }
