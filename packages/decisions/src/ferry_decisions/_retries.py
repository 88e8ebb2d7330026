"""Budgets and pauses of retries.

A budget is earned by first tries and spent by retries, so that an outage does
not multiply the load. Pauses grow and are jittered over their whole length.
"""

import random

import attrs


@attrs.define(slots=True)
class RetryBudget:
    """Lets retries be a share of the first tries, with a small burst.

    Attributes:
        share: Retries earned by one first try.
        burst: Most retries that can be saved up.
    """

    share: float = attrs.field(validator=attrs.validators.gt(0.0))
    burst: float = attrs.field(validator=attrs.validators.ge(1.0))
    _tokens: float = attrs.field(init=False)

    @_tokens.default
    def _full(self) -> float:
        return self.burst

    def note_first_attempt(self) -> None:
        """Earns the share of one first try."""
        self._tokens = min(self.burst, self._tokens + self.share)

    def take(self) -> bool:
        """Spends one retry; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(
    tried: int, first_s: float, last_s: float, rng: random.Random
) -> float:
    """Returns the pause before a try, in seconds.

    Args:
        tried: How often it was tried before; 1 or more.
        first_s: The longest pause after the first try.
        last_s: The longest pause of all.
        rng: The source of the jitter.
    """
    longest = min(last_s, first_s * 2.0 ** min(tried - 1, 16))
    return rng.uniform(0.0, longest)
