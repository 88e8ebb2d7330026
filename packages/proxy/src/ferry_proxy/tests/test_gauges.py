"""Tests of the gauges that show an operator the load."""

import attrs
import pytest

from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _features
from ferry_proxy import _gauges
from ferry_proxy import _group_gauges
from ferry_proxy import _metrics
from ferry_proxy import _policy
from ferry_proxy.queueing import _admission_queue
from ferry_proxy.tests import fakes
from ferry_proxy.tests import test_commit_stall
from ferry_proxy.tests import test_overload

ROUTE = _configuration.Route(
    "r", "db", "orders", _configuration.Consistency.PRIMARY, 1.0, 0.2, 1
)


def rendered(metrics) -> dict[str, float]:
    """Returns the values of a metrics page by name and labels."""
    lines = metrics.render().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines]
    return {k.removeprefix("rosemaryferry_"): float(v) for k, v in pairs}


def member_gauges(groups) -> dict[str, float]:
    metrics = _metrics.Metrics()
    _gauges._add_member_gauges(metrics, lambda: groups)
    return rendered(metrics)


def test_a_full_member_shows_what_runs_and_waits():
    lab = test_overload.Load()
    lab.lag()
    lab.offer(lab.route, 400, 0.2)
    lab.run(0.15)
    found = member_gauges({"orders": lab.group})
    label = '{member="a",service="orders"}'
    assert found["member_running" + label] == 4
    assert found["member_share" + label] == 4
    assert found["member_waiting" + label] > 0
    assert found["member_expected_wait_seconds" + label] > 0.02


def test_the_number_of_gauges_is_bounded(monkeypatch):
    monkeypatch.setattr(_gauges, "MAX_MEMBERS", 4)
    lab = fakes.Lab()
    found = member_gauges({f"s{n}": lab.group for n in range(3)})
    assert sum(k.startswith("member_share") for k in found) == 4
    assert found["members_not_shown{}"] == 5


def test_refusals_are_counted_by_reason_and_priority():
    lab = test_overload.Load()
    lab.lag()
    lab.offer(lab.route, 800, 0.2)
    lab.run(2.0)
    found = rendered(lab.ctx.metrics)
    key = 'refusals_total{priority="1",reason="overloaded"}'
    assert found[key] == len(lab.refused("r"))


def test_what_a_queue_did_not_let_in_is_counted_by_reason_and_priority():
    lab = test_overload.Load(features={"fair_admission": True})
    pool = lab.group.pools["a"]
    why = _admission_queue.Refusal
    assert pool.admission is not None
    pool.admission.refusals.update(
        {(why.TARGET, 1): 3, (why.WAITED, 10**6): 2, (why.WAITED, -1): 1}
    )
    found = {
        (labels["member"], labels["why"], labels["priority"]): count
        for labels, count in _gauges._admission_refusals({"orders": lab.group})
    }
    assert found == {
        ("a", "target", "1"): 3,
        ("a", "waited", _metrics.OTHER_PRIORITIES): 3,
    }


def test_without_fair_admission_its_refusals_are_not_shown():
    lab = test_overload.Load()
    found = list(_gauges._admission_refusals({"orders": lab.group}))
    assert found == []


def test_a_primary_without_replicas_is_shown_as_stalled():
    lab = test_commit_stall.Load()
    groups = {"orders": lab.group}
    metrics = _metrics.Metrics()
    _group_gauges.add(metrics, "orders", lambda: groups.get("orders"))
    name = 'commits_stalled{service="orders"}'
    assert rendered(metrics)[name] == 0
    lab.cut()
    lab.offer("WRITE x 1", 20, 1.0)
    lab.run(test_commit_stall.DETECTED_S)
    assert rendered(metrics)[name] == 1
    groups.clear()
    assert rendered(metrics)[name] == 0


@pytest.mark.parametrize("priority", [-1, 10, 10**9])
def test_unusual_priorities_share_a_counter(priority):
    metrics = _metrics.Metrics()
    metrics.record_refusal("overloaded", priority)
    assert b'priority="(others)"' in metrics.render()


def test_features_are_shown_and_a_change_is_an_event(monkeypatch):
    events: list[_events.FeatureChanged] = []
    monkeypatch.setattr(_events, "emit", events.append)
    route = attrs.evolve(ROUTE, target_s=0.12)
    cfg = _configuration.Configuration(1, {"db": route}, {}, 3.0, 1 << 20)
    current: list[_configuration.Configuration | None] = [None]
    features = _features.Features(_policy.Policy(), lambda: current[0])
    assert dict(_shown(features))["retry_advice"] == 0
    assert events == []
    current[0] = cfg
    assert dict(_shown(features))["retry_advice"] == 1
    current[0] = None
    features.is_on(_policy.Feature.RETRY_ADVICE)
    changes = [(e.feature, e.on) for e in events]
    assert changes.count(("retry_advice", True)) == 1
    assert changes.count(("retry_advice", False)) == 1


def test_a_feature_that_is_on_from_the_start_is_an_event(monkeypatch):
    events: list[_events.FeatureChanged] = []
    monkeypatch.setattr(_events, "emit", events.append)
    policy = _policy.Policy(features={"retry_advice": True})
    _features.Features(policy, lambda: None)
    assert [(e.feature, e.on) for e in events] == [("retry_advice", True)]


def _shown(features):
    for labels, value in _gauges._features_on(features):
        yield labels["feature"], value
