"""Control commands to members, which reply with a status report."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _policy
from ferry_proxy import _pools

# The value has no effect: control commands precede all statements in the queue.
STATUS_PRIORITY = 0

# Raises an error if a command must no longer be sent.
Guard = Callable[[], None]


def no_guard() -> None:
    """The guard of commands that are safe at any time."""


class ControlCommands:
    """Sends control commands over links of the members' pools."""

    def __init__(self, clock: _clocks.Clock, policy: _policy.Policy) -> None:
        self._clock = clock
        self._policy = policy

    def ask(
        self,
        pool: _pools.Pool,
        command: _links.Command,
        guard: Guard = no_guard,
    ) -> "decisions.Flow[_members.Report]":
        """Sends a control command to a member and returns its report.

        Args:
            pool: The member's pool.
            command: The command.
            guard: Called once there is a link, right before the command is
                sent; its error is raised and nothing is sent.

        Raises:
            decisions.RequestFailedError: The member sent no report.
        """
        policy = self._policy
        until = self._clock.now() + policy.probe_timeout_s
        pooled = yield pool.acquire(_pools.Use.CONTROL, STATUS_PRIORITY, until)
        try:
            guard()
        except Exception:
            pool.release(pooled)
            raise
        asked_at = self._clock.boot_now()
        reply = yield from pool.exchange(pooled, command)
        pool.release(pooled)
        if reply.report is None:
            reason = reply.reason or decisions.PROTOCOL_VIOLATION
            raise decisions.RequestFailedError(reason, reply.detail)
        return attrs.evolve(
            reply.report, asked_at=asked_at, linked_at=pooled.opened_at
        )
