"""Who a caller is: the team that holds its key, at each statement anew.

Answers keys that are taken away or move to another team while their callers
are connected, and statements that pass through two nodes of which one has
heard of it and the other has not: the newer configuration decides, and never
an older one after it.
"""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _refusals
from ferry_proxy import _teams

SHOWN_DIGITS = 8  # Of a key's digest in messages: enough to tell keys apart.


@attrs.frozen(slots=True)
class Access:
    """Tells in whose name statements run.

    Attributes:
        has_teams: Whether callers belong to teams.
        configuration: Returns the configuration in force.
        refusals: Makes refusals of what it does not allow.
    """

    has_teams: bool
    configuration: Callable[[], _configuration.Configuration | None]
    refusals: _refusals.Refusals

    def identify(self, route: _configuration.Route, key: str) -> _teams.Caller:
        """Returns in whose name a caller's statement runs.

        Args:
            route: The route that it is under.
            key: What the caller said of itself.

        Raises:
            decisions.RequestFailedError: No team holds the key.
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
        """Returns in whose name another node's statement runs here.

        Args:
            caller: Who the other node says that it is.

        Raises:
            decisions.RequestFailedError: A newer configuration gives the key
                to no team.
        """
        cfg = self.configuration()
        if cfg is None or not caller.team or cfg.version < caller.version:
            return caller
        team = cfg.teams.by_digest.get(caller.digest)
        if team is None:
            raise self._refused(caller.digest)
        return attrs.evolve(caller, team=team, version=cfg.version)

    def _refused(self, digest: bytes) -> decisions.RequestFailedError:
        shown = digest.hex()[:SHOWN_DIGITS]
        return self.refusals.of(
            decisions.LOGIN_REFUSED, f"no team holds key {shown}"
        )
