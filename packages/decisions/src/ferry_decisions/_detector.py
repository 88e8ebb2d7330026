"""Detection of a primary that is gone, from more than one place.

A node suspects a primary that gave no sign of life for a while, or whose
machine refuses connections for a shorter while. It acts only when a majority
of the members' data centres agree: a data centre speaks through the node that
serves its member, or through the replica itself, which knows how long its
stream from the primary has been silent.
"""

import math

import attrs

from ferry_decisions import _databases
from ferry_decisions import _timers


@attrs.frozen(slots=True)
class DetectorSettings:
    """How patient the detector is.

    Attributes:
        silence_s: Silence after which a member is suspected. It has to be
            longer than the pauses that must not cause a promotion.
        refused_s: How long a machine must refuse connections.
        lateness_s: A timer that is later than this shows that this process
            was paused; the pause is not held against the members.
    """

    silence_s: float = attrs.field(
        default=1.15, validator=attrs.validators.gt(0)
    )
    refused_s: float = attrs.field(
        default=0.3, validator=attrs.validators.gt(0)
    )
    lateness_s: float = attrs.field(
        default=0.1, validator=attrs.validators.gt(0)
    )


@attrs.define(slots=True)
class _Life:
    """Signs of life of one member."""

    heard: float
    refused_since: float = math.inf
    upstream_silence: float = 0.0
    upstream_at: float = -math.inf


class Detector:
    """Suspicion of the members of one database, as seen by one node."""

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
        self._lives = {m.name: _Life(now) for m in database.members}

    def note_alive(self, member: str) -> None:
        """Takes in a sign of life."""
        life = self._lives[member]
        life.heard = self._timers.now()
        life.refused_since = math.inf

    def note_refused(self, member: str) -> None:
        """Takes in that a member's machine refused a connection."""
        life = self._lives[member]
        life.refused_since = min(life.refused_since, self._timers.now())

    def note_upstream(self, member: str, silence_s: float) -> None:
        """Takes in a replica's report of its primary's silence."""
        life = self._lives[member]
        life.upstream_silence = silence_s
        life.upstream_at = self._timers.now()

    def note_process_pause(self, late_s: float) -> None:
        """Forgives the members the time for which this process was paused."""
        if late_s < self._cfg.lateness_s:
            return
        now = self._timers.now()
        for life in self._lives.values():
            life.heard = min(now, life.heard + late_s)
            if life.refused_since < now:
                life.refused_since = min(now, life.refused_since + late_s)

    def silence(self, member: str) -> float:
        """Returns the seconds since the last sign of life of a member."""
        return self._timers.now() - self._lives[member].heard

    def suspects(self, member: str) -> bool:
        """Whether this node alone would call a member gone."""
        life = self._lives[member]
        now = self._timers.now()
        if now - life.refused_since >= self._cfg.refused_s:
            return True
        return now - life.heard >= self._cfg.silence_s

    def replica_votes(self, primary: str) -> set[str]:
        """Returns the data centres whose replica finds the primary silent."""
        now = self._timers.now()
        votes = set()
        for member in self._database.members:
            life = self._lives[member.name]
            fresh = now - life.upstream_at < self._cfg.silence_s
            silent = life.upstream_silence >= self._cfg.silence_s
            if member.name != primary and fresh and silent:
                votes.add(member.data_centre)
        return votes

    def agreed(self, votes: "set[str] | frozenset[str]") -> bool:
        """Whether a majority of the members' data centres voted."""
        centres = {m.data_centre for m in self._database.members}
        return len(votes & centres) >= len(centres) // 2 + 1
