"""Identification of callers by their keys, anew for each statement.

A key may be revoked or move to another team while callers that use it are
connected. A statement may also pass through two nodes of which only one knows
of such a change. The newer configuration decides in that case; an older one
never overrides it.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _refusals
from ferry_proxy import _teams

# How many hexadecimal digits of a key's digest messages contain. These are
# enough to tell keys apart.
DIGEST_DIGITS_SHOWN = 8


@attrs.frozen(slots=True)
class Access:
    """Identifies the team that a statement runs for.

    Attributes:
        has_teams: Whether callers belong to teams.
        configuration: Returns the active configuration; None before the first.
        refusals: Creates the errors for keys without a team.
    """

    has_teams: bool
    configuration: Callable[[], _configuration.Configuration | None]
    refusals: _refusals.Refusals

    def identify(self, route: _configuration.Route, key: str) -> _teams.Caller:
        """Returns the identity that a caller's statement runs under.

        Args:
            route: The route of the caller's database.
            key: The key that the caller sent.

        Raises:
            decisions.RequestFailedError: The key belongs to no team.
        """
        cfg = self.configuration()
        if not self.has_teams or route.is_open or cfg is None:
            return _teams.ANONYMOUS
        digest = _teams.digest_of(key)
        team = cfg.teams.by_digest.get(digest)
        if team is None:
            raise self._refused(digest)
        return _teams.Caller(team, digest, cfg.version)

    def confirm(self, caller: _teams.Caller) -> _teams.Caller:
        """Returns the identity that a forwarded statement runs under here.

        Args:
            caller: The identity that the forwarding node found.

        Raises:
            decisions.RequestFailedError: By this node's configuration, which
                is no older than the other node's, the key belongs to no team.
        """
        cfg = self.configuration()
        if cfg is None or not caller.team or cfg.version < caller.version:
            return caller
        team = cfg.teams.by_digest.get(caller.digest)
        if team is None:
            raise self._refused(caller.digest)
        return attrs.evolve(caller, team=team, version=cfg.version)

    def _refused(self, digest: bytes) -> decisions.RequestFailedError:
        shown = digest.hex()[:DIGEST_DIGITS_SHOWN]
        return self.refusals.of(
            decisions.LOGIN_REFUSED, f"no team holds key {shown}"
        )
