"""Tests of what turns optional features on."""

import attrs
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _features
from ferry_proxy import _policy
from ferry_proxy import _policy_file

Feature = _policy.Feature
ROUTE = _configuration.Route(
    "r", "db", "orders", _configuration.Consistency.PRIMARY, 1.0, 0.2, 1
)


def configuration(target_s: float) -> _configuration.Configuration:
    route = attrs.evolve(ROUTE, target_s=target_s)
    return _configuration.Configuration(1, {"db": route}, {}, 3.0, 1 << 20)


def active(policy, cfg=None) -> set[Feature]:
    features = _features.Features(policy, lambda: cfg)
    return {f for f in Feature if features.is_on(f)}


def test_no_feature_is_on_by_default():
    assert active(_policy.Policy()) == set()
    assert active(_policy.Policy(), configuration(0.2)) == set()


def test_settings_with_contention_turn_on_what_answers_it():
    bounds = _policy.Bounds(has_contention=True)
    found = active(_policy.Policy().within(bounds))
    assert found == set(Feature) - {Feature.MEMBER_OUTCOMES}


def test_settings_with_health_checks_turn_member_outcomes_on():
    bounds = _policy.Bounds(distrusts_health=True)
    found = active(_policy.Policy().within(bounds))
    assert found == {Feature.MEMBER_OUTCOMES}


def test_a_route_with_a_tight_target_shares_slots_and_reports_load():
    assert active(_policy.Policy(), configuration(0.12)) == {
        Feature.SLOT_SHARING,
        Feature.LOAD_REPORTS,
        Feature.RETRY_ADVICE,
    }


def test_a_new_configuration_is_evaluated():
    current = [configuration(0.2)]
    features = _features.Features(_policy.Policy(), lambda: current[0])
    assert not features.is_on(Feature.SLOT_SHARING)
    current[0] = configuration(0.1)
    assert features.is_on(Feature.SLOT_SHARING)


def test_operators_choose_features(tmp_path):
    path = tmp_path / "policy.jsonc"
    path.write_text('{"features": {"slot_sharing": true}}  // only this')
    policy = _policy_file.policy_from_file(str(path))
    assert active(policy) == {Feature.SLOT_SHARING}
    off = _policy.Policy(has_contention=True, features={"retry_advice": False})
    assert Feature.RETRY_ADVICE not in active(off)


def test_an_unknown_feature_is_refused_with_the_file_and_the_field(tmp_path):
    path = tmp_path / "policy.jsonc"
    path.write_text('{"features": {"slot_shares": true}}')
    with pytest.raises(_policy_file.InvalidPolicyError) as found:
        _policy_file.policy_from_file(str(path))
    assert str(path) in str(found.value)
    assert "slot_shares" in str(found.value)
