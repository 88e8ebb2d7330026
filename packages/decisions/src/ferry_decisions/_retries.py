"""Retry budgets and exponential backoff.

First attempts add to a budget and retries spend it, so that an outage does not
multiply the load. Backoff delays grow exponentially with full jitter.
"""

import random

import attrs


@attrs.define(slots=True)
class RetryBudget:
    """Limits retries to a fraction of the first attempts, plus a small burst.

    Attributes:
        share: Number of retries earned by one first attempt.
        burst: Maximum number of unused retries that accumulate.
    """

    share: float = attrs.field(validator=attrs.validators.gt(0.0))
    burst: float = attrs.field(validator=attrs.validators.ge(1.0))
    _tokens: float = attrs.field(init=False)

    @_tokens.default
    def _initial_tokens(self) -> float:
        return self.burst

    def note_first_attempt(self) -> None:
        """Adds the share that is earned by one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def take(self) -> bool:
        """Spends one retry; returns whether the budget allowed it."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(
    tried: int, first_s: float, last_s: float, rng: random.Random
) -> float:
    """Returns the delay before the next attempt, in seconds.

    Args:
        tried: Number of previous attempts, at least 1.
        first_s: Maximum delay after the first attempt, in seconds.
        last_s: Maximum delay after any attempt, in seconds.
        rng: The source of the jitter.
    """
    max_delay_s = min(last_s, first_s * 2.0 ** min(tried - 1, 16))
    return rng.uniform(0.0, max_delay_s)
