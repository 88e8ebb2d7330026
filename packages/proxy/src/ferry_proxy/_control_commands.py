"""Questions to members: control commands that are answered by a report."""

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pools

STATUS_PRIORITY = 0  # Control links go before all statements in any case.


class ControlCommands:
    """Asks members over links of their pools."""

    def __init__(self, clock: _clocks.Clock, policy: _policy.Policy) -> None:
        self._clock = clock
        self._policy = policy

    def ask(
        self, pool: _pools.Pool, command: _links.Command
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report.

        Raises:
            decisions.RequestFailedError: The member did not report.
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
