"""Optional behaviour, and what in settings and configuration calls for it.

A feature costs messages, memory or processor time, so it is off unless the
platform's settings or the operators' routes call for it. An operator can turn
each feature on or off in the file of tunables.
"""

from collections.abc import Callable
from collections.abc import Mapping

from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _policy

# A member counts as unresponsive after 0.15 s at the earliest. A request with a
# shorter target cannot wait for that and be sent elsewhere in time.
TIGHT_TARGET_S = 0.15


Criterion = Callable[
    [_policy.Policy, _configuration.Configuration | None], bool
]
_criteria: dict[_policy.Feature, Criterion] = {}


def _called_for_by(
    *features: _policy.Feature,
) -> Callable[[Criterion], Criterion]:
    """Returns a decorator that registers the criterion of features."""

    def register(criterion: Criterion) -> Criterion:
        for feature in features:
            _criteria[feature] = criterion
        return criterion

    return register


@_called_for_by(_policy.Feature.FAIR_ADMISSION)
def _has_contention(
    policy: _policy.Policy, cfg: _configuration.Configuration | None
) -> bool:
    """Whether the settings say that callers compete for too little capacity."""
    del cfg
    return policy.has_contention


@_called_for_by(
    _policy.Feature.SLOT_SHARING,
    _policy.Feature.LOAD_REPORTS,
    _policy.Feature.RETRY_ADVICE,
)
def _has_contention_or_tight_routes(
    policy: _policy.Policy, cfg: _configuration.Configuration | None
) -> bool:
    """Whether callers compete, or a route's target allows no second attempt."""
    if policy.has_contention:
        return True
    routes = cfg.routes.values() if cfg is not None else ()
    return any(r.target_s < TIGHT_TARGET_S for r in routes)


@_called_for_by(_policy.Feature.MEMBER_OUTCOMES)
def _has_health_checks(
    policy: _policy.Policy, cfg: _configuration.Configuration | None
) -> bool:
    """Whether members may fail although their health checks succeed."""
    del cfg
    return policy.distrusts_health


class Features:
    """The features that are on at this node."""

    def __init__(
        self,
        policy: _policy.Policy,
        configuration: Callable[[], _configuration.Configuration | None],
    ) -> None:
        """Creates the set of active features.

        Args:
            policy: The tunables, with the operator's choices.
            configuration: Returns the active configuration; None before the
                first.
        """
        self._policy = policy
        self._configuration = configuration
        self._evaluated_for: _configuration.Configuration | None = None
        self._active: Mapping[_policy.Feature, bool] = dict.fromkeys(
            _policy.Feature, False
        )
        self._update(self._evaluate(None))

    def is_on(self, feature: _policy.Feature) -> bool:
        """Whether a feature is on now."""
        cfg = self._configuration()
        if cfg is not self._evaluated_for:
            self._evaluated_for = cfg
            self._update(self._evaluate(cfg))
        return self._active[feature]

    def _update(self, active: Mapping[_policy.Feature, bool]) -> None:
        """Sets the active features, with an event for each that changes."""
        was_active, self._active = self._active, active
        for feature, on in active.items():
            if on is not was_active[feature]:
                _events.emit(_events.FeatureChanged(feature.value, on))

    def _evaluate(
        self, cfg: _configuration.Configuration | None
    ) -> Mapping[_policy.Feature, bool]:
        chosen = self._policy.features
        return {
            f: chosen.get(f.value, criterion(self._policy, cfg))
            for f, criterion in _criteria.items()
        }


NONE = Features(
    _policy.Policy(features={f.value: False for f in _policy.Feature}),
    lambda: None,
)
