"""Tests of the admission queue: shares, limits and deadlines."""

import attrs
import pytest

import ferry_decisions as decisions


def contract(name, share=1, queue=1000):
    return decisions.Contract(
        customer=name,
        databases=("d",),
        share=share,
        connections=1,
        queue=queue,
    )


def queue_of(timers, slots=1, order="fair"):
    return decisions.AdmissionQueue(
        timers, slots, decisions.ADMISSION_POLICIES.get(order)(), burst_s=0.0
    )


def served_in(shares, rounds=300, service_s=0.01):
    """Returns how often each customer was served while all queues are full."""
    timers = decisions.VirtualTimers()
    queue = queue_of(timers)
    counts = dict.fromkeys(shares, 0)

    def request(name):
        fut = queue.acquire(contract(name, shares[name]), 1e9)
        fut.add_done_callback(lambda done: serve(name, done.result()))

    def serve(name, slot):
        counts[name] += 1
        timers.after(service_s, lambda: (request(name), queue.release(slot)))

    for name in shares:
        for _ in range(3):
            request(name)
    timers.advance(rounds * service_s)
    return counts


@pytest.mark.parametrize(
    "shares",
    [{"a": 1, "b": 1}, {"a": 3, "b": 1}, {"a": 10, "b": 1, "c": 1}],
)
def test_slots_follow_the_shares(shares):
    counts = served_in(shares)
    total, weight = sum(counts.values()), sum(shares.values())
    for name, share in shares.items():
        assert abs(counts[name] / total - share / weight) < 0.02


def test_slots_are_never_idle_while_one_waits():
    timers = decisions.VirtualTimers()
    queue = queue_of(timers, slots=3)
    futs = [queue.acquire(contract("only"), 1e9) for _ in range(7)]
    assert [f.done() for f in futs] == [True] * 3 + [False] * 4
    queue.release(futs[0].result())
    assert futs[3].done() and not futs[4].done()


def failed_with(fut):
    exc = fut.exception()
    assert isinstance(exc, decisions.RequestFailedError)
    return exc.reason


@pytest.mark.parametrize(
    ("name", "queue_limit", "deadline", "reason"),
    [
        ("full queue", 2, 100.0, decisions.OVERLOADED),
        ("wait longer than the deadline", 1000, 0.001, decisions.OVERLOADED),
    ],
)
def test_refusal_is_early_and_typed(name, queue_limit, deadline, reason):
    timers = decisions.VirtualTimers()
    queue = queue_of(timers)
    mine = contract("a", queue=queue_limit)
    for _ in range(3):
        queue.acquire(mine, 100.0)
    assert failed_with(queue.acquire(mine, deadline)) is reason, name


def test_deadline_in_the_queue_ends_the_wait():
    timers = decisions.VirtualTimers()
    queue = queue_of(timers)
    queue.acquire(contract("a"), 100.0)
    waiting = queue.acquire(contract("a"), 0.5)
    timers.advance(0.6)
    assert failed_with(waiting) is decisions.DEADLINE_IN_QUEUE
    assert queue.depths() == {}


def test_amended_share_counts_from_the_next_slot():
    timers = decisions.VirtualTimers()
    queue = queue_of(timers)
    first = contract("a", share=1)
    queue.acquire(first, 1e9)
    queue.acquire(attrs.evolve(first, share=7), 1e9)
    assert queue.depths() == {"a": 1}


def test_customer_holds_no_more_than_its_limit():
    timers = decisions.VirtualTimers()
    order = decisions.ADMISSION_POLICIES.get("fair")()
    queue = decisions.AdmissionQueue(timers, 5, order, limit=lambda _: 2)
    mine = [queue.acquire(contract("a"), 1e9) for _ in range(4)]
    other = queue.acquire(contract("b"), 1e9)
    assert [f.done() for f in mine] == [True, True, False, False]
    assert other.done()
    queue.release(mine[0].result())
    assert mine[2].done() and not mine[3].done()
