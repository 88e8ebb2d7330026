"""Two nodes that both hold that they serve a member."""

import attrs
import ferry_decisions as decisions
from ferry_node import _messages
from ferry_node import _ownership
from ferry_node import _serving
from ferry_node import _settings
import msgpack
import pytest

import ferry_standins as standins
from ferry_standins import _virtual
from ferry_standins import _virtual_conn

WRITE = _messages.ExecuteRequest(
    customer="lone-star",
    database="plates",
    member="",
    as_primary=True,
    read=False,
    begin=False,
    may_end=False,
    channel=0,
    floor="",
    staleness_s=0.0,
    budget_s=2.5,
    idempotency_key="",
    session="clerk@lone-star",
    cancel_key=0,
    payload=b"",
)


@pytest.fixture
def contested():
    """Returns a lab and two services for its primary, on two nodes."""
    lab = standins.Lab(standins.LabPlan(), 3)
    lab.timers.advance(1.5)
    primary = lab.primary()
    own = primary.described.data_centre
    other = next(c for c in lab.plan.centres if c != own)
    node = lab.node_in(other)
    cfg = _settings.Settings(
        node=node.node.name,
        data_centre=other,
        host="127.0.0.1",
        store_url="",
        vm_list_url="",
    )
    link = lab.links(other)[primary.name]
    second = _serving.MemberService(
        node.timers,
        node.watch,
        primary.described,
        lab.contracts,
        cfg,
        lambda term, owner: _virtual_conn.VirtualConn(link, term, owner),  # type: ignore[arg-type, return-value]
        iter(range(1, 10**6)),  # type: ignore[arg-type]
    )
    return lab, lab.node_in(own).services[primary.name], second


def contend(lab, services, rounds=30):
    """Writes through both in turn; returns floors below an earlier write."""
    missed = 0
    written = decisions.ZERO_POSITION
    for number in range(1, rounds + 1):
        service = lab.random.choice(services)
        payload = msgpack.packb(["w", "clerk", number])
        req = attrs.evolve(WRITE, member=service.member.name, payload=payload)
        fut = service.execute(req, None)
        lab.timers.advance(lab.random.uniform(0.05, 2.6))
        if fut.done() and not fut.result().reason:
            shown = decisions.Position.from_text(fut.result().position)
            written = max(written, shown)
        for asked in services:
            floor = asked.position("clerk@lone-star")
            lab.timers.advance(0.1)
            if floor.done() and floor.result() is not None:
                missed += floor.result() < written
    return missed


def test_contested_member_keeps_floors_and_its_limit(contested):
    lab, first, second = contested
    assert contend(lab, [first, second]) == 0
    assert lab.primary().peak_conns <= lab.database.primary_connections
    values = [value for _, value in lab.stored()]
    assert len(values) == len(set(values))
    assert len(values) > 5


def test_without_exclusive_owners_floors_are_missed(contested, monkeypatch):
    lab, first, second = contested
    monkeypatch.setattr(_virtual.VirtualMember, "own", lambda *_: None)
    monkeypatch.setattr(
        _ownership.Ownership, "floor", lambda o, key, _: o.floors.floor(key)
    )
    for service in (first, second):
        service.ownership.owned = True
        monkeypatch.setattr(service.ownership, "lose", lambda: None)
        monkeypatch.setattr(service.pool, "_owner", "")
        monkeypatch.setattr(
            service.request_checks,
            "prove",
            lambda _, s=service: _proved(lab, s),
        )
    assert contend(lab, [first, second]) > 0


def _proved(lab, service):
    yield decisions.sleep(lab.timers, 0.001)
    return lab.primary().status()
