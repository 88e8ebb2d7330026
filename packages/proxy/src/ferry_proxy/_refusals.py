"""Refusals that rest on the configuration: of databases and of keys."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _currency
from ferry_proxy import _events


@attrs.frozen(slots=True)
class Refusals:
    """Makes refusals, and logs what they rest on.

    Attributes:
        evidence: Returns how current the configuration is.
    """

    evidence: Callable[[], _currency.Evidence]

    def of(
        self, reason: decisions.Reason, subject: str
    ) -> decisions.RequestFailedError:
        """Returns the error for what the configuration does not allow.

        Args:
            reason: What it lacks.
            subject: The database or the key that it lacks.
        """
        _events.emit(
            _events.RefusedByConfiguration(
                reason.name, subject, self.evidence()
            )
        )
        return decisions.RequestFailedError(reason, subject)
