"""A group that has shrunk to its primary, the replicas being gone for good."""

import ferry_decisions as decisions
import pytest

from ferry_proxy import _configuration
from ferry_proxy.tests import fakes

REPLICAS_REMOVED_S = 12.0  # Long after the replicas have left the list.
IMMEDIATE_S = 0.15


def lab_without_replicas(consistency):
    lab = fakes.Lab(consistency)
    lab.run(1.0)
    lab.cluster.crash("b")
    lab.cluster.crash("c")
    entry = lab.cluster.entries()["a"]
    lab.group.set_members({"a": entry}, lab.limit)
    lab.run(REPLICAS_REMOVED_S)
    return lab


@pytest.mark.parametrize("consistency", list(_configuration.Consistency))
def test_a_lone_primary_goes_on_serving_reads(consistency):
    lab = lab_without_replicas(consistency)
    answer = lab.do(lab.session(), fakes.statement("READ x"))
    assert answer.reason is None


def test_a_write_that_nobody_can_confirm_is_refused_at_once():
    lab = lab_without_replicas(_configuration.Consistency.PRIMARY)
    begun = lab.clock.now()
    answer = lab.do(lab.session(), fakes.statement("WRITE x 1"))
    assert answer.reason.outcome is decisions.Outcome.NOT_RUN
    assert answer.reason.retry_after_s > 0
    assert lab.clock.now() - begun <= IMMEDIATE_S
