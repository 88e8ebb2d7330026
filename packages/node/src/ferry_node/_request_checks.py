"""Conditions that are checked before and after a request is run."""

import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _messages
from ferry_node import _settings

POLL_INTERVAL_S = 0.003
# A replica whose lag exceeds the allowed wait by more than this margin is not
# expected to catch up in time.
CATCH_UP_MARGIN_S = 0.5


@attrs.define(slots=True)
class RequestState:
    """A request and what is known of its execution so far.

    Attributes:
        req: The request.
        contract: The contract of its customer.
        deadline: When it expires, in seconds of the timer service.
        sink: Called with the parts of a long answer; None to collect them.
        asked_at: When it arrived at this node.
        was_sent: Whether the endpoint may have received it.
        streamed: Whether a part of the answer was already passed on.
        applied: The position for which the member was found recent enough.
    """

    req: _messages.ExecuteRequest
    contract: decisions.Contract
    deadline: float
    sink: _endpoint.Sink | None
    asked_at: float
    was_sent: bool = False
    streamed: bool = False
    applied: decisions.Position = decisions.ZERO_POSITION


class RequestChecks:
    """Checks the requests for one member."""

    def __init__(
        self,
        timers: decisions.TimerService,
        watch: decisions.DatabaseWatch,
        member: decisions.Member,
        cfg: _settings.PolicySettings,
    ) -> None:
        self._timers = timers
        self._watch = watch
        self._member = member
        self._cfg = cfg

    @property
    def leads(self) -> bool:
        """Whether the database's record names the member as primary."""
        record = self._watch.record
        return record is not None and record.primary == self._member.name

    def wait_until_eligible(
        self, state: RequestState
    ) -> "decisions.Flow[None]":
        """Waits until a replica is recent enough for a read.

        The replica's known position may be as old as the last probe, so its
        status is requested at least once. It is requested again only while
        the replica's usual lag lets it catch up within `catch_up_s`.

        Raises:
            RequestFailedError: The replica did not catch up in time.
            EndpointUnreachableError: Its status could not be requested.
        """
        floor = required_floor(state.req)
        tracker = self._watch.tracker
        name = self._member.name
        end = min(state.deadline, self._timers.now() + self._cfg.catch_up_s)
        asked = False
        while True:
            state.applied = tracker.applied(name)
            eligibility = tracker.eligibility(
                name, floor, state.req.staleness_s
            )
            if eligibility is decisions.Eligibility.ELIGIBLE:
                return
            is_far_behind = (
                tracker.age(name) > self._cfg.catch_up_s + CATCH_UP_MARGIN_S
            )
            cannot_catch_up = (
                eligibility is decisions.Eligibility.TOO_OLD or is_far_behind
            )
            if asked and (cannot_catch_up or self._timers.now() >= end):
                raise decisions.RequestFailedError(
                    decisions.BEHIND, eligibility.value
                )
            if asked:
                yield decisions.sleep(self._timers, POLL_INTERVAL_S)
            status = yield self._watch.driver.status(self._member)
            tracker.note_applied(name, status.applied)
            asked = True

    def wait_until_responsive(
        self, state: RequestState
    ) -> "decisions.Flow[None]":
        """Waits until the member responds and, if primary, is confirmed.

        Raises:
            RequestFailedError: A replica is silent, the primary has changed,
                or the deadline has passed; the request was not sent.
        """
        while True:
            if state.req.as_primary:
                self._check_is_primary(state)
                is_ready = self._is_recently_confirmed()
            else:
                is_ready = True
            if is_ready and self._watch.silence(self._member.name) <= (
                self._cfg.hold_s
            ):
                return
            if not state.req.as_primary:
                raise decisions.RequestFailedError(
                    decisions.BEHIND, "replica is silent"
                )
            if self._timers.now() >= state.deadline:
                raise decisions.RequestFailedError(decisions.NO_PRIMARY)
            yield decisions.sleep(self._timers, POLL_INTERVAL_S)

    def _check_is_primary(self, state: RequestState) -> None:
        """Rejects a request for a primary that is known to be replaced."""
        record = self._watch.record
        if record is not None and not record.primary:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        if record is None or not self.leads:
            raise decisions.RequestFailedError(decisions.TERM_CHANGED)
        if required_floor(state.req).term > record.term:
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "the session has seen a later term"
            )

    def _is_recently_confirmed(self) -> bool:
        """Whether a majority confirmed the primary within `hold_s`.

        An isolated primary would run a statement that no majority can
        confirm, and its outcome would be "unknown". A statement that is held
        back instead fails as "not run".
        """
        confirmations = self._watch.confirmations
        if confirmations is None:
            return False
        return self._timers.now() - confirmations.proved_at <= self._cfg.hold_s

    def confirm(
        self, state: RequestState, answer: _endpoint.Answer
    ) -> "decisions.Flow[None]":
        """Waits until a majority holds all that a primary's answer shows.

        Raises:
            RequestFailedError: The answer is of another term or below the
                request's floor, or no majority confirmed it in time.
        """
        if not state.req.as_primary or answer.position is None:
            return
        confirmations = self._watch.confirmations
        record = self._watch.record
        if confirmations is None or record is None:
            raise decisions.RequestFailedError(decisions.ANSWER_LOST)
        if answer.position.term != record.term or not decisions.satisfies(
            answer.position, required_floor(state.req), record.history
        ):
            raise decisions.RequestFailedError(decisions.ANSWER_LOST)
        led_since = state.asked_at
        if state.req.read and state.req.floor:
            led_since -= state.req.staleness_s
        wait_s = min(
            state.contract.commit_wait_s, state.deadline - self._timers.now()
        )
        try:
            yield decisions.with_timeout(
                self._timers,
                max(0.0, wait_s),
                confirmations.confirm(answer.position.index, led_since),
            )
        except decisions.TimeoutExpiredError as exc:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, f"at {answer.position}"
            ) from exc

    def prove(
        self, owner: str
    ) -> "decisions.Flow[decisions.MemberStatus | None]":
        """Proves that the member is the primary and belongs to the owner.

        The two proofs run at the same time.

        Args:
            owner: The owner that the member has to report.

        Returns:
            The member's status, or None if a proof failed.
        """
        watch = self._watch
        record = watch.record
        confirmations = watch.confirmations
        if confirmations is None or record is None or not self.leads:
            return None
        led = confirmations.confirm(0, self._timers.now())
        asked = watch.driver.status(self._member)
        try:
            status = yield asked
            yield led
        except (
            decisions.EndpointUnreachableError,
            decisions.EndpointRefusedError,
            decisions.TermReplacedError,
        ):
            return None
        owned = status.owner == owner
        if owned and status.is_primary and status.term == record.term:
            return typing.cast(decisions.MemberStatus, status)
        return None


def required_floor(req: _messages.ExecuteRequest) -> decisions.Position:
    """Returns the lowest position that may answer a request."""
    if not req.floor:
        return decisions.ZERO_POSITION
    return decisions.Position.from_text(req.floor)
