"""Fakes of a database group and a store, and a test harness in virtual time."""

from collections.abc import Callable
import contextlib
import enum
import functools

import attrs
import ferry_decisions as decisions

from ferry_proxy import _access
from ferry_proxy import _catalogue
from ferry_proxy import _configuration
from ferry_proxy import _currency
from ferry_proxy import _execution
from ferry_proxy import _features
from ferry_proxy import _groups
from ferry_proxy import _links
from ferry_proxy import _members
from ferry_proxy import _metrics
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _promotions
from ferry_proxy import _records
from ferry_proxy import _refusals
from ferry_proxy import _runners
from ferry_proxy import _sessions
from ferry_proxy import _statements
from ferry_proxy import _store

STATES = _statements.TransactionState
NET_S = 0.001
WORK_S = 0.01
PROMOTE_S = 0.6
APPLY_S = 0.02


CONTROL_COMMANDS = (
    _links.Status,
    _links.Pause,
    _links.Resume,
    _links.StepDown,
)


STATE_COMMANDS = (_links.Reset, _links.SetValue, _links.Prepare)


class Fault(enum.Enum):
    """How a member fails statements while it answers status requests."""

    RESET = "reset"
    ERROR = "error"
    MUTE = "mute"
    BUSY = "busy"


@attrs.define(eq=False)
class FakeMember:
    """A member with its log and its injected faults.

    Attributes:
        dark: Whether it silently drops all messages.
        crashed: Whether its process has ended.
        isolated: Whether it is cut off from the other members.
        busy: How many of the next statements fail with MEMBER_BUSY.
        is_control_busy: Whether control commands fail with MEMBER_BUSY.
        ignores_step_down: Whether StepDown alone fails with MEMBER_BUSY.
        replies_to_drop: How many of the next replies to statements are lost.
        commands: The control commands that it received.
        opened: How many links to it were opened.
        fault: How it fails statements; None if it does not.
        fault_every: It fails each statement whose number is a multiple of this.
        slots: How many statements it runs concurrently; 0 for no limit.
        slot_free_at: When each slot becomes free, in the clock's seconds.
        slowness: The duration of statements, as a multiple of the usual one.
    """

    id: str
    cluster: "FakeCluster"
    role: _members.Role
    term: int = 1
    paused_term: int = 0
    log: list[tuple[int, str]] = attrs.field(factory=list)
    draining: bool = False
    dark: bool = False
    crashed: bool = False
    isolated: bool = False
    lag_s: float = APPLY_S
    busy: int = 0
    is_control_busy: bool = False
    ignores_step_down: bool = False
    replies_to_drop: int = 0
    fault: Fault | None = None
    fault_every: int = 1
    statements: int = 0
    links: list["FakeLink"] = attrs.field(factory=list)
    runs: list[tuple[str, str]] = attrs.field(factory=list)
    commands: list[_links.Command] = attrs.field(factory=list)
    opened: int = 0
    slots: int = 0
    slot_free_at: list[float] = attrs.field(factory=list)
    slowness: float = 1.0
    born: int = 1_000

    def next_fault(self) -> Fault | None:
        """Returns how the next statement fails; None if it does not."""
        self.statements += 1
        is_due = self.statements % self.fault_every == 0
        return self.fault if is_due else None

    def work_delay(self, statement: _statements.Statement) -> float:
        """Returns the duration of a statement sent now, with its queueing."""
        if self.fault is not None and self.fault_every == 1:
            return 0.0  # It fails at once.
        work_s = self.cluster.work_s(statement) * self.slowness
        if not self.slots:
            return work_s
        now = self.cluster.clock.now()
        if len(self.slot_free_at) < self.slots:
            self.slot_free_at += [now] * (self.slots - len(self.slot_free_at))
        self.slot_free_at.sort()
        begins = max(now, self.slot_free_at[0])
        self.slot_free_at[0] = begins + work_s
        return self.slot_free_at[0] - now

    @property
    def end(self) -> decisions.Position:
        term = self.log[-1][0] if self.log else 0
        return decisions.Position(term, len(self.log))

    def entry(self) -> _members.Member:
        return _members.Member(
            self.id,
            "orders",
            "h-" + self.id,
            1,
            "hall-" + self.id,
            5,
            draining=self.draining,
            leads=self.role is _members.Role.PRIMARY,
            born=self.born,
        )

    def report(self) -> _members.Report:
        return _members.Report(
            self.role, self.term, self.end, self.paused_term, 0.0
        )


class FakeLink:
    """A connection to a fake member that runs commands in order."""

    def __init__(self, member: FakeMember, team: str = "") -> None:
        self.member = member
        self.team = team
        self.lost = False
        self.silent = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, _statements.Prepared] = {}
        self.state = STATES.IDLE
        self.is_plain = False
        self.writes: list[str] = []
        self._pending: list[decisions.Future[_links.Reply]] = []
        member.links.append(self)

    def run(self, commands):
        if self.lost:
            lost = _links.LinkLostError("lost", was_sent=False)
            return [decisions.failed(lost) for _ in commands]
        clock = self.member.cluster.clock
        futs = []
        delay = NET_S
        for command in commands:
            fut: decisions.Future[_links.Reply] = decisions.Future()
            self._pending.append(fut)
            if isinstance(command, _links.Run):
                delay += self.member.work_delay(command.statement)
            clock.after(delay, functools.partial(self._run, command, fut))
            futs.append(fut)
        return futs

    def close(self) -> None:
        self.fail("closed", is_local=True)

    def fail(self, detail: str, is_local: bool = False) -> None:
        if self.lost:
            return
        self.lost = True
        pending, self._pending = self._pending, []
        for fut in pending:
            lost = _links.LinkLostError(detail, is_local=is_local)
            decisions.reject(fut, lost)

    def _run(self, command, fut) -> None:
        member = self.member
        if self.lost or member.dark or member.crashed or self.silent:
            return
        is_run = isinstance(command, _links.Run)
        fault = member.next_fault() if is_run else None
        if fault is Fault.RESET:
            self.fail("reset by peer")
            return
        if fault is Fault.MUTE:
            self.silent = True
            return
        reply = self._reply(command) if fault is None else self._fail(fault)
        if reply is None:
            return
        if is_run and member.replies_to_drop:
            member.replies_to_drop -= 1
            self.silent = True
            return
        member.cluster.clock.after(NET_S, lambda: self._send(fut, reply))

    def _send(self, fut, reply) -> None:
        if not self.lost and not self.member.dark and not fut.done():
            self._pending.remove(fut)
            fut.set_result(reply)

    def _reply(self, command):
        member = self.member
        if isinstance(command, CONTROL_COMMANDS):
            member.commands.append(command)
            if member.is_control_busy:
                return self._error(decisions.MEMBER_BUSY)
        if isinstance(command, STATE_COMMANDS) and self._refuses_state:
            return self._error(decisions.NOT_PRIMARY)
        match command:
            case _links.Status():
                return self._ok(report=member.report())
            case _links.Pause(term):
                if member.role is _members.Role.REPLICA:
                    member.paused_term = max(member.paused_term, term)
                return self._ok(report=member.report())
            case _links.Resume():
                member.paused_term = 0
                return self._ok(report=member.report())
            case _links.StepDown() if member.ignores_step_down:
                return self._error(decisions.MEMBER_BUSY)
            case _links.StepDown(term):
                if member.term < term:
                    member.role = _members.Role.REPLICA
                return self._ok(report=member.report())
            case _links.Reset():
                self.values = {}
                self.prepared = {}
                return self._ok()
            case _links.SetValue(name, value):
                self.values[name] = value
                return self._ok()
            case _links.Prepare(name, prepared):
                self.prepared[name] = prepared
                return self._ok()
            case _links.Rollback():
                self.state = STATES.IDLE
                self.writes = []
                return self._ok()
            case _links.Begin():
                return self._begin(command)
            case _links.Run():
                return self._statement(command)
        raise AssertionError(command)

    def _ok(self, **fields):
        position = self.member.cluster.shown(self.member)
        return _links.Reply(self.state, position=position, **fields)

    def _fail(self, fault):
        reasons = {
            Fault.ERROR: decisions.STATEMENT_FAILED,
            Fault.BUSY: decisions.MEMBER_BUSY,
        }
        return self._error(reasons[fault])

    def _error(self, reason):
        if self.state is STATES.OPEN and reason is not decisions.MEMBER_BUSY:
            self.state = STATES.FAILED
        position = self.member.cluster.shown(self.member)
        return _links.Reply(self.state, reason=reason, position=position)

    def _behind(self, floor) -> bool:
        return (
            floor is not None and self.member.cluster.shown(self.member) < floor
        )

    def _begin(self, command):
        primary = self.member.role is _members.Role.PRIMARY
        if not command.read_only and not primary:
            return self._error(decisions.NOT_PRIMARY)
        if self._behind(command.floor):
            return self._error(decisions.BEHIND)
        self.state = STATES.OPEN
        self.is_plain = not command.read_only
        self.writes = []
        return self._ok()

    @property
    def _refuses_state(self) -> bool:
        """Whether the member has lost the lead in a plain transaction."""
        if self.state is STATES.IDLE or not self.is_plain:
            return False
        leads = self.member.role is _members.Role.PRIMARY
        return self.state is STATES.FAILED or not leads

    def _statement(self, command):
        member = self.member
        statement = command.statement
        if member.busy:
            member.busy -= 1
            return self._error(decisions.MEMBER_BUSY)
        if self._behind(command.floor):
            member.cluster.behind_rejections += 1
            return self._error(decisions.BEHIND)
        if self.state is STATES.FAILED:
            return self._error(decisions.PROTOCOL_VIOLATION)
        if statement.kind is _statements.Kind.EXECUTE and (
            command.prepared_as not in self.prepared
        ):
            return self._error(decisions.UNKNOWN_PREPARED)
        writes = statement.kind is _statements.Kind.WRITE
        if statement.kind is _statements.Kind.EXECUTE:
            prepared = self.prepared[command.prepared_as]
            writes = prepared.writes
            member.runs.append((statement.request_id, prepared.shape))
        else:
            member.runs.append((statement.request_id, statement.text))
        member.cluster.seen_values[statement.request_id] = dict(self.values)
        member.cluster.seen_floors[statement.request_id] = command.floor
        member.cluster.seen_teams[statement.request_id] = self.team
        if writes and member.role is not _members.Role.PRIMARY:
            return self._error(decisions.NOT_PRIMARY)
        if statement.kind is _statements.Kind.COMMIT:
            self.state = STATES.IDLE
            if self.writes:
                return self._commit(statement.request_id)
        elif writes and self.state is STATES.OPEN:
            self.writes.append(statement.request_id)
        elif writes:
            return self._commit(statement.request_id)
        return self._ok(rows=("row",), proof="proof-" + member.id)

    def _commit(self, request_id):
        member = self.member
        if member.role is not _members.Role.PRIMARY:
            return self._error(decisions.NOT_PRIMARY)
        member.log.append((member.term, request_id))
        if not member.cluster.replicate(member):
            return None  # The commit is not acknowledged.
        member.cluster.acknowledged.append(request_id)
        return self._ok(proof="proof-" + member.id)


def _usual_work_s(_: _statements.Statement) -> float:
    return WORK_S


class FakeCluster:
    """A group of three members and the connector to it."""

    def __init__(self, clock: decisions.VirtualTimers) -> None:
        self.clock = clock
        self.acknowledged: list[str] = []
        self.seen_values: dict[str, dict[str, str]] = {}
        self.seen_floors: dict[str, decisions.Position | None] = {}
        self.seen_teams: dict[str, str] = {}
        self.promotions: list[tuple[str, int]] = []
        self.lost: list[str] = []
        self.work_s: Callable[[_statements.Statement], float] = _usual_work_s
        self.behind_rejections = 0
        # Whether a promotion leaves members paused for a later term.
        self.keeps_later_pauses = False
        self.visible_position: decisions.Position | None = None
        self.behind: set[str] = set()
        roles = [_members.Role.PRIMARY, *[_members.Role.REPLICA] * 2]
        self.members = {
            name: FakeMember(name, self, role)
            for name, role in zip("abc", roles, strict=True)
        }

    def commands_to(self, name: str) -> set[type]:
        """Returns the types of the control commands sent to a member."""
        return {type(c) for c in self.members[name].commands}

    def entries(self) -> dict[str, _members.Member]:
        return {n: m.entry() for n, m in self.members.items()}

    def shown(self, member: FakeMember) -> decisions.Position:
        if member.id in self.behind:
            return decisions.Position(0, 0)
        return (
            member.end
            if self.visible_position is None
            else self.visible_position
        )

    def replicate(self, primary: FakeMember) -> bool:
        received = 0
        for member in self.members.values():
            follows = member.paused_term <= primary.term
            reached = not (
                member.dark
                or member.crashed
                or member.isolated
                or primary.isolated
            )
            same = member.term == primary.term
            if member is not primary and follows and reached and same:
                member.log = list(primary.log)
                received += 1
        return received >= 1

    def connect(self, member, timeout_s, team):
        fake = self.members[member.id]
        fut: decisions.Future[FakeLink] = decisions.Future()
        if fake.crashed:
            self.clock.after(NET_S, lambda: fut.set_exception(_refused()))
        elif fake.dark:
            self.clock.after(timeout_s, lambda: fut.set_exception(_silent()))
        else:
            fake.opened += 1
            self.clock.after(
                0.012, lambda: fut.set_result(FakeLink(fake, team))
            )
        return fut

    def promote(self, service, member, holder, token):
        self.promotions.append((member, token))
        fake = self.members[member]
        self.clock.after(PROMOTE_S, lambda: self._lead(fake))
        return decisions.completed(None)

    def _lead(self, fake: FakeMember) -> None:
        term = max(m.term for m in self.members.values()) + 1
        held = {name for _, name in fake.log}
        self.lost += [n for n in self.acknowledged if n not in held]
        fake.role = _members.Role.PRIMARY
        fake.term = term
        fake.paused_term = 0
        for member in self.members.values():
            cut = member.dark or member.crashed or member.isolated
            if member is not fake and not cut:
                member.role = _members.Role.REPLICA
                if self.keeps_later_pauses and member.paused_term > term:
                    continue
                member.term = term
                member.paused_term = 0
                member.log = list(fake.log)

    def crash(self, name: str) -> None:
        member = self.members[name]
        member.crashed = True
        for link in member.links:
            link.fail("crashed")

    def restart(self, name: str, keeps_log: bool = True) -> None:
        """Restarts a member's process under the same id."""
        self.crash(name)
        member = self.members[name]
        member.crashed = False
        member.born += 1_000
        member.paused_term = 0
        member.role = _members.Role.REPLICA
        if not keeps_log:
            member.log = []


def _refused():
    return _links.ConnectFailedError(decisions.NO_CONNECTION, "", refused=True)


def _silent():
    return _links.ConnectFailedError(decisions.NO_CONNECTION, "silent")


def at(number: int, era: int = 0) -> decisions.Revision:
    """Returns a store revision."""
    return decisions.Revision(era, number)


@attrs.frozen
class StoreBackup:
    """The contents of a store at some point in time."""

    items: dict[str, _store.Item]
    number: int


class FakeStore:
    """A store in one process with injected faults.

    Attributes:
        down: Whether all calls fail.
        replies_to_drop: How many of the next executed calls appear to fail.
        writes_to_delay: How many of the next writes fail and are executed only
            by `run_delayed_writes`.
    """

    def __init__(self, clock: decisions.VirtualTimers) -> None:
        self.clock = clock
        self.items: dict[str, _store.Item] = {}
        self.number = 0
        self.era = 0
        self.down = False
        self.replies_to_drop = 0
        self.writes_to_delay = 0
        self.calls = 0
        self._delayed_writes: list[Callable[[], object]] = []

    @property
    def revision(self) -> decisions.Revision:
        return decisions.Revision(self.era, self.number)

    def put(self, key: str, value: bytes) -> None:
        self.number += 1
        self.items[key] = _store.Item(key, value, self.revision)

    def delete(self, key: str) -> None:
        self.number += 1
        self.items[key] = _store.Item(key, None, self.revision)

    def copy(self) -> StoreBackup:
        return StoreBackup(dict(self.items), self.number)

    def restore(self, copy: StoreBackup) -> None:
        """Restores a backup; all later writes are lost."""
        self.era += 1
        self.number = copy.number
        self.items = {
            k: _store.Item(k, i.value, at(i.revision.number, self.era))
            for k, i in copy.items.items()
        }

    def run_delayed_writes(self) -> None:
        """Executes the delayed writes without a reply to their callers."""
        late, self._delayed_writes = self._delayed_writes, []
        for work in late:
            with contextlib.suppress(_store.StoreUnavailableError):
                work()

    def _answer(self, work, is_write=False):
        self.calls += 1
        fut: decisions.Future[object] = decisions.Future()

        def finish() -> None:
            if self.down:
                fut.set_exception(_store.StoreUnavailableError("down"))
                return
            if is_write and self.writes_to_delay:
                self.writes_to_delay -= 1
                self._delayed_writes.append(work)
                fut.set_exception(_store.StoreUnavailableError("late"))
                return
            try:
                result = work()
            except _store.StoreUnavailableError as exc:
                fut.set_exception(exc)
                return
            if self.replies_to_drop:
                self.replies_to_drop -= 1
                fut.set_exception(_store.StoreUnavailableError("lost"))
            else:
                fut.set_result(result)

        self.clock.after(0.004, finish)
        return fut

    def list(self, prefix):
        return self._answer(
            lambda: _store.Changes(
                tuple(
                    i
                    for i in self.items.values()
                    if i.key.startswith(prefix) and i.value is not None
                ),
                self.revision,
            )
        )

    def changes(self, prefix, after, wait_s):
        fut: decisions.Future[object] = decisions.Future()
        until = self.clock.now() + wait_s

        def look() -> None:
            found = tuple(i for i in self.items.values() if i.revision > after)
            is_gone = after.era != self.era or after > self.revision
            if self.down:
                fut.set_exception(_store.StoreUnavailableError("down"))
            elif is_gone:
                fut.set_exception(_store.HistoryLostError(str(after)))
            elif found or self.clock.now() >= until:
                fut.set_result(_store.Changes(found, self.revision))
            else:
                self.clock.after(0.02, look)

        self.clock.after(0.004, look)
        return fut

    def put_if(self, key, value, revision):
        def work():
            if self._number_of(key) != revision.number:
                return None
            self.put(key, value)
            return self.items[key]

        return self._change(work, revision)

    def remove_if(self, key, revision):
        def work():
            if self._number_of(key) != revision.number:
                return False
            self.delete(key)
            return True

        return self._change(work, revision)

    def _number_of(self, key):
        known = self.items.get(key)
        return known.revision.number if known and known.value else 0

    def _change(self, work, revision):
        """Compares only the revision number, as the platform's store does."""

        def change():
            result = work()
            if revision.era != self.era:
                raise _store.StoreUnavailableError("another era")
            return result

        return self._answer(change, is_write=True)


class FakeMesh:
    """A mesh without peers."""

    streams: list[_peers.Peer] = []


def _no_document(*_):
    raise _records.InvalidItemError("not used")


LAYOUT = _catalogue.Layout("config", "members/", _no_document, _no_document)


CURRENT = _currency.Evidence(
    version=1,
    era=0,
    revision=1,
    source="store",
    held_s=60.0,
    store_era=0,
    copy_age_s=0.1,
    peers=2,
    told_version=1,
)
MAX_COPY_AGE_S = 3.0
REFUSALS = _refusals.Refusals(lambda: CURRENT, MAX_COPY_AGE_S)


class Lab:
    """A group, its executor, sessions and promoters in virtual time."""

    def __init__(self, consistency=None, limit: int = 4, **policy) -> None:
        self.clock = decisions.VirtualTimers()
        self.cluster = FakeCluster(self.clock)
        self.policy = _policy.Policy(**policy)
        self.features = _features.Features(self.policy, lambda: None)
        self.store = FakeStore(self.clock)
        service = _configuration.Service("orders", 33, 1)
        self.group = _groups.Group(
            self.clock,
            service,
            "hall-b",
            self.cluster,
            self.policy,
            self.features,
        )
        self.limit = limit
        self.group.set_members(self.cluster.entries(), limit)
        kind = consistency or _configuration.Consistency.SESSION
        self.route = _configuration.Route(
            "r", "db", "orders", kind, 1.0, 0.4, 1, 1.5
        )
        self.configuration = _configuration.Configuration(
            1, {"db": self.route}, {"orders": service}, 3.0, 1 << 20
        )
        executor = _execution.Executor(self.clock, self.policy, self.features)
        self.runner: _runners.Runner = _runners.LocalRunner(
            self.clock, self.policy, executor, self.group
        )
        self.evidence = CURRENT
        self.refusals = _refusals.Refusals(
            lambda: self.evidence, MAX_COPY_AGE_S
        )
        self.ctx = _sessions.SessionContext(
            self.clock,
            _metrics.Metrics(),
            lambda: self.configuration,
            lambda *_: self.runner,
            _access.Access(
                self.policy.has_teams, lambda: self.configuration, self.refusals
            ),
            self.refusals,
        )
        self.catalogue = _catalogue.Catalogue(self.clock, LAYOUT, self.policy)
        self.promoters: list[_promotions.Promoter] = []
        probes = decisions.PeriodicTimer(
            self.clock, self.policy.probe_s, self.group.refresh, first=0.0
        )
        self.stop_probing = probes.stop
        self.run(0.1)

    def add_promoter(self, node: str = "n1") -> _promotions.Promoter:
        ctx = _promotions.PromoterContext(
            clock=self.clock,
            policy=self.policy,
            node=node,
            nodes=lambda: self.catalogue.nodes,
            catalogue=self.catalogue,
            store=self.store,
            promotions=self.cluster,
            mesh=FakeMesh(),
            note_promoted=lambda *_: None,
            is_stopping=lambda: False,
        )
        promoter = _promotions.Promoter(ctx, self.group)
        self.promoters.append(promoter)
        decisions.PeriodicTimer(self.clock, 0.1, promoter.check)
        return promoter

    def run(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def session(self, key: str = "") -> _sessions.Session:
        return _sessions.Session(self.ctx, "db", key)

    def do(self, session, statement, wait: float = 3.0):
        fut = session.run(statement)
        end = self.clock.now() + wait
        while not fut.done() and self.clock.now() < end:
            self.run(0.005)
        assert fut.done(), f"{statement} is not answered"
        return fut.result()


_numbers = iter(range(1, 10**9))


def statement(text: str, request_id: str = "") -> _statements.Statement:
    """Returns the statement for the short text used in test cases."""
    request_id = request_id or f"id{next(_numbers)}"
    kinds = {k.value.upper(): k for k in _statements.Kind}
    kinds["BEGIN READ"] = _statements.Kind.BEGIN_READ
    if text in kinds:
        return _statements.Statement(request_id, kinds[text], text)
    word, *fields = text.split(" ")
    kind = kinds[word]
    prepared = None
    if kind is _statements.Kind.PREPARE:
        prepared = _statements.Prepared(fields[1] == "WRITE", fields[2])
    value = fields[1] if len(fields) > 1 else ""
    return _statements.Statement(
        request_id, kind, text, fields[0], value, prepared
    )
