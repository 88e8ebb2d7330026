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
        max_store_age_s: How often there is news of a store that is in reach.
    """

    evidence: Callable[[], _currency.Evidence]
    max_store_age_s: float

    def of(
        self, reason: decisions.Reason, subject: str
    ) -> decisions.RequestFailedError:
        """Returns the error for what the configuration does not allow.

        Where it may be outdated the caller is told to come back instead.

        Args:
            reason: What it lacks.
            subject: The database or the key that it lacks.
        """
        evidence = self.evidence()
        why = _currency.doubt(evidence, self.max_store_age_s)
        _events.emit(
            _events.RefusedByConfiguration(
                reason.name, subject, why.value if why else "", evidence
            )
        )
        if why is None:
            return decisions.RequestFailedError(reason, subject)
        return decisions.RequestFailedError(
            decisions.OUTDATED, f"{subject}: {why.value}"
        )
