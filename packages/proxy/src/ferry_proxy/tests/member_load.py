"""Callers of three routes at one member that may get more than it can run."""

import random

import attrs
import ferry_decisions as decisions

from ferry_proxy import _configuration
from ferry_proxy import _features
from ferry_proxy import _link_queue
from ferry_proxy import _links
from ferry_proxy import _policy
from ferry_proxy import _pools
from ferry_proxy.queueing import _work
from ferry_proxy.tests import fakes

SLOTS = 5
ROUTES = {
    "order": _configuration.Route(
        "order", "o", "orders", _configuration.Consistency.PRIMARY, 3.0, 0.2, 0
    ),
    "upload": _configuration.Route(
        "upload", "u", "orders", _configuration.Consistency.SESSION, 3.0, 0.4, 1
    ),
    "view": _configuration.Route(
        "view", "v", "orders", _configuration.Consistency.BOUNDED, 10.0, 1.2, 2
    ),
}
WORK_S = {"order": 0.008, "upload": 0.024, "view": 0.04, "rare": 0.1}
STATES = fakes.STATES


@attrs.define(eq=False)
class Answer:
    """The end of a request: when it came, how long it took, and why."""

    route: str
    team: str
    asked_at: float
    took_s: float
    failure: decisions.RequestFailedError | None

    @property
    def in_time(self) -> bool:
        return (
            self.failure is None and self.took_s <= ROUTES[self.route].target_s
        )


class MemberLoad:
    """Callers of three routes at one member with five slots."""

    def __init__(self, is_on: bool = True, parallel: int = SLOTS) -> None:
        self.clock = decisions.VirtualTimers()
        self.draw = random.Random(7)
        self.cluster = fakes.FakeCluster(self.clock)
        self.cluster.work_s = self._work_s
        self.member = self.cluster.members["a"]
        self.member.slots = SLOTS
        policy = _policy.Policy(features={"fair_admission": is_on})
        self.policy = policy
        self.features = _features.Features(policy, lambda: None)
        self.parallel = parallel
        self.pool = self.open_pool()
        self.answers: list[Answer] = []
        self.factors: dict[str, float] = {}

    def open_pool(self) -> _pools.Pool:
        pool = _pools.Pool(
            self.clock,
            self.member.entry(),
            self.cluster,
            self.policy,
            40,
            self.features,
        )
        pool.parallel = self.parallel
        return pool

    def _work_s(self, statement) -> float:
        mean_s = WORK_S[statement.text.split()[1]]
        return mean_s * self.draw.uniform(0.5, 1.5) * self.factor()

    def factor(self) -> float:
        return 1.0

    def offer(self, route, per_s, seconds, team="", text="") -> None:
        for number in range(int(per_s * seconds)):
            at = (number + self.draw.random()) / per_s
            self.clock.after(
                at, lambda: decisions.start(self._ask(route, team, text))
            )

    def run(self, seconds) -> None:
        self.clock.advance(seconds)

    def _ask(self, name, team, text):
        route = ROUTES[name]
        asked_at = self.clock.now()
        work = _work.Work(
            key=decisions.WorkKey(name, text or "read"),
            priority=route.priority,
            target_s=route.target_s,
            target_at=asked_at + route.target_s,
            deadline=asked_at + route.timeout_s,
        )
        failure = None
        try:
            yield from self._run(self.pool, work, team, text or name)
        except decisions.RequestFailedError as exc:
            failure = exc
        took_s = self.clock.now() - asked_at
        self.answers.append(Answer(name, team, asked_at, took_s, failure))

    def _run(self, pool, work, team, text):
        until = self.clock.now() + work.target_s * self.policy.hold_share
        pooled = yield pool.acquire(
            _link_queue.Use.STATEMENT, work.priority, until, {}, team, work
        )
        started_at = self.clock.now()
        pool.note_sent(pooled)
        command = _links.Run(fakes.statement(f"READ {text}"), None, "")
        fut = pooled.link.run([command])[-1]
        pool.note_statement(pooled, work, fut)
        try:
            reply = yield fut
        except _links.LinkLostError as exc:
            pool.discard(pooled)
            raise decisions.RequestFailedError(decisions.READ_CUT) from exc
        pool.note_heard(pooled, self.clock.now() - started_at)
        pool.give_back(pooled, reply)

    def of(self, route=None, team=None, since=0.0) -> list[Answer]:
        return [
            a
            for a in self.answers
            if route in (None, a.route)
            and team in (None, a.team)
            and a.asked_at >= since
        ]

    def share_in_time(self, **which) -> float:
        found = self.of(**which)
        assert found
        return sum(a.in_time for a in found) / len(found)

    def p99_s(self, **which) -> float:
        took = sorted(a.took_s for a in self.of(**which))
        return took[int(0.99 * len(took))]

    def slot_parts(self, since) -> dict[str, float]:
        used = dict.fromkeys(ROUTES, 0.0)
        for answer in self.of(since=since):
            if answer.failure is None:
                used[answer.route] += WORK_S[answer.route]
        return {n: u / sum(used.values()) for n, u in used.items()}
