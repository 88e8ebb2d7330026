"""Policies that choose the member to which a read is sent.

`replica_first` is the default. `primary_only` and `pin_after_write` are
baselines for benchmarks and can also be selected in the settings.
"""

from collections.abc import Callable
import typing

import attrs

from ferry_decisions import _databases
from ferry_decisions import _registry

# How long `pin_after_write` sends a session's reads to the primary.
PIN_S = 2.0


@attrs.frozen(slots=True)
class ReadRequest:
    """The input of a read policy.

    Attributes:
        data_centre: The data centre of the requesting node.
        primary: The name of the primary.
        floor_known: Whether the session's floor is known.
        staleness_s: Maximum age of data that the read accepts, in seconds.
        since_write_s: Seconds since the session's last write.
        behind: Members known to lag or to be unreachable.
    """

    data_centre: str
    primary: str
    floor_known: bool
    staleness_s: float
    since_write_s: float
    behind: frozenset[str] = frozenset()


class ReadPolicy(typing.Protocol):
    """Orders the members to try for a read, first to last."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns member names in the order in which to try them."""


READ_POLICIES: _registry.Registry[Callable[[], ReadPolicy]] = (
    _registry.Registry("read policy")
)


@READ_POLICIES.register("replica_first")
class ReplicaFirst:
    """Tries the nearest replica, then falls back to the primary.

    A session whose floor is unknown reads from the primary once; the position
    of that answer becomes its floor.
    """

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns one replica and the primary, or only the primary."""
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
    """Sends every read to the primary."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns only the primary."""
        return [req.primary]


@READ_POLICIES.register("pin_after_write")
class PinAfterWrite(ReplicaFirst):
    """Sends reads to the primary for `PIN_S` seconds after a write."""

    def order(
        self, database: _databases.Database, req: ReadRequest
    ) -> list[str]:
        """Returns the primary while the pin lasts, else a replica first."""
        if req.since_write_s < PIN_S:
            return [req.primary]
        return super().order(database, req)
