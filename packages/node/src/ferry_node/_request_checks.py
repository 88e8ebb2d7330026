"""The conditions that a request meets before and after it is run."""

import typing

import attrs
import ferry_decisions as decisions

from ferry_node import _endpoint
from ferry_node import _messages
from ferry_node import _settings

POLL_S = 0.003
FAR_BEHIND_S = 0.5


@attrs.define(slots=True)
class Work:
    """A request on its way through the steps."""

    req: _messages.ExecuteRequest
    contract: decisions.Contract
    deadline: float
    sink: _endpoint.Sink | None
    asked_at: float
    was_sent: bool = False
    streamed: bool = False


class RequestChecks:
    """The conditions for requests at one member."""

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
        """Whether the member is the primary, by the record."""
        record = self._watch.record
        return record is not None and record.primary == self._member.name

    def wait_until_eligible(self, work: Work) -> "decisions.Flow[None]":
        """Waits a little for a replica to show what the read needs.

        What is known of the replica may be as old as the last probe, so it
        is asked once in any case. It is asked again only while its usual lag
        lets it catch up within the bound.

        Raises:
            RequestFailedError: It does not show it in time.
            EndpointUnreachableError: It cannot be asked.
        """
        floor = required_floor(work.req)
        tracker = self._watch.tracker
        name = self._member.name
        end = min(work.deadline, self._timers.now() + self._cfg.catch_up_s)
        asked = False
        while True:
            eligibility = tracker.eligibility(name, floor, work.req.staleness_s)
            if eligibility is decisions.Eligibility.ELIGIBLE:
                return
            far = tracker.age(name) > self._cfg.catch_up_s + FAR_BEHIND_S
            hopeless = eligibility is decisions.Eligibility.TOO_OLD or far
            if asked and (hopeless or self._timers.now() >= end):
                raise decisions.RequestFailedError(
                    decisions.BEHIND, eligibility.value
                )
            if asked:
                yield decisions.sleep(self._timers, POLL_S)
            status = yield self._watch.driver.status(self._member)
            tracker.note_applied(name, status.applied)
            asked = True

    def wait_until_responsive(self, work: Work) -> "decisions.Flow[None]":
        """Holds work back from a member that should not be given any.

        Raises:
            RequestFailedError: A replica is silent, the primary has changed,
                or the deadline came; nothing was handed over.
        """
        while True:
            if work.req.as_primary:
                self._check_leads(work)
                ready = self._is_proved()
            else:
                ready = True
            if ready and self._watch.silence(self._member.name) <= (
                self._cfg.hold_s
            ):
                return
            if not work.req.as_primary:
                raise decisions.RequestFailedError(
                    decisions.BEHIND, "replica is silent"
                )
            if self._timers.now() >= work.deadline:
                raise decisions.RequestFailedError(decisions.NO_PRIMARY)
            yield decisions.sleep(self._timers, POLL_S)

    def _check_leads(self, work: Work) -> None:
        """Refuses work for a primary that is known to be replaced."""
        record = self._watch.record
        if record is not None and not record.primary:
            raise decisions.RequestFailedError(decisions.NO_PRIMARY)
        if record is None or not self.leads:
            raise decisions.RequestFailedError(decisions.TERM_CHANGED)
        if required_floor(work.req).term > record.term:
            raise decisions.RequestFailedError(
                decisions.NO_PRIMARY, "the session has seen a later term"
            )

    def _is_proved(self) -> bool:
        """Whether a majority knew the primary a short while ago.

        A primary that is cut off would run a statement that nobody can
        confirm; held back, it is told "not run" instead of "unknown".
        """
        confirmations = self._watch.confirmations
        if confirmations is None:
            return False
        return self._timers.now() - confirmations.proved_at <= self._cfg.hold_s

    def confirm(
        self, work: Work, answer: _endpoint.Answer
    ) -> "decisions.Flow[None]":
        """Waits until a majority holds what the primary's answer shows."""
        if not work.req.as_primary or answer.position is None:
            return
        confirmations = self._watch.confirmations
        record = self._watch.record
        if confirmations is None or record is None:
            raise decisions.RequestFailedError(decisions.ANSWER_LOST)
        if answer.position.term != record.term or not decisions.satisfies(
            answer.position, required_floor(work.req), record.history
        ):
            raise decisions.RequestFailedError(decisions.ANSWER_LOST)
        led_at = work.asked_at
        if work.req.read and work.req.floor:
            led_at -= work.req.staleness_s
        wait_s = min(
            work.contract.commit_wait_s, work.deadline - self._timers.now()
        )
        try:
            yield decisions.with_timeout(
                self._timers,
                max(0.0, wait_s),
                confirmations.confirm(answer.position.index, led_at),
            )
        except decisions.TimeoutExpiredError as exc:
            raise decisions.RequestFailedError(
                decisions.NOT_CONFIRMED, f"at {answer.position}"
            ) from exc

    def prove(
        self, owner: str
    ) -> "decisions.Flow[decisions.MemberStatus | None]":
        """Proves that the member leads and is owned, as of now.

        Returns its status, or None where that could not be proved. The two
        proofs run at once.
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
    """Returns the position that a request has to show."""
    if not req.floor:
        return decisions.ZERO_POSITION
    return decisions.Position.from_text(req.floor)
