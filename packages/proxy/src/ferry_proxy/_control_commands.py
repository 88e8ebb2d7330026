"""Control commands to members, which reply with a status report."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pools

# The value has no effect: control commands precede all statements in the queue.
STATUS_PRIORITY = 0


class ControlCommands:
    """Sends control commands over links of the members' pools."""

    def __init__(self, clock: _clocks.Clock, policy: _policy.Policy) -> None:
        self._clock = clock
        self._policy = policy

    def ask(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report.

        Raises:
            decisions.RequestFailedError: The member sent no report.
        """
        policy = self._policy
        until = self._clock.now() + policy.probe_timeout_s
        pooled = yield pool.acquire(_pools.Use.CONTROL, STATUS_PRIORITY, until)
        asked_at = self._clock.boot_now()
        reply = yield from pool.exchange(pooled, command)
        pool.release(pooled)
        if reply.report is None:
            reason = reply.reason or decisions.PROTOCOL_VIOLATION
            raise decisions.RequestFailedError(reason, reply.detail)
        return attrs.evolve(reply.report, asked_at=asked_at)
