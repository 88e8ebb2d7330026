"""Monitoring of one database: probes, failure detection, failover and repair.

Runs on each node that serves one of the database's members.
"""

from collections.abc import Callable

from absl import logging
import attrs

from ferry_decisions import _confirmations
from ferry_decisions import _databases
from ferry_decisions import _detector
from ferry_decisions import _flows
from ferry_decisions import _ports
from ferry_decisions import _positions
from ferry_decisions import _promotion
from ferry_decisions import _replicas
from ferry_decisions import _supervision
from ferry_decisions import _timers

# Delay after a failed promotion; half of it after a vote without a majority.
RETRY_DELAY_S = 0.25
# Delay of a node's failover attempt per rank, so that observers take turns.
RANK_DELAY_S = 0.15
# Age at which an open claim is superseded.
OPEN_CLAIM_TIMEOUT_S = 1.5
TICK_PERIOD_S = 0.05

AskOpinions = Callable[
    [_databases.Database, str, int, Callable[[set[str]], bool]],
    "_flows.Future[set[str]]",
]


@attrs.frozen(slots=True)
class WatchSettings:
    """Intervals and timeouts of a watch.

    Attributes:
        probe_s: Interval between status probes, in seconds.
        silence_s: Silence after which a primary is suspected, in seconds.
        refused_s: How long a primary's host must refuse connections before
            the primary is suspected, in seconds.
    """

    probe_s: float = 0.2
    silence_s: float = 1.15
    refused_s: float = 0.3


@attrs.frozen(slots=True)
class WatchContext:
    """The dependencies of a watch.

    Attributes:
        timers: The timer service.
        node: The node's name.
        data_centre: The node's data centre.
        cfg: Intervals and timeouts.
        store: The platform's store.
        ask_opinions: Asks the other observers of a database whether its
            primary has failed; returns the data centres that agree.
        publish: Applies a new record and sends it to all nodes.
        leaving: Returns the endpoints that are leaving, as `host:port`.
        rank: Returns this node's rank among a database's observers, from 0.
        new_id: Returns an identifier that is unique among all nodes.
    """

    timers: _timers.TimerService
    node: str
    data_centre: str
    cfg: WatchSettings
    store: _ports.Store
    ask_opinions: AskOpinions
    publish: Callable[[_databases.Record], object]
    leaving: Callable[[], frozenset[str]]
    rank: Callable[[_databases.Database], int]
    new_id: Callable[[], str]


class DatabaseWatch:
    """One node's monitor of one database, which also runs failovers."""

    def __init__(
        self,
        ctx: WatchContext,
        database: _databases.Database,
        driver: _ports.ClosableDriver,
        record: _databases.Record | None,
    ) -> None:
        self.database = database
        self.driver = driver
        self.tracker = _replicas.ReplicaTracker(ctx.timers, database)
        self.statuses: dict[str, _databases.MemberStatus] = {}
        self.confirmations: _confirmations.Confirmations | None = None
        self.record: _databases.Record | None = None
        self.promotions = 0
        self._ctx = ctx
        self._timers = ctx.timers
        self._detector = _detector.Detector(
            ctx.timers,
            database,
            _detector.DetectorSettings(
                silence_s=ctx.cfg.silence_s, refused_s=ctx.cfg.refused_s
            ),
        )
        self._probing: set[str] = set()
        self._probed_at: dict[str, float] = {}
        self._is_failing_over = False
        self._has_lost_log = False
        self._record_at = ctx.timers.now()
        self._closed = False
        if record is not None:
            self.note_record(record)
        self._timer = _timers.PeriodicTimer(
            ctx.timers, TICK_PERIOD_S, self._tick, first=0.0
        )

    def close(self) -> None:
        """Stops the watch and closes the driver."""
        self._closed = True
        self._timer.stop()
        self.driver.close()
        if self.confirmations is not None:
            self.confirmations.close()

    def note_record(self, record: _databases.Record) -> None:
        """Applies a record if it is newer than the known one."""
        if not record.newer_than(self.record):
            return
        self.record = record
        self._record_at = self._timers.now()
        self._has_lost_log = False
        self._probed_at.clear()
        self.tracker.note_history(record.history)
        if self.confirmations is not None:
            self.confirmations.close()
            self.confirmations = None
        if record.primary:
            self._detector.note_alive(record.primary)
            self.confirmations = _confirmations.Confirmations(
                self._timers,
                self.driver,
                self.database,
                record.primary,
                record.term,
            )

    def note_process_pause(self, late_s: float) -> None:
        """Excludes a pause of this process from failure detection."""
        self._detector.note_process_pause(late_s)

    def note_answer(
        self, member: str, position: _positions.Position | None, asked_at: float
    ) -> None:
        """Records a member's answer as evidence that it is alive.

        Args:
            member: The member that answered.
            position: The position that it reported, if any.
            asked_at: Time at which the request was sent, in seconds.
        """
        self._detector.note_alive(member)
        if position is None:
            return
        self.tracker.note_applied(member, position)
        if self._leads(member, position.term):
            self.tracker.note_primary(position, asked_at)

    def silence(self, member: str) -> float:
        """Returns the seconds since a member was last known to be alive."""
        return self._detector.silence(member)

    def opinion(self, member: str, term: int) -> set[str]:
        """Returns the data centres that consider a primary failed.

        These are this node's own, if it suspects the primary, and those of
        replicas that no longer hear from it. The set is empty if this node's
        record has another primary or term.
        """
        record = self.record
        if record is None or record.term != term or record.primary != member:
            return set()
        votes = self._detector.replica_votes(member)
        if self._detector.suspects(member):
            votes.add(self._ctx.data_centre)
        return votes

    def _leads(self, member: str, term: int) -> bool:
        record = self.record
        return (
            record is not None
            and record.primary == member
            and record.term == term
        )

    def _tick(self) -> None:
        """Sends due probes and starts a failover if one is needed.

        A silent member is probed continuously, so that the end of a short
        pause is noticed immediately.
        """
        now = self._timers.now()
        interval_s = self._ctx.cfg.probe_s
        for member in self.database.members:
            silent = self._detector.silence(member.name) > 1.5 * interval_s
            due = (
                now - self._probed_at.get(member.name, -interval_s)
                >= interval_s
            )
            if (due or silent) and member.name not in self._probing:
                self._probing.add(member.name)
                self._probed_at[member.name] = now
                _supervision.start_detached("probe", self._probe(member))
        if not self._is_failing_over and self._needs_failover():
            self._is_failing_over = True
            fut = _supervision.start_detached("fail over", self._run_failover())
            fut.add_done_callback(lambda _: self._end_failover())

    def _end_failover(self) -> None:
        self._is_failing_over = False

    def _probe(self, member: _databases.Member) -> "_flows.Flow[None]":
        asked_at = self._timers.now()
        try:
            status = yield self.driver.status(member)
        except _ports.EndpointUnreachableError as exc:
            if exc.refused:
                self._detector.note_refused(member.name)
            return
        finally:
            self._probing.discard(member.name)
        self._note_status(member, status, asked_at)
        yield from self._repair(member, status)

    def _note_status(
        self,
        member: _databases.Member,
        status: _databases.MemberStatus,
        asked_at: float,
    ) -> None:
        self.statuses[member.name] = status
        self._detector.note_alive(member.name)
        self.tracker.note_applied(member.name, status.applied)
        if status.is_primary and self._leads(member.name, status.term):
            self.tracker.note_primary(status.received, asked_at)
        else:
            self._detector.note_upstream(member.name, status.upstream_silence_s)
        self._note_promise(status, asked_at)
        if self.confirmations is not None:
            self.confirmations.note_status(status, asked_at)

    def _note_promise(
        self, status: _databases.MemberStatus, asked_at: float
    ) -> None:
        """Notes whether the primary has lost its log, and its promise with it.

        Only its status since the record became known counts; before, it may
        not have been the primary.
        """
        record = self.record
        if record is None or status.name != record.primary:
            return
        if asked_at >= self._record_at:
            self._has_lost_log = status.promised < record.term

    def _repair(
        self, member: _databases.Member, status: _databases.MemberStatus
    ) -> "_flows.Flow[None]":
        """Makes a member that missed a promotion follow the current primary."""
        record = self.record
        if record is None or not record.primary:
            return
        is_behind = status.term < record.term
        if member.name == record.primary or not is_behind:
            return
        order = _ports.PromoteOrder(
            record.term, self.database.member(record.primary), record.starts
        )
        try:
            if status.term > 0 or (yield from self._is_stored(record)):
                yield self.driver.follow(member, order)
        except (
            _ports.EndpointUnreachableError,
            _ports.EndpointRefusedError,
            _ports.StoreUnavailableError,
            _flows.TimeoutExpiredError,
        ) as exc:
            logging.info(
                "event=follow_failed database=%s member=%s detail=%s",
                self.database.name,
                member.name,
                exc,
            )

    def _is_stored(self, record: _databases.Record) -> "_flows.Flow[bool]":
        """Whether the store holds no later record.

        A member that has lost its log would follow a replaced primary, whose
        term it may have promised not to confirm.
        """
        stored = yield from _promotion.read_record(
            self._timers, self._ctx.store, record.database
        )
        if stored is None or not stored.newer_than(record):
            return True
        self._ctx.publish(stored)
        return False

    def _needs_failover(self) -> bool:
        record = self.record
        if record is None:
            return True
        if not record.primary:
            return self._timers.now() - self._record_at > OPEN_CLAIM_TIMEOUT_S
        is_suspected = self._detector.suspects(record.primary)
        return is_suspected or self._is_given_up(record.primary)

    def _is_given_up(self, primary: str) -> bool:
        """Whether a primary is replaced without a vote."""
        return self._has_lost_log or self._is_leaving(primary)

    def _is_leaving(self, name: str) -> bool:
        return self.database.member(name).address in self._ctx.leaving()

    def _leaving_members(self) -> frozenset[str]:
        return frozenset(
            m.name for m in self.database.members if self._is_leaving(m.name)
        )

    def _run_failover(self) -> "_flows.Flow[None]":
        """Replaces the primary if a majority of data centres agrees."""
        yield _flows.sleep(
            self._timers, RANK_DELAY_S * self._ctx.rank(self.database)
        )
        if self._closed or not self._needs_failover():
            return
        known = self.record or _databases.Record(self.database.name, 0)
        if known.primary and not self._is_given_up(known.primary):
            votes = self.opinion(known.primary, known.term)
            if not self._detector.is_majority(votes):
                own = frozenset(votes)
                asked = self._ctx.ask_opinions(
                    self.database,
                    known.primary,
                    known.term,
                    lambda others: self._detector.is_majority(own | others),
                )
                votes |= yield asked
            if not self._detector.is_majority(votes):
                yield _flows.sleep(self._timers, RETRY_DELAY_S / 2)
                return
        yield from self._promote(known)

    def _promote(self, known: _databases.Record) -> "_flows.Flow[None]":
        attempt = _promotion.Promotion(
            self._timers,
            self._ctx.store,
            self.driver,
            self.database,
            self._ctx.node,
            self._ctx.new_id(),
            self._leaving_members(),
        )
        logging.info(
            "event=promotion_begins database=%s term=%d primary=%s",
            known.database,
            known.term,
            known.primary,
        )
        try:
            record = yield from attempt.run(known)
        except _promotion.ClaimLostError as exc:
            self._ctx.publish(exc.record)
            return
        except (
            _promotion.NoMajorityError,
            _ports.StoreUnavailableError,
            _ports.EndpointUnreachableError,
            _ports.EndpointRefusedError,
            _flows.TimeoutExpiredError,
        ) as exc:
            logging.warning(
                "event=promotion_failed database=%s error=%s detail=%s",
                known.database,
                type(exc).__name__,
                exc,
            )
            yield _flows.sleep(self._timers, RETRY_DELAY_S)
            return
        self.promotions += 1
        logging.info(
            "event=promoted database=%s term=%d primary=%s",
            record.database,
            record.term,
            record.primary,
        )
        self._ctx.publish(record)
