"""Which member a read is sent to.

`replica_first` is the product's policy. `primary_only` and `pin_after_write`
are the baselines of its measurements and may be chosen in the settings.
"""

from collections.abc import Callable
import typing

import attrs

from ferry_decisions import _databases
from ferry_decisions import _registry

PIN_S = 2.0


@attrs.frozen(slots=True)
class ReadRequest:
    """What a policy may know of a read.

    Attributes:
        data_centre: The data centre of the node that asks.
        primary: The name of the primary.
        floor_known: Whether the session's floor is known.
        staleness_s: Greatest age that the read accepts, in seconds.
        since_write_s: Seconds since the session last wrote.
        behind: Members known to be behind or out of reach.
    """

    data_centre: str
    primary: str
    floor_known: bool
    staleness_s: float
    since_write_s: float
    behind: frozenset[str] = frozenset()


class ReadPolicy(typing.Protocol):
    """Orders the members to try for a read."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns names of members, the first to try first."""


READ_POLICIES: _registry.Registry[Callable[[], ReadPolicy]] = (
    _registry.Registry("read policy")
)


@READ_POLICIES.register("replica_first")
class ReplicaFirst:
    """A fit replica, the nearest first, and the primary as the fallback.

    A session whose floor is not known asks the primary once; the position of
    that answer is its floor from then on.
    """

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns one replica and the primary, or the primary alone."""
        if not req.floor_known or req.staleness_s <= 0:
            return [req.primary]
        replicas = [
            m
            for m in database.members
            if m.name != req.primary and m.name not in req.behind
        ]
        replicas.sort(key=lambda m: m.data_centre != req.data_centre)
        return [m.name for m in replicas[:1]] + [req.primary]


@READ_POLICIES.register("primary_only")
class PrimaryOnly:
    """Every read to the primary."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns the primary."""
        return [req.primary]


@READ_POLICIES.register("pin_after_write")
class PinAfterWrite(ReplicaFirst):
    """The primary for some seconds after a write, else a replica."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns the primary while the pin holds."""
        if req.since_write_s < PIN_S:
            return [req.primary]
        return super().order(database, req)
