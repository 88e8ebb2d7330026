"""The configuration that a node serves callers with, and its origin."""

import attrs

from ferry_proxy import _clocks
from ferry_proxy import _configuration
from ferry_proxy import _events
from ferry_proxy import _store
from ferry_proxy import _team_placement

# The maximum length of an event's description of invalid items.
MAX_DETAIL_CHARS = 400


@attrs.frozen(slots=True)
class Origin:
    """Where a configuration came from.

    Attributes:
        item: The item that holds the configuration.
        source: The store or a peer.
        learned_at: When it was received, in the clock's seconds.
    """

    item: _store.Item
    source: str
    learned_at: float


class ActiveConfiguration:
    """The newest configuration that a node has received.

    Attributes:
        configuration: The configuration; None before the first one.
        origin: Where it came from; None before the first one.
        homes: The assignment of teams to nodes.
    """

    def __init__(self, clock: _clocks.Clock) -> None:
        self._clock = clock
        self.configuration: _configuration.Configuration | None = None
        self.origin: Origin | None = None
        self.team_placement = _team_placement.TeamPlacement({})

    @property
    def version(self) -> int:
        """The version of the configuration; 0 without one."""
        return self.configuration.version if self.configuration else 0

    def update(
        self,
        cfg: _configuration.Configuration,
        item: _store.Item,
        source: str,
    ) -> None:
        """Activates a configuration unless a newer one is active.

        Args:
            cfg: The configuration.
            item: The item that holds it.
            source: The store or a peer.
        """
        known = self.configuration
        if known is not None and cfg.version < known.version:
            return
        self.origin = Origin(item, source, self._clock.now())
        if known is not None and cfg.version == known.version:
            return  # This version was written again at another revision.
        self.configuration = cfg
        rates = cfg.teams.rates
        if rates != self.team_placement.rates:
            self.team_placement = _team_placement.TeamPlacement(rates)
        self._report(cfg, known, item, source)

    def _report(
        self,
        cfg: _configuration.Configuration,
        known: _configuration.Configuration | None,
        item: _store.Item,
        source: str,
    ) -> None:
        era, number = item.revision.era, item.revision.number
        _events.emit(
            _events.ConfigurationTaken(cfg.version, era, number, source)
        )
        mistakes = cfg.teams.mistakes
        if mistakes and (known is None or known.teams.mistakes != mistakes):
            detail = "; ".join(mistakes)[:MAX_DETAIL_CHARS]
            _events.emit(_events.TeamsPassedOver(cfg.version, detail))
