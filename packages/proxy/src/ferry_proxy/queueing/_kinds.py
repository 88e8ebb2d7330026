"""The order of requests of several kinds, and what each kind has used.

Answers floods of one kind or one team at a member that has less room than all
ask for. A kind is the priority of a route. Urgent kinds go first, each kind
that waits is owed a part of the slot time, and within a kind each team gets an
equal part.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _link_queue

# The part of the slot time that each kind is owed while it waits. Three kinds
# leave the most urgent one four fifths.
KIND_SHARE = 0.1
# Slot seconds that a kind may be owed at most. Bursts of an urgent kind within
# its part then still go first.
KIND_CREDIT_S = 0.2
# Time constant of the recent use: the time of some statements of any kind.
RECENT_S = 0.5
# The shortest time that a rate is taken over.
MIN_AGE_S = 0.1
# Use that faded to less than this part, without any since, is over.
IDLE_FACTOR = 0.05
# The number of kinds that are remembered.
MAX_KINDS = 32
# A kind gets at least what it is owed, so it waits no longer than this.
MAX_WAIT_RATIO = 1.0 / KIND_SHARE
# The number of teams of a kind that are remembered; those that used least go.
MAX_TEAMS = 256

Waiter = _link_queue.Waiter


@attrs.define(slots=True, eq=False)
class _Kind:
    """The use of one kind and its teams.

    Attributes:
        part: The kind's use, divided by the part that it is owed.
        teams: The use of its teams.
        shares: The clock of its teams.
        recent_s: The slot seconds that it used lately.
        waits: Its waits as a multiple of what was expected.
    """

    part: decisions.Account = attrs.field(
        factory=lambda: decisions.Account(KIND_SHARE)
    )
    teams: dict[str, decisions.Account] = attrs.field(factory=dict)
    shares: decisions.FairShares = attrs.field(factory=decisions.FairShares)
    recent_s: float = 0.0
    waits: decisions.Pace = attrs.field(factory=decisions.Pace)


class Kinds:
    """The kinds of one member's queue."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates kinds without any use.

        Args:
            now: Returns the time, in seconds.
        """
        self._now = now
        self._kinds: dict[int, _Kind] = {}
        self._used_s = 0.0
        self._faded_at = self._busy_since = now()

    def __len__(self) -> int:
        """Returns the number of teams that are remembered, over all kinds."""
        return sum(len(k.teams) for k in self._kinds.values())

    def charge(self, rank: int, team: str, slot_s: float) -> None:
        """Charges the expected slot time of a statement that is sent."""
        kind = self._kind(rank)
        self._limit_credit(kind)
        self._fade()
        kind.recent_s += slot_s
        kind.part.virtual_time = _charged(
            kind.part.virtual_time, self._used_s, slot_s
        )
        self._used_s += slot_s
        account = kind.teams.setdefault(team, decisions.Account(1.0))
        kind.shares.limit_credit(account)
        kind.shares.charge(account, slot_s)

    def slot_rate(self, rank: int) -> float:
        """Returns the recent use of more urgent kinds, in slots.

        Args:
            rank: The kind that the others are compared with.
        """
        fade = math.exp((self._faded_at - self._now()) / RECENT_S)
        recent_s = sum(k.recent_s for r, k in self._kinds.items() if r < rank)
        # What was used since the start of the load fills only that time.
        age_s = max(MIN_AGE_S, self._now() - self._busy_since)
        span_s = RECENT_S * (1.0 - math.exp(-age_s / RECENT_S))
        return recent_s * fade / span_s

    def note_wait(self, rank: int, waited_s: float, expected_s: float) -> None:
        """Records a wait and what was expected, in seconds."""
        self._kind(rank).waits.note(waited_s, expected_s, self._now())

    def wait_ratio(self, rank: int) -> float:
        """Returns by how much waits of a kind lately exceed what is expected.

        Teams that have used less go first when their requests arrive.
        """
        kind = self._kinds.get(rank)
        ratio = kind.waits.at(self._now()) if kind else 1.0
        return min(MAX_WAIT_RATIO, max(1.0, ratio))

    def correct(self, rank: int, team: str, extra_s: float) -> None:
        """Adds what a statement used beyond the charge; may be negative."""
        kind = self._kinds.get(rank)
        if kind is None:
            return
        kind.part.virtual_time += extra_s / KIND_SHARE
        self._used_s += extra_s
        if team in kind.teams:
            kind.shares.correct(kind.teams[team], extra_s)

    def forget_idle(self, waiting: Iterable[Waiter]) -> None:
        """Drops accounts that a new one would equal, and those over a bound."""
        busy = {(w.rank, w.team) for w in waiting}
        for rank, kind in self._kinds.items():
            kept = {
                name: account
                for name, account in kind.teams.items()
                if (rank, name) in busy
                or account.virtual_time > kind.shares.clock
            }
            by_use = sorted(kept, key=lambda n: -kept[n].virtual_time)
            kind.teams = {n: kept[n] for n in by_use[:MAX_TEAMS]}

    def ordered(
        self,
        waiting: Iterable[Waiter],
        is_late: Callable[[Waiter], bool],
        slot_s: Callable[[Waiter], float],
    ) -> list[Waiter]:
        """Returns waiting statements in the order in which they should run.

        Args:
            waiting: The statements, in order of arrival.
            is_late: Whether one cannot meet its target any more.
            slot_s: The expected slot time of one.
        """
        by_rank: dict[int, list[Waiter]] = {}
        for waiter in waiting:
            by_rank.setdefault(waiter.rank, []).append(waiter)
        queues = {
            rank: self._by_team(rank, waiters, is_late, slot_s)
            for rank, waiters in by_rank.items()
        }
        return self._merged(queues, slot_s)

    def _by_team(
        self,
        rank: int,
        waiters: list[Waiter],
        is_late: Callable[[Waiter], bool],
        slot_s: Callable[[Waiter], float],
    ) -> list[Waiter]:
        """Orders one kind: those in time first, and teams by their use."""
        kind = self._kinds.get(rank) or _Kind()
        starts: dict[str, float] = {}
        tagged = []
        in_time = [(is_late(w), n, w) for n, w in enumerate(waiters)]
        for late, number, waiter in sorted(in_time, key=lambda e: e[:2]):
            start = starts.get(waiter.team)
            if start is None:
                account = kind.teams.get(waiter.team)
                used = account.virtual_time if account else 0.0
                start = max(used, kind.shares.clock)
            starts[waiter.team] = start + slot_s(waiter)
            tagged.append((late, start, number, waiter))
        return [w for *_, w in sorted(tagged, key=lambda e: e[:3])]

    def _merged(
        self,
        queues: dict[int, list[Waiter]],
        slot_s: Callable[[Waiter], float],
    ) -> list[Waiter]:
        """Merges the kinds: the most urgent one that is owed goes first."""
        if len(queues) == 1:
            return next(iter(queues.values()))
        used_s = self._used_s
        parts = {rank: self._part(rank) for rank in queues}
        places = dict.fromkeys(queues, 0)
        ranks = sorted(queues)
        order: list[Waiter] = []
        heads = {rank: slot_s(queue[0]) for rank, queue in queues.items()}
        while ranks:
            owed = [
                r for r in ranks if parts[r] + heads[r] / KIND_SHARE <= used_s
            ]
            rank = owed[0] if owed else ranks[0]
            order.append(queues[rank][places[rank]])
            places[rank] += 1
            parts[rank] = _charged(parts[rank], used_s, heads[rank])
            used_s += heads[rank]
            if places[rank] == len(queues[rank]):
                ranks.remove(rank)
            else:
                heads[rank] = slot_s(queues[rank][places[rank]])
        return order

    def _part(self, rank: int) -> float:
        kind = self._kinds.get(rank) or _Kind()
        self._limit_credit(kind)
        return kind.part.virtual_time

    def _kind(self, rank: int) -> _Kind:
        """Returns a kind; beyond the bound, the least used one goes."""
        kind = self._kinds.get(rank)
        if kind is None:
            if len(self._kinds) >= MAX_KINDS:
                used = {r: k.recent_s for r, k in self._kinds.items()}
                del self._kinds[min(used, key=lambda r: used[r])]
            kind = self._kinds[rank] = _Kind()
        return kind

    def _fade(self) -> None:
        """Lets the recent use of all kinds decay."""
        now = self._now()
        factor = math.exp((self._faded_at - now) / RECENT_S)
        self._faded_at = now
        if now - self._busy_since > RECENT_S and factor < IDLE_FACTOR:
            self._busy_since = now
        for kind in self._kinds.values():
            kind.recent_s *= factor

    def _limit_credit(self, kind: _Kind) -> None:
        floor = self._used_s - KIND_CREDIT_S / KIND_SHARE
        kind.part.virtual_time = max(kind.part.virtual_time, floor)


def _charged(virtual_time: float, used_s: float, slot_s: float) -> float:
    """Returns a kind's virtual time after a statement.

    A kind that gets more than it is owed pays for the last statement only: it
    took what was left.

    Args:
        virtual_time: Its virtual time before.
        used_s: The slot seconds that all kinds have used.
        slot_s: The expected slot time of the statement.
    """
    return min(virtual_time, used_s) + slot_s / KIND_SHARE
