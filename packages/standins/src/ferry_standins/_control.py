"""Control statements of a fake member: terms, roles and waits."""

import json
import typing

import ferry_decisions as decisions
import ferry_node as node

from ferry_standins import _log

if typing.TYPE_CHECKING:
    from ferry_standins import _member
    from ferry_standins import _session


def run(
    member: "_member.Member", session: "_session.Session", text: str
) -> None:
    """Executes a control order and replies with the member's status."""
    raw = json.loads(text)
    order = decisions.structure(raw, node.ControlOrder, "order")
    if order.op == "running":
        session.answer_value(member.is_running(order.process_id))
        return
    if order.op == "wait":
        _wait(member, session, order)
        return
    try:
        _change(member, order)
    except _log.RefusedError as exc:
        session.refuse_control(str(exc))
        return
    session.answer_status()


def _change(member: "_member.Member", order: node.ControlOrder) -> None:
    replica = member.replica
    match order.op:
        case "own":
            member.own(order.owner)
        case "fence":
            was_primary = replica.leads
            replica.fence(order.term, order.claim_id)
            if was_primary and not replica.leads:
                member.drop_callers()
        case "promote":
            member.apply_to(len(replica.log))
            replica.lead(order.term, dict(order.starts)[order.term])
        case "follow":
            _follow(member, order)
        case _:
            return


def _follow(member: "_member.Member", order: node.ControlOrder) -> None:
    replica = member.replica
    if order.term < replica.promised:
        raise _log.RefusedError(f"promised {replica.promised}")
    common = member.group.common_prefix(member.name, order.primary)
    start = dict(order.starts)[order.term]
    end = member.group.log_end(order.primary)
    was_truncated = replica.follow(
        order.term, order.primary, common, start, end
    )
    member.drop_callers()
    if was_truncated:
        member.rebuild()


def _wait(
    member: "_member.Member",
    session: "_session.Session",
    order: node.ControlOrder,
) -> None:
    """Replies once an index has been received, or after the timeout."""
    if order.index <= len(member.replica.log):
        session.answer_status()
        return
    waiting = (order.index, session)
    member.waits.append(waiting)

    def expire() -> None:
        if waiting in member.waits:
            member.waits.remove(waiting)
            session.answer_status()

    member.loop.after(order.timeout_s, expire)
