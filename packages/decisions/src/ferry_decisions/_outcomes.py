"""Outcomes of requests and the reasons for failure reported to callers.

There are three outcomes. RAN: the request ran and the complete answer follows.
NOT_RUN: no part of the request was sent to an endpoint, or the endpoint
reported that it did not run. UNKNOWN: the request was sent and its outcome
could not be determined. SQLSTATE class RF is available to implementations and
is used for failures that are specific to this system.
"""

import enum

import attrs


class Outcome(enum.Enum):
    """Whether a request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen(slots=True)
class Reason:
    """The reason why a request has no answer.

    Attributes:
        sqlstate: The SQLSTATE that is reported to the caller's client.
        outcome: Whether the request may have run.
        name: A stable identifier, used in logs, metrics and peer messages.
        retry_after_s: Suggested delay before a retry, in seconds; 0 if a
            retry does not help.
    """

    sqlstate: str = attrs.field(
        validator=attrs.validators.matches_re(r"[0-9A-Z]{5}")
    )
    outcome: Outcome
    name: str
    retry_after_s: float = 0.0


OVERLOADED = Reason("RF001", Outcome.NOT_RUN, "overloaded", 1.0)
DEADLINE_IN_QUEUE = Reason("RF002", Outcome.NOT_RUN, "deadline_in_queue", 1.0)
NO_PRIMARY = Reason("RF003", Outcome.NOT_RUN, "no_primary", 1.0)
NO_CONTRACT = Reason("RF004", Outcome.NOT_RUN, "no_contract", 2.0)
NO_CONNECTION = Reason("RF005", Outcome.NOT_RUN, "no_connection", 0.5)
TERM_CHANGED = Reason("RF006", Outcome.NOT_RUN, "term_changed", 0.2)
STOPPING = Reason("57P01", Outcome.NOT_RUN, "stopping", 0.1)
NO_SERVING_NODE = Reason("RF008", Outcome.NOT_RUN, "no_serving_node", 1.0)
BEHIND = Reason("RF009", Outcome.NOT_RUN, "behind", 0.2)
TRANSACTION_LOST = Reason("RF010", Outcome.NOT_RUN, "transaction_lost")
READ_CUT = Reason("RF011", Outcome.NOT_RUN, "read_cut", 0.1)
OVER_LIMIT = Reason("RF013", Outcome.NOT_RUN, "over_limit", 1.0)
OUTDATED = Reason("RF014", Outcome.NOT_RUN, "outdated", 0.3)
DUPLICATE_KEY = Reason("RF012", Outcome.NOT_RUN, "duplicate_key")
ANSWER_LOST = Reason("RF101", Outcome.UNKNOWN, "answer_lost")
NOT_CONFIRMED = Reason("RF102", Outcome.UNKNOWN, "not_confirmed")
UNSUPPORTED = Reason("0A000", Outcome.NOT_RUN, "unsupported")
INVALID_SETTING = Reason("22023", Outcome.NOT_RUN, "invalid_setting")
PROTOCOL_VIOLATION = Reason("08P01", Outcome.NOT_RUN, "protocol_violation")
TOO_MANY_CONNECTIONS = Reason(
    "53300", Outcome.NOT_RUN, "too_many_connections", 1.0
)
LOGIN_REFUSED = Reason("28P01", Outcome.NOT_RUN, "login_refused")
CANCELED = Reason("57014", Outcome.NOT_RUN, "canceled")
MEMBER_BUSY = Reason("RF020", Outcome.NOT_RUN, "member_busy", 0.1)
NOT_PRIMARY = Reason("25006", Outcome.NOT_RUN, "not_primary", 0.2)
WRONG_MEMBER = Reason("RF022", Outcome.NOT_RUN, "wrong_member", 0.2)
INTERNAL_FAILURE = Reason("XX000", Outcome.NOT_RUN, "internal_failure", 1.0)
SESSION_STATE_LOST = Reason("RF023", Outcome.NOT_RUN, "session_state_lost", 0.1)
UNKNOWN_PREPARED = Reason("26000", Outcome.NOT_RUN, "unknown_prepared")
UNKNOWN_DATABASE = Reason("3D000", Outcome.NOT_RUN, "unknown_database")
TOO_LARGE = Reason("54000", Outcome.NOT_RUN, "too_large")
IN_FAILED_TRANSACTION = Reason(
    "25P02", Outcome.NOT_RUN, "in_failed_transaction"
)
STATEMENT_FAILED = Reason("RF110", Outcome.UNKNOWN, "statement_failed")
STATEMENT_TIMEOUT = Reason("RF111", Outcome.UNKNOWN, "statement_timeout")

REASONS_BY_NAME: dict[str, Reason] = {
    value.name: value
    for value in list(globals().values())
    if isinstance(value, Reason)
}


class RequestFailedError(Exception):
    """A request failed for a typed reason.

    Attributes:
        reason: The reason for the failure.
        detail: Explanatory text for people; never parsed.
        retry_after_s: Suggested delay before a retry, in seconds; 0 if a
            retry does not help.
        is_estimated: Whether the delay was estimated for this request. It is
            the reason's otherwise.
        keeps_place: Whether a caller that returns after the delay is queued by
            its first arrival.
    """

    def __init__(
        self,
        reason: Reason,
        detail: str = "",
        retry_after_s: float | None = None,
        keeps_place: bool = False,
    ) -> None:
        super().__init__(f"{reason.name}: {detail}" if detail else reason.name)
        self.reason = reason
        self.detail = detail
        self.keeps_place = keeps_place
        self.is_estimated = retry_after_s is not None
        default_s = reason.retry_after_s
        self.retry_after_s = (
            default_s if retry_after_s is None else retry_after_s
        )
