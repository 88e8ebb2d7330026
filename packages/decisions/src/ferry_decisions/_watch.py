"""Watching one database: probes, suspicion, promotion and repair.

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
from ferry_decisions import _timers

RETRY_S = 0.25
RANK_DELAY_S = 0.15
OPEN_CLAIM_S = 1.5
TICK_S = 0.05

AskOpinions = Callable[
    [_databases.Database, str, int, Callable[[set[str]], bool]],
    "_flows.Future[set[str]]",
]


@attrs.frozen(slots=True)
class WatchSettings:
    """The pace of a watch.

    Attributes:
        probe_s: Period of the status probes, in seconds.
        silence_s: Silence after which a primary is suspected, in seconds.
        refused_s: Refusal after which a primary is suspected, in seconds.
    """

    probe_s: float = 0.2
    silence_s: float = 1.15
    refused_s: float = 0.3


@attrs.frozen(slots=True)
class WatchContext:
    """What a watch needs from its node.

    Attributes:
        timers: The timer service.
        node: The node's name.
        data_centre: The node's data centre.
        cfg: The pace of the watch.
        store: The platform's store.
        ask_opinions: Asks the other observers of a database whether its
            primary is gone; returns the data centres that say so.
        publish: Takes a new record in, and tells every node.
        leaving: Returns the endpoints, as `host:port`, that are leaving.
        rank: This node's turn among a database's observers, from 0.
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
    """What one node knows of one database, and does about it."""

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
        self._deciding = False
        self._record_at = ctx.timers.now()
        self._closed = False
        if record is not None:
            self.note_record(record)
        self._timer = _timers.PeriodicTimer(
            ctx.timers, TICK_S, self._tick, first=0.0
        )

    def close(self) -> None:
        """Stops watching."""
        self._closed = True
        self._timer.stop()
        self.driver.close()
        if self.confirmations is not None:
            self.confirmations.close()

    def note_record(self, record: _databases.Record) -> None:
        """Takes in a record, if it is newer than the one known."""
        if not record.newer_than(self.record):
            return
        self.record = record
        self._record_at = self._timers.now()
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
        """Takes in that this process was paused."""
        self._detector.note_process_pause(late_s)

    def note_answer(
        self, member: str, position: _positions.Position | None, asked_at: float
    ) -> None:
        """Takes in the sign of life that an answer is."""
        self._detector.note_alive(member)
        if position is None:
            return
        self.tracker.note_applied(member, position)
        if self._leads(member, position.term):
            self.tracker.note_primary(position, asked_at)

    def silence(self, member: str) -> float:
        """Returns the seconds since the last sign of life of a member."""
        return self._detector.silence(member)

    def opinion(self, member: str, term: int) -> set[str]:
        """Returns the data centres for which this node finds a primary gone."""
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
        """Sends the probes that are due, and looks for a primary gone.

        A member that is silent is probed all the time, so that the end of a
        short pause is seen at once.
        """
        now = self._timers.now()
        calm_s = self._ctx.cfg.probe_s
        for member in self.database.members:
            silent = self._detector.silence(member.name) > 1.5 * calm_s
            due = now - self._probed_at.get(member.name, -calm_s) >= calm_s
            if (due or silent) and member.name not in self._probing:
                self._probing.add(member.name)
                self._probed_at[member.name] = now
                _flows.start(self._probe(member))
        if not self._deciding and self._wants_change():
            self._deciding = True
            fut = _flows.start(self._decide())
            fut.add_done_callback(lambda _: self._decided())

    def _decided(self) -> None:
        self._deciding = False

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
        if self.confirmations is not None:
            self.confirmations.note_status(status, asked_at)

    def _repair(
        self, member: _databases.Member, status: _databases.MemberStatus
    ) -> "_flows.Flow[None]":
        """Makes a member that missed a change follow the present primary."""
        record = self.record
        if record is None or not record.primary:
            return
        astray = status.term < record.term
        if member.name == record.primary or not astray:
            return
        order = _ports.PromoteOrder(
            record.term, self.database.member(record.primary), record.starts
        )
        try:
            yield self.driver.follow(member, order)
        except (
            _ports.EndpointUnreachableError,
            _ports.EndpointRefusedError,
        ) as exc:
            logging.info(
                "event=follow_failed database=%s member=%s detail=%s",
                self.database.name,
                member.name,
                exc,
            )

    def _wants_change(self) -> bool:
        record = self.record
        if record is None:
            return True
        if not record.primary:
            return self._timers.now() - self._record_at > OPEN_CLAIM_S
        return self._detector.suspects(record.primary) or self._is_leaving(
            record.primary
        )

    def _is_leaving(self, name: str) -> bool:
        return self.database.member(name).address in self._ctx.leaving()

    def _avoided(self) -> frozenset[str]:
        return frozenset(
            m.name for m in self.database.members if self._is_leaving(m.name)
        )

    def _decide(self) -> "_flows.Flow[None]":
        """Changes the primary if a majority of data centres agrees."""
        yield _flows.sleep(
            self._timers, RANK_DELAY_S * self._ctx.rank(self.database)
        )
        if self._closed or not self._wants_change():
            return
        known = self.record or _databases.Record(self.database.name, 0)
        if known.primary and not self._is_leaving(known.primary):
            votes = self.opinion(known.primary, known.term)
            if not self._detector.agreed(votes):
                own = frozenset(votes)
                asked = self._ctx.ask_opinions(
                    self.database,
                    known.primary,
                    known.term,
                    lambda others: self._detector.agreed(own | others),
                )
                votes |= yield asked
            if not self._detector.agreed(votes):
                yield _flows.sleep(self._timers, RETRY_S / 2)
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
            self._avoided(),
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
            yield _flows.sleep(self._timers, RETRY_S)
            return
        self.promotions += 1
        logging.info(
            "event=promoted database=%s term=%d primary=%s",
            record.database,
            record.term,
            record.primary,
        )
        self._ctx.publish(record)
