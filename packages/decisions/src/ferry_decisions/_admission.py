"""Admission control: assigns a member's execution slots to customers.

The serving node of a member owns all of its slots, so a single queue makes
every decision. The `fair` policy is start-time fair queueing (Goyal, Vin and
Cheng, 1996), weighted by customer: a customer's virtual time advances by its
slot seconds divided by its share, and the customer with the least virtual time
goes next. The policy is work-conserving. `fifo`, `slack` and `static` are
baselines for benchmarks.
"""

import collections
from collections.abc import Callable
import math
import typing

import attrs

from ferry_decisions import _contracts
from ferry_decisions import _fair_shares
from ferry_decisions import _flows
from ferry_decisions import _outcomes
from ferry_decisions import _registry
from ferry_decisions import _timers

# Estimated slot time of a statement before any statement has finished.
INITIAL_SLOT_TIME_S = 0.005
# Weight of the latest sample in the moving average of slot times.
SLOT_TIME_WEIGHT = 0.1
# Slot seconds by which an idle customer may run ahead of the others.
BURST_S = 0.2
UNLIMITED = 1 << 30


@attrs.define(eq=False, slots=True)
class Slot:
    """Permission to run one statement on a member.

    Attributes:
        customer: The customer that sent the statement.
        granted_at: Time at which the slot was granted, in seconds.
        charged_s: Estimated slot seconds charged when the slot was granted;
            `AdmissionQueue.release` corrects the charge.
    """

    customer: str
    granted_at: float
    charged_s: float


@attrs.define(eq=False, slots=True)
class Waiter:
    """A queued statement.

    Attributes:
        customer: The customer that sent the statement.
        deadline: Time at which its caller stops waiting, in seconds.
        queued_at: Time at which it was queued, in seconds.
        fut: Completes with the granted slot.
        timer: Expires the waiter at its deadline.
    """

    customer: str
    deadline: float
    queued_at: float
    fut: "_flows.Future[Slot]"
    timer: _timers.Timer | None = None


@attrs.define(slots=True)
class _Account(_fair_shares.Account):
    """The scheduling state of one customer."""

    queue_limit: int
    limit: int
    waiters: collections.deque[Waiter] = attrs.field(factory=collections.deque)
    running: int = 0

    @property
    def ready(self) -> bool:
        """Whether a statement is queued and the slot limit allows it."""
        return bool(self.waiters) and self.running < self.limit


class AdmissionPolicy(typing.Protocol):
    """Chooses the customer whose statement runs next."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns a customer that is ready, or None to leave a slot idle."""


ADMISSION_POLICIES: _registry.Registry[Callable[[], AdmissionPolicy]] = (
    _registry.Registry("admission")
)


@ADMISSION_POLICIES.register("fair")
class FairPolicy:
    """Picks the ready customer that is furthest behind its share."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the ready customer with the least virtual time."""
        waiting = [
            (a.virtual_time, name) for name, a in accounts.items() if a.ready
        ]
        return min(waiting)[1] if waiting else None


@ADMISSION_POLICIES.register("fifo")
class FifoPolicy:
    """Baseline: first come, first served."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the customer whose oldest statement was queued first."""
        heads = [
            (a.waiters[0].queued_at, name)
            for name, a in accounts.items()
            if a.ready
        ]
        return min(heads)[1] if heads else None


@ADMISSION_POLICIES.register("slack")
class SlackPolicy:
    """Baseline: the statement with the earliest deadline goes first.

    Ordering by slack to the deadline is the request arbitration of Prism
    (section 6.2). It is kept for benchmarks only: see the decision record on
    fair shares.
    """

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the customer whose oldest statement has the least slack."""
        heads = [
            (a.waiters[0].deadline, name)
            for name, a in accounts.items()
            if a.ready
        ]
        return min(heads)[1] if heads else None


@ADMISSION_POLICIES.register("static")
class StaticPolicy:
    """Baseline: a fixed quota of slots for each customer."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns a ready customer that is below its quota."""
        total = sum(a.share for a in accounts.values())
        for name, account in accounts.items():
            quota = max(1, math.floor(slots * account.share / total))
            if account.ready and account.running < quota:
                return name
        return None


class AdmissionQueue:
    """Queues statements for the slots of one member."""

    def __init__(
        self,
        timers: _timers.TimerService,
        slots: int,
        policy: AdmissionPolicy,
        burst_s: float = BURST_S,
        limit: Callable[[_contracts.Contract], int] = lambda _: UNLIMITED,
    ) -> None:
        """Creates an empty queue.

        Args:
            timers: The timer service.
            slots: Maximum number of slots in use at once.
            policy: The policy that picks the next customer.
            burst_s: Slot seconds by which a customer that was idle may run
                ahead of the others.
            limit: Returns the maximum number of slots that the customer of a
                contract may use at once.
        """
        self._shares = _fair_shares.FairShares(burst_s)
        self._limit = limit
        self._timers = timers
        self._slots = slots
        self._policy = policy
        self._accounts: dict[str, _Account] = {}
        self._running = 0
        self._waiting = 0
        self._slot_time_s = INITIAL_SLOT_TIME_S

    @property
    def running(self) -> int:
        """Number of slots in use."""
        return self._running

    def depths(self) -> dict[str, int]:
        """Returns the number of queued statements by customer."""
        return {
            n: len(a.waiters) for n, a in self._accounts.items() if a.waiters
        }

    def acquire(
        self, contract: _contracts.Contract, deadline: float
    ) -> "_flows.Future[Slot]":
        """Requests a slot; returns a future that completes with it.

        The future fails with `RequestFailedError` immediately if the
        customer's queue is full or the expected wait exceeds the deadline, and
        at the deadline if no slot was granted by then.
        """
        account = self._account(contract)
        now = self._timers.now()
        free = self._running < self._slots and not self._waiting
        if free and account.running < account.limit:
            slot = self._grant(contract.customer, account, now)
            return _flows.completed(slot)
        if len(account.waiters) >= account.queue_limit:
            return _flows.failed(
                _outcomes.RequestFailedError(_outcomes.OVERLOADED)
            )
        if now + self._expected_wait(account) > deadline:
            return _flows.failed(
                _outcomes.RequestFailedError(_outcomes.OVERLOADED)
            )
        waiter = Waiter(contract.customer, deadline, now, _flows.Future())
        self._limit_credit(account)
        account.waiters.append(waiter)
        self._waiting += 1
        waiter.timer = self._timers.after(
            deadline - now, lambda: self._expire(waiter)
        )
        self._dispatch()
        return waiter.fut

    def release(self, slot: Slot) -> None:
        """Frees a slot and charges its customer for the time used."""
        now = self._timers.now()
        used = now - slot.granted_at
        account = self._accounts[slot.customer]
        account.running -= 1
        self._shares.correct(account, used - slot.charged_s)
        self._slot_time_s += SLOT_TIME_WEIGHT * (used - self._slot_time_s)
        self._running -= 1
        self._dispatch()

    def _account(self, contract: _contracts.Contract) -> _Account:
        account = self._accounts.get(contract.customer)
        if account is None:
            account = _Account(contract.share, contract.queue, 0)
            account.virtual_time = self._shares.clock
            self._accounts[contract.customer] = account
        account.share = contract.share
        account.queue_limit = contract.queue
        account.limit = self._limit(contract)
        return account

    def _expected_wait(self, account: _Account) -> float:
        """Estimates the wait of one more statement at the current load."""
        busy = sum(a.share for a in self._accounts.values() if a.waiters)
        if not account.waiters:
            return 0.0
        quota = self._slots * account.share / max(busy, account.share)
        return len(account.waiters) * self._slot_time_s / quota

    def _grant(self, customer: str, account: _Account, now: float) -> Slot:
        self._limit_credit(account)
        self._shares.charge(account, self._slot_time_s)
        account.running += 1
        self._running += 1
        return Slot(customer, now, self._slot_time_s)

    def _limit_credit(self, account: _Account) -> None:
        """Limits the credit of a customer that was idle.

        A customer that used less than its share may run ahead of the others
        by `burst_s` slot seconds, so that a short burst does not wait while
        its customer stays within its share. No customer accumulates more.
        """
        if not account.running and not account.waiters:
            self._shares.limit_credit(account)

    def _dispatch(self) -> None:
        while self._running < self._slots and self._waiting:
            customer = self._policy.pick(self._accounts, self._slots)
            if customer is None:
                return
            account = self._accounts[customer]
            waiter = account.waiters.popleft()
            self._waiting -= 1
            if waiter.timer is not None:
                waiter.timer.cancel()
            if waiter.fut.done():
                continue
            slot = self._grant(customer, account, self._timers.now())
            _flows.resolve(waiter.fut, slot)

    def _expire(self, waiter: Waiter) -> None:
        if waiter.fut.done():
            return
        waiters = self._accounts[waiter.customer].waiters
        if waiter in waiters:
            waiters.remove(waiter)
            self._waiting -= 1
        _flows.reject(
            waiter.fut,
            _outcomes.RequestFailedError(_outcomes.DEADLINE_IN_QUEUE),
        )
