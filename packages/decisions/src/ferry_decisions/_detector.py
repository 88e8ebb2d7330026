"""Failure detection for primaries, with a vote by data centre.

A node suspects a primary that has been silent for some time, or whose host has
refused connections for a shorter time. A primary is replaced only when a
majority of the members' data centres agree. A data centre votes through the
node that serves its member, or through the replica itself, which knows how long
its replication stream from the primary has been silent.
"""

import math

import attrs

from ferry_decisions import _databases
from ferry_decisions import _timers


@attrs.frozen(slots=True)
class DetectorSettings:
    """Timeouts of the failure detector, in seconds.

    Attributes:
        silence_s: Silence after which a member is suspected. It must exceed
            the pauses that must not cause a promotion.
        refused_s: How long a member's host must refuse connections before the
            member is suspected.
        pause_threshold_s: A timer delayed by this much or more indicates that
            this process was paused; members are not suspected for that time.
    """

    silence_s: float = attrs.field(
        default=1.15, validator=attrs.validators.gt(0)
    )
    refused_s: float = attrs.field(
        default=0.3, validator=attrs.validators.gt(0)
    )
    pause_threshold_s: float = attrs.field(
        default=0.1, validator=attrs.validators.gt(0)
    )


@attrs.define(slots=True)
class _Liveness:
    """Evidence of one member's liveness, with times in seconds."""

    heard_at: float
    refused_since: float = math.inf
    upstream_silence: float = 0.0
    upstream_at: float = -math.inf


class Detector:
    """One node's suspicions of the members of one database."""

    def __init__(
        self,
        timers: _timers.TimerService,
        database: _databases.Database,
        cfg: DetectorSettings,
    ) -> None:
        self._timers = timers
        self._cfg = cfg
        self._database = database
        now = timers.now()
        self._liveness = {m.name: _Liveness(now) for m in database.members}

    def note_alive(self, member: str) -> None:
        """Records that a member answered."""
        liveness = self._liveness[member]
        liveness.heard_at = self._timers.now()
        liveness.refused_since = math.inf

    def note_refused(self, member: str) -> None:
        """Records that a member's host refused a connection."""
        liveness = self._liveness[member]
        liveness.refused_since = min(liveness.refused_since, self._timers.now())

    def note_upstream(self, member: str, silence_s: float) -> None:
        """Records how long a replica has not heard from its primary."""
        liveness = self._liveness[member]
        liveness.upstream_silence = silence_s
        liveness.upstream_at = self._timers.now()

    def note_process_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from the members' silence."""
        if late_s < self._cfg.pause_threshold_s:
            return
        now = self._timers.now()
        for liveness in self._liveness.values():
            liveness.heard_at = min(now, liveness.heard_at + late_s)
            if liveness.refused_since < now:
                liveness.refused_since = min(
                    now, liveness.refused_since + late_s
                )

    def silence(self, member: str) -> float:
        """Returns the seconds since a member was last known to be alive."""
        return self._timers.now() - self._liveness[member].heard_at

    def suspects(self, member: str) -> bool:
        """Whether this node by itself considers a member failed."""
        liveness = self._liveness[member]
        now = self._timers.now()
        if now - liveness.refused_since >= self._cfg.refused_s:
            return True
        return now - liveness.heard_at >= self._cfg.silence_s

    def replica_votes(self, primary: str) -> set[str]:
        """Returns the data centres whose replicas find the primary silent."""
        now = self._timers.now()
        votes = set()
        for member in self._database.members:
            liveness = self._liveness[member.name]
            fresh = now - liveness.upstream_at < self._cfg.silence_s
            silent = liveness.upstream_silence >= self._cfg.silence_s
            if member.name != primary and fresh and silent:
                votes.add(member.data_centre)
        return votes

    def is_majority(self, votes: "set[str] | frozenset[str]") -> bool:
        """Whether the votes are a majority of the members' data centres."""
        centres = {m.data_centre for m in self._database.members}
        return len(votes & centres) >= len(centres) // 2 + 1
