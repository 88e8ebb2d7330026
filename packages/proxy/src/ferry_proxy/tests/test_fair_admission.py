"""Tests of the queue for a member that gets more than it can run."""

import attrs
import ferry_decisions as decisions
import pytest

from ferry_proxy import _link_queue
from ferry_proxy import _members
from ferry_proxy.queueing import _kinds
from ferry_proxy.queueing import _work
from ferry_proxy.tests import fakes
from ferry_proxy.tests import member_load
from ferry_proxy.tests import test_overload


def flood_of_kinds(is_on=True, orders_per_s=40):
    """Load: both replicas are behind; orders need 6%, the others 190%."""
    load = member_load.MemberLoad(is_on)
    load.offer("order", orders_per_s, 6.0)
    load.offer("upload", 200, 6.0)
    load.offer("view", 115, 6.0)
    load.run(9.0)
    return load


def test_refusals_in_a_flood_come_at_once_and_answers_come_in_time():
    load = flood_of_kinds()
    refused = [a for a in load.answers if a.failure is not None]
    late = [a for a in refused if a.took_s > 0.05]
    served = [a for a in load.answers if a.failure is None]
    assert len(late) < 0.15 * len(refused)
    assert sum(a.in_time for a in served) > 0.97 * len(served)


def test_the_member_is_kept_busy_with_what_is_in_time():
    """Guards against refusing after a fixed share of the target."""
    in_time_s = {}
    for is_on in (False, True):
        load = flood_of_kinds(is_on)
        in_time_s[is_on] = sum(
            member_load.WORK_S[a.route] for a in load.answers if a.in_time
        )
    capacity_s = member_load.SLOTS * 6.0
    assert in_time_s[True] > 0.9 * capacity_s
    assert in_time_s[True] > in_time_s[False]


def test_the_least_urgent_kind_keeps_its_part_in_floods_of_the_others():
    load = member_load.MemberLoad()
    load.offer("order", 700, 6.0)  # More than all slots.
    load.offer("view", 125, 6.0)
    load.run(9.0)
    assert load.slot_parts(since=2.0)["view"] > 0.08
    # The urgent kind gets the rest of the places.
    place_s = member_load.WORK_S["order"] + 2 * fakes.NET_S
    rest = (1.0 - _kinds.KIND_SHARE) * member_load.SLOTS / place_s / 700
    assert load.share_in_time(route="order", since=2.0) > 0.95 * rest


def test_urgent_requests_wait_for_a_place_at_most_in_floods_of_others():
    """They are not preempted: one statement of each kind may go before."""
    alone = member_load.MemberLoad()
    alone.offer("order", 40, 6.0)
    alone.run(9.0)
    load = flood_of_kinds()
    assert load.share_in_time(route="order") == 1.0
    assert load.p99_s(route="order") < alone.p99_s(route="order") + 0.03


def test_floods_of_others_hardly_delay_urgent_requests():
    alone = member_load.MemberLoad()
    alone.offer("order", 40, 6.0)
    alone.run(9.0)
    load = flood_of_kinds()
    assert load.p99_s(route="order") <= 1.2 * alone.p99_s(route="order")


def test_a_teams_flood_does_not_push_out_other_teams_of_its_priority():
    shares = {}
    for is_on in (False, True):
        load = member_load.MemberLoad(is_on)
        load.offer("upload", 600, 6.0, team="flood")
        for number in range(5):
            load.offer("upload", 20, 6.0, team=f"t{number}")
        load.run(9.0)
        teams = [load.share_in_time(team=f"t{n}") for n in range(5)]
        shares[is_on] = min(teams)
    assert shares[True] > 0.97
    assert shares[False] < 0.8


def test_floods_of_a_team_and_of_a_kind_at_once_leave_the_others_alone():
    load = member_load.MemberLoad()
    load.offer("view", 250, 6.0, team="flood")
    load.offer("upload", 300, 6.0, team="flood")
    load.offer("upload", 40, 6.0, team="calm")
    load.offer("order", 40, 6.0, team="calm")
    load.run(9.0)
    assert load.share_in_time(route="order") > 0.99
    assert load.share_in_time(route="upload", team="calm") > 0.95
    assert load.slot_parts(since=1.0)["view"] > 0.08


def test_refusals_tell_when_there_is_room():
    load = flood_of_kinds()
    failures = [a.failure for a in load.answers if a.failure is not None]
    times_s = [f.retry_after_s for f in failures]
    assert min(times_s) > 0.0
    assert max(times_s) < 3.0


def test_what_is_refused_and_waits_is_counted_by_reason_and_kind():
    load = flood_of_kinds()
    admission = load.pool.admission
    assert admission is not None
    refused = sum(a.failure is not None for a in load.answers)
    assert sum(admission.refusals.values()) == refused
    assert {rank for _, rank in admission.refusals} <= {0, 1, 2}
    assert admission.lengths.total() == 0


def test_after_all_capacity_was_gone_requests_are_served_at_once_again():
    load = member_load.MemberLoad()
    load.offer("upload", 100, 2.0)
    load.run(2.0)
    load.member.dark = True
    load.offer("upload", 100, 1.5)
    load.run(1.5)
    # Links are lost, as the callers' timeouts would close them.
    for link in list(load.member.links):
        link.fail("lost")
    load.member.dark = False
    back_at = load.clock.now()
    load.run(0.3)
    load.offer("upload", 100, 2.0)
    load.run(4.0)
    assert load.share_in_time(since=back_at + 0.3) > 0.98


def test_requests_do_not_wait_for_a_member_whose_statements_hang():
    """Guards against taking a silent member for one with a long queue."""
    load = member_load.MemberLoad()
    load.offer("view", 100, 1.0)
    load.run(1.0)
    load.member.dark = True
    hung_at = load.clock.now()
    load.offer("view", 100, 0.5)
    load.run(0.5)
    load.run(1.0)
    waited = [
        a
        for a in load.of(since=hung_at)
        if a.failure is not None and a.failure.reason is decisions.OVERLOADED
    ]
    assert len(waited) > 20
    hold_s = member_load.ROUTES["view"].target_s * load.policy.hold_share
    assert max(a.took_s for a in waited) <= hold_s + 0.25


def test_a_pause_of_the_node_is_no_time_of_the_member():
    load = member_load.MemberLoad()
    load.offer("upload", 150, 3.0)
    load.run(3.0)
    admission = load.pool.admission
    assert admission is not None
    key = decisions.WorkKey("upload", "read")
    before_s = admission.times.mean_s(key)
    # All replies that came during the pause are read after it.
    load.offer("upload", 150, 0.5)
    load.run(0.5)
    load.member.slowness = 40.0
    load.offer("upload", 300, 0.02)
    load.run(0.8)
    load.pool.exclude_pause(0.8)
    load.member.slowness = 1.0
    load.run(3.0)
    assert admission.times.mean_s(key) < 1.3 * before_s


def test_requests_in_the_queue_of_a_paused_node_go_behind_those_in_time():
    load = member_load.MemberLoad(parallel=1)
    load.offer("view", 40, 2.0)
    load.run(2.0)
    admission = load.pool.admission
    assert admission is not None
    now = load.clock.now()
    late = _work.Work(
        key=decisions.WorkKey("view", "read"),
        priority=2,
        target_s=1.2,
        target_at=now - 0.5,
        deadline=now + 8.0,
    )
    in_time = attrs.evolve(late, target_at=now + 1.0)
    waiters = [
        _link_queue.Waiter(
            2, _link_queue.Use.STATEMENT, "", {}, decisions.Future(), work
        )
        for work in (late, in_time)
    ]
    for waiter in waiters:
        admission.add(waiter)
    order = admission.in_order()
    assert order.index(waiters[1]) < order.index(waiters[0])


def test_waiting_requests_keep_their_target_when_routes_change():
    load = member_load.MemberLoad()
    load.offer("upload", 400, 1.0)
    load.run(0.5)
    before = dict(member_load.ROUTES)
    try:
        member_load.ROUTES["upload"] = attrs.evolve(
            before["upload"], priority=2
        )
        load.run(1.5)
    finally:
        member_load.ROUTES.update(before)
    admission = load.pool.admission
    assert admission is not None
    assert len(load.answers) == 400
    assert not admission.lengths
    served = [a for a in load.answers if a.failure is None]
    assert sum(a.in_time for a in served) > 0.95 * len(served)


def test_a_kind_never_seen_is_let_in_and_known_after_a_few():
    load = member_load.MemberLoad()
    load.offer("upload", 230, 4.0)
    load.run(1.0)
    load.offer("view", 4, 3.0, text="rare")  # Within the part of its kind.
    load.run(5.0)
    admission = load.pool.admission
    assert admission is not None
    assert load.share_in_time(route="view") > 0.9
    rare_s = admission.times.mean_s(decisions.WorkKey("view", "rare"))
    assert 0.05 < rare_s < 0.2
    rest = (member_load.SLOTS - 4 * member_load.WORK_S["rare"]) / (
        member_load.WORK_S["upload"] + 2 * fakes.NET_S
    )
    assert load.share_in_time(route="upload") > rest / 230


def test_a_member_that_just_turned_slow_gets_no_more_than_it_answers_in_time():
    load = member_load.MemberLoad()
    load.offer("upload", 150, 5.0)
    load.run(2.0)
    load.member.slowness = 4.0
    slow_at = load.clock.now()
    load.run(6.0)
    since = slow_at + 1.0
    served = [a for a in load.of(since=since) if a.failure is None]
    assert len(served) > 0.2 * len(load.of(since=since))
    assert sum(a.in_time for a in served) > 0.9 * len(served)


class TailLoad(member_load.MemberLoad):
    """Three in a hundred statements take seven times as long."""

    def factor(self) -> float:
        return 7.0 if self.draw.random() < 0.03 else 1.0


def test_a_long_tail_neither_stops_admission_nor_makes_the_rest_late():
    load = TailLoad()
    load.offer("upload", 300, 6.0)  # 1.7 times what it can run.
    load.run(9.0)
    served = [a for a in load.answers if a.failure is None]
    assert (
        sum(member_load.WORK_S["upload"] * 1.18 for _ in served)
        > 0.9 * member_load.SLOTS * 6.0
    )
    assert sum(a.in_time for a in served) > 0.95 * len(served)


def test_the_queue_without_the_feature_is_the_one_that_was_there():
    load = member_load.MemberLoad(is_on=False)
    assert load.pool.admission is None
    load.offer("upload", 400, 2.0)
    load.run(4.0)
    hold_s = member_load.ROUTES["upload"].target_s * load.policy.hold_share
    refused = [a for a in load.answers if a.failure is not None]
    assert max(a.took_s for a in refused) <= hold_s + 0.001
    times_s = [a.failure.retry_after_s for a in refused if a.failure]
    assert set(times_s) == {decisions.OVERLOADED.retry_after_s}


def session_load() -> test_overload.Load:
    return test_overload.Load(features={"fair_admission": True})


def test_sessions_are_served_in_time_while_both_replicas_are_behind():
    load = session_load()
    load.lag()
    load.offer(load.route, 400, 2.0)  # Twice what the primary can run.
    load.offer(load.urgent, 50, 2.0)
    load.run(4.0)
    assert len(load.served("u")) == 100
    assert len(load.served("r")) > 300
    assert max(load.served("r")) <= load.route.target_s
    late = [t for t in load.refused("r") if t > 0.1]
    assert len(late) < 0.05 * len(load.refused("r"))


def test_writes_held_during_a_change_of_primary_are_let_in_as_late():
    load = session_load()
    load.cluster.members["a"].dark = True
    for number in range(48):
        load.clock.after(0.2 + number * 0.0125, load.ask_write)
    load.run(0.85)
    load.cluster._lead(load.cluster.members["b"])
    load.group.note_leader(_members.Leader("b", 2))
    load.run(2.0)
    assert len(load.served("r")) >= 40
    assert max(load.served("r")) < load.route.timeout_s


def test_whole_transactions_are_recorded_for_what_they_need():
    load = session_load()
    for _ in range(5):
        session = load.session()
        for text in ("BEGIN", "WRITE x 1", "WRITE y 1", "COMMIT"):
            assert load.do(session, fakes.statement(text)).reason is None
    admission = load.group.pools["a"].admission
    assert admission is not None
    whole_s = admission.times.median_s(
        decisions.WorkKey("r", _work.TRANSACTION_KIND)
    )
    assert whole_s > 3 * fakes.WORK_S
    assert len(admission.running) == 0


@pytest.mark.parametrize("is_on", [False, True])
def test_control_commands_are_never_refused(is_on):
    load = member_load.MemberLoad(is_on)
    load.offer("view", 400, 1.0)
    load.run(0.5)
    fut = load.pool.acquire(_link_queue.Use.CONTROL, 0, load.clock.now() + 0.3)
    load.run(0.1)
    assert fut.exception() is None
