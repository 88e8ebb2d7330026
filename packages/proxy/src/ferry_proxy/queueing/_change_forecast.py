"""When statements will run again that wait for a change of primary.

A request whose time limit ends before the change does would wait for nothing.
The forecast counts from the newest stage of the change that this node has seen,
and takes as long as earlier changes took from that stage.
"""

import enum

import attrs

from ferry_proxy import _policy

# The weight of earlier durations against a new one that is shorter.
DURATION_DECAY = 0.8


class Stage(enum.IntEnum):
    """A stage of a change of primary; the later one has the higher value."""

    SUSPECTED = 0
    CLAIMED = 1
    FENCED = 2
    PROMOTING = 3


# The stages that the steps of this node's own promoter begin.
_STAGE_OF_STEP = {
    "claimed": Stage.CLAIMED,
    "fenced": Stage.FENCED,
    "promoting": Stage.PROMOTING,
}
_ABANDONED_STEP = "abandoned"


@attrs.frozen(slots=True, kw_only=True)
class PrimaryView:
    """What a node knows about a primary and its change.

    Attributes:
        at: The time, in the clock's seconds.
        is_suspected: Whether it is lost or has been silent for long.
        is_claimed: Whether a node is changing it.
        found_at: When the current primary was found; minus infinity for never.
    """

    at: float
    is_suspected: bool
    is_claimed: bool
    found_at: float


class ChangeForecast:
    """The expected end of changes of one group's primary."""

    def __init__(self, policy: _policy.Policy) -> None:
        self._entered: dict[Stage, float] = {}
        self._durations: dict[Stage, float] = {}
        # No request waits for a change that takes longer than this.
        self._longest_s = policy.unanswered_s + policy.promote_wait_s
        promotion_s = policy.promote_wait_s / 2
        self._defaults = dict.fromkeys(Stage, promotion_s)
        self._defaults[Stage.SUSPECTED] = policy.unanswered_s + promotion_s

    def note_step(self, step: str, now: float) -> None:
        """Records a step of this node's promoter.

        Args:
            step: The name of the step.
            now: The time, in the clock's seconds.
        """
        if step == _ABANDONED_STEP:
            self._entered.clear()
        elif step in _STAGE_OF_STEP:
            self._entered[_STAGE_OF_STEP[step]] = now

    def update(self, view: PrimaryView) -> None:
        """Updates the stages from what the node knows now."""
        if self._entered and view.found_at >= min(self._entered.values()):
            self._learn(view.found_at)
            self._entered.clear()
        if view.is_claimed:
            self._entered.setdefault(Stage.CLAIMED, view.at)
        else:
            for stage in set(self._entered) - {Stage.SUSPECTED}:
                del self._entered[stage]
        if view.is_suspected:
            self._entered.setdefault(Stage.SUSPECTED, view.at)
        else:
            self._entered.pop(Stage.SUSPECTED, None)

    def remaining_s(self, now: float) -> float:
        """Returns the expected time until statements run again, in seconds.

        It is 0 if no change is known or the last forecast has passed.
        """
        if not self._entered:
            return 0.0
        stage = max(self._entered)
        return max(0.0, self._entered[stage] + self._duration_s(stage) - now)

    def _duration_s(self, stage: Stage) -> float:
        return self._durations.get(stage, self._defaults[stage])

    def _learn(self, ended_at: float) -> None:
        for stage, entered_at in self._entered.items():
            took_s = min(self._longest_s, max(0.0, ended_at - entered_at))
            earlier_s = self._durations.get(stage, 0.0)
            self._durations[stage] = max(took_s, DURATION_DECAY * earlier_s)
