"""Which peer is asked for a copy of the store, and when again."""

import random

import attrs
import ferry_decisions as decisions

from ferry_proxy import _copy_sources


@attrs.frozen
class Peer:
    peer: str


NEAR, FAR = Peer("near"), Peer("far")


def made():
    clock = decisions.VirtualTimers()
    return clock, _copy_sources.CopySources(clock, random.Random(1))


def asked_within(clock, sources, seconds):
    """Returns when a peer that never helps is asked."""
    times = []
    end = clock.now() + seconds
    while clock.now() < end:
        if sources.choose([NEAR], []) is not None:
            times.append(clock.now())
            sources.note_failure(NEAR.peer)
        clock.advance(0.1)
    return times


def test_a_near_peer_comes_first():
    _, sources = made()
    assert sources.choose([NEAR], [FAR]) is NEAR


def test_another_peer_is_asked_after_one_that_could_not_help():
    _, sources = made()
    sources.note_failure(NEAR.peer)
    assert sources.choose([NEAR], [FAR]) is FAR


def test_a_peer_that_never_helps_is_asked_ever_more_seldom():
    clock, sources = made()
    times = asked_within(clock, sources, 60.0)
    assert len([t for t in times if t < 3.0]) >= 3
    assert 8 <= len(times) <= 40
    assert max(b - a for a, b in zip(times, times[1:], strict=False)) < 5.2


def test_a_peer_that_helped_is_asked_at_once():
    clock, sources = made()
    asked_within(clock, sources, 30.0)
    sources.note_success(NEAR.peer)
    assert sources.choose([NEAR], []) is NEAR
