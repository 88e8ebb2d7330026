"""Expected service times of statements at a member, by route and kind.

Answers a load of statements whose times differ by a factor of five between
routes, of which few take seven times as long, at a member whose speed changes.
The service time is the time in a slot. The time at a member also includes its
queue, and this node cannot see what others sent. So a kind's times come from
statements sent while the member was probably uncrowded, and the pace tells how
much longer statements take now.
"""

import bisect
import collections
from collections.abc import Callable
import math

import attrs

from ferry_decisions import _load

# Bounds of the histograms. A bucket is a quarter wider than the one before.
MIN_TIME_S = 0.0005
MAX_TIME_S = 60.0
BUCKET_FACTOR = 1.25
# Samples that a histogram spans: some ten seconds of a busy route.
SPAN_SAMPLES = 100
# The number of kinds with a histogram.
MAX_KINDS = 64
# The weight of the member's overall times, in samples of a kind.
PRIOR_SAMPLES = 2.0
# Samples after which a kind needs no more from a crowded member.
ENOUGH_SAMPLES = 5.0
# The expected time before any sample.
INITIAL_TIME_S = 0.005
# The weight of a sample in the pace, which then spans ten.
PACE_WEIGHT = 0.1
# A longer sample counts as this many expected times: a single long statement
# says little about the member.
MAX_PACE_STEP = 4.0
MAX_PACE = 50.0
MIN_PACE = 0.25
# Time constant with which the pace returns to 1 without samples.
PACE_FADE_S = 1.0
HIGH_QUANTILE = 0.9

_BUCKETS = 1 + math.ceil(math.log(MAX_TIME_S / MIN_TIME_S, BUCKET_FACTOR))
_UPPER = [MIN_TIME_S * BUCKET_FACTOR**n for n in range(_BUCKETS)]


class TimeHistogram:
    """A histogram of times that forgets old samples.

    Attributes:
        weight: The number of samples, decayed.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * _BUCKETS
        self._total_s = 0.0
        self.weight = 0.0

    def note(self, time_s: float) -> None:
        """Records a time, in seconds."""
        keep = 1.0 - 1.0 / SPAN_SAMPLES
        self._counts = [c * keep for c in self._counts]
        self._counts[_bucket(time_s)] += 1.0
        self._total_s = self._total_s * keep + time_s
        self.weight = self.weight * keep + 1.0

    @property
    def mean_s(self) -> float:
        """The mean time; 0 without samples."""
        return self._total_s / self.weight if self.weight else 0.0

    def quantile_s(self, quantile: float) -> float:
        """Returns the upper bound of a quantile; 0 without samples."""
        if not self.weight:
            return 0.0
        left = quantile * self.weight
        for upper_s, count in zip(_UPPER, self._counts, strict=True):
            left -= count
            if left <= 0.0:
                return upper_s
        return _UPPER[-1]

    def remaining_s(self, age_s: float) -> float | None:
        """Returns the mean rest of a statement that has run for a while.

        Args:
            age_s: How long it has run, in seconds.

        Returns:
            The rest in seconds; None if no sample took that long.
        """
        first = bisect.bisect_right(_UPPER, age_s)
        longer = self._counts[first:]
        weight = sum(longer)
        if weight <= 0.0:
            return None
        upper = _UPPER[first:]
        total_s = sum(u * c for u, c in zip(upper, longer, strict=True))
        return max(0.0, total_s / weight - age_s)


@attrs.define(slots=True)
class Pace:
    """Times now, as a multiple of what is expected."""

    _elapsed_s: float = 0.0
    _expected_s: float = 0.0
    _noted_at: float = 0.0

    def note(self, elapsed_s: float, expected_s: float, now: float) -> None:
        """Records a time, what was expected and when it ended."""
        if not self._expected_s:
            self._expected_s = self._elapsed_s = expected_s
        pace = self.at(now)
        counted_s = min(elapsed_s, MAX_PACE_STEP * pace * expected_s)
        self._expected_s += PACE_WEIGHT * (expected_s - self._expected_s)
        faded_s = pace * self._expected_s
        self._elapsed_s = faded_s + PACE_WEIGHT * (
            counted_s - pace * expected_s
        )
        self._noted_at = now

    def at(self, now: float) -> float:
        """Returns the pace at some time, in the same seconds."""
        if not self._expected_s:
            return 1.0
        pace = self._elapsed_s / self._expected_s
        fade = math.exp(min(0.0, (self._noted_at - now) / PACE_FADE_S))
        return min(MAX_PACE, max(MIN_PACE, 1.0 + (pace - 1.0) * fade))


class ServiceTimes:
    """The service times of one member's statements."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates an estimate without samples.

        Args:
            now: Returns the time, in seconds.
        """
        self._now = now
        self._kinds: collections.OrderedDict[_load.WorkKey, TimeHistogram] = (
            collections.OrderedDict()
        )
        self._all = TimeHistogram()
        self._pace = Pace()

    def __len__(self) -> int:
        """Returns the number of kinds with a histogram."""
        return len(self._kinds)

    @property
    def pace(self) -> float:
        """Time of statements now, as a multiple of their service time."""
        return self._pace.at(self._now())

    @property
    def overall_s(self) -> float:
        """The mean service time of all kinds, in seconds."""
        return self._all.mean_s or INITIAL_TIME_S

    def note(
        self, key: _load.WorkKey, elapsed_s: float, is_crowded: bool
    ) -> None:
        """Records a statement that succeeded.

        Args:
            key: Its route and kind.
            elapsed_s: Its time at the member, in seconds.
            is_crowded: Whether it may have waited in the member's queue. It
                then counts for the pace, and for its kind only while little
                is known of that.
        """
        if not 0.0 < elapsed_s < float("inf"):
            return
        elapsed_s = min(elapsed_s, MAX_TIME_S)
        pace = self.pace
        times = self._times_of(key)
        if times.weight:
            self._pace.note(elapsed_s, self.mean_s(key), self._now())
        if not is_crowded:
            times.note(elapsed_s)
            self._all.note(elapsed_s)
        elif times.weight < ENOUGH_SAMPLES:
            times.note(min(elapsed_s / pace, MAX_TIME_S))
            if not self._all.weight:
                self._all.note(elapsed_s)

    def note_whole(self, key: _load.WorkKey, elapsed_s: float) -> None:
        """Records the time of several statements, which has no pace."""
        if 0.0 < elapsed_s < float("inf"):
            self._times_of(key).note(elapsed_s)

    def mean_s(self, key: _load.WorkKey) -> float:
        """Returns the expected service time of a kind, in seconds."""
        return self._with_prior(key, self.overall_s, lambda t: t.mean_s)

    def high_s(self, key: _load.WorkKey) -> float:
        """Returns the 0.9 quantile of the service time, in seconds."""
        prior_s = self._all.quantile_s(HIGH_QUANTILE) or INITIAL_TIME_S
        return self._with_prior(
            key, prior_s, lambda t: t.quantile_s(HIGH_QUANTILE)
        )

    def spread_s(self, key: _load.WorkKey) -> float:
        """Returns by how much the high quantile exceeds the mean."""
        return max(0.0, self.high_s(key) - self.mean_s(key))

    def median_s(self, key: _load.WorkKey) -> float:
        """Returns the median of what was recorded for a key; 0 for nothing."""
        times = self._kinds.get(key)
        return times.quantile_s(0.5) if times is not None else 0.0

    def remaining_s(self, key: _load.WorkKey, age_s: float) -> float:
        """Returns the expected rest of a running statement, in seconds.

        Args:
            key: Its route and kind.
            age_s: How long it has run, in seconds.
        """
        pace = self.pace
        times = self._kinds.get(key)
        rest_s = None
        if times is not None and times.weight >= ENOUGH_SAMPLES:
            rest_s = times.remaining_s(age_s / pace)
        if rest_s is not None:
            return rest_s * pace
        mean_s = self.mean_s(key) * pace
        # One that exceeds all samples may take as long again as it has.
        return mean_s - age_s if age_s < mean_s else age_s

    def _with_prior(
        self,
        key: _load.WorkKey,
        prior_s: float,
        figure: Callable[[TimeHistogram], float],
    ) -> float:
        times = self._kinds.get(key)
        if times is None or not times.weight:
            return prior_s
        weighted_s = figure(times) * times.weight + prior_s * PRIOR_SAMPLES
        return weighted_s / (times.weight + PRIOR_SAMPLES)

    def _times_of(self, key: _load.WorkKey) -> TimeHistogram:
        """Returns a kind's histogram; the least recently used one may go."""
        times = self._kinds.get(key)
        if times is None:
            times = self._kinds[key] = TimeHistogram()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(key)
        return times


def _bucket(time_s: float) -> int:
    return min(bisect.bisect_left(_UPPER, time_s), _BUCKETS - 1)
