"""Refusals of unknown databases and keys, based on the configuration."""

from collections.abc import Callable

import attrs
import ferry_decisions as decisions

from ferry_proxy import _currency
from ferry_proxy import _events


@attrs.frozen(slots=True)
class Refusals:
    """Creates errors for refused callers and logs the evidence for them.

    Attributes:
        evidence: Returns how current the configuration is.
        max_copy_age_s: The greatest age of a copy of the store that counts as
            current, in seconds.
    """

    evidence: Callable[[], _currency.Evidence]
    max_copy_age_s: float

    def of(
        self, reason: decisions.Reason, subject: str
    ) -> decisions.RequestFailedError:
        """Returns the error for something that the configuration lacks.

        If the configuration may be outdated, the error tells the caller to
        retry later instead.

        Args:
            reason: The reason for a refusal by a current configuration.
            subject: The database or the key that is missing.
        """
        evidence = self.evidence()
        why = _currency.doubt(evidence, self.max_copy_age_s)
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
