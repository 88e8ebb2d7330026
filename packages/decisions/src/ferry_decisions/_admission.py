"""Who gets the next slot of a member.

The serving node of a member owns all its slots, so one queue decides. The
`fair` policy is weighted fair queueing by customer, in start-time order (Goyal,
Vin and Cheng, 1996): each customer's virtual time moves by its slot seconds
over its share, and the customer furthest behind goes next. It is
work-conserving. `fifo` and `static` are the baselines of the measurements.
"""

import collections
from collections.abc import Callable
import math
import typing

import attrs

from ferry_decisions import _contracts
from ferry_decisions import _flows
from ferry_decisions import _outcomes
from ferry_decisions import _registry
from ferry_decisions import _timers

FIRST_ESTIMATE_S = 0.005
ESTIMATE_WEIGHT = 0.1
BURST_S = 0.2
UNLIMITED = 1 << 30


@attrs.define(eq=False, slots=True)
class Slot:
    """The right to run one statement at a member.

    Attributes:
        customer: Whose statement it is.
        granted_at: When the slot was given, in seconds.
        charged_s: Slot seconds that its customer was charged beforehand.
    """

    customer: str
    granted_at: float
    charged_s: float


@attrs.define(eq=False, slots=True)
class Waiter:
    """A statement that waits for a slot.

    Attributes:
        customer: Whose statement it is.
        deadline: When its caller stops waiting, in seconds.
        since: When it began to wait, in seconds.
        fut: Done with the slot.
        timer: Ends the wait at the deadline.
    """

    customer: str
    deadline: float
    since: float
    fut: "_flows.Future[Slot]"
    timer: _timers.Timer | None = None


@attrs.define(slots=True)
class _Account:
    """One customer's part in the queue."""

    share: int
    queue_limit: int
    limit: int
    waiters: collections.deque[Waiter] = attrs.field(factory=collections.deque)
    virtual: float = 0.0
    running: int = 0

    @property
    def ready(self) -> bool:
        """Whether a statement waits that may run."""
        return bool(self.waiters) and self.running < self.limit


class Order(typing.Protocol):
    """Chooses whose statement runs next."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns a customer with a waiter, or None to leave a slot idle."""


ADMISSION_POLICIES: _registry.Registry[Callable[[], Order]] = (
    _registry.Registry("admission")
)


@ADMISSION_POLICIES.register("fair")
class FairOrder:
    """The waiting customer that is furthest behind its share."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the waiting customer with the least virtual time."""
        waiting = [(a.virtual, name) for name, a in accounts.items() if a.ready]
        return min(waiting)[1] if waiting else None


@ADMISSION_POLICIES.register("fifo")
class FifoOrder:
    """First come, first served: a baseline."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the customer whose first waiter came first."""
        heads = [
            (a.waiters[0].since, name)
            for name, a in accounts.items()
            if a.ready
        ]
        return min(heads)[1] if heads else None


@ADMISSION_POLICIES.register("slack")
class SlackOrder:
    """The waiter with the least time left: a baseline.

    Ordering by slack to the deadline is the request arbitration of Prism
    (section 6.2). It is kept for the measurements only: see the decision
    record on fair shares.
    """

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns the customer whose first waiter has the least time left."""
        heads = [
            (a.waiters[0].deadline, name)
            for name, a in accounts.items()
            if a.ready
        ]
        return min(heads)[1] if heads else None


@ADMISSION_POLICIES.register("static")
class StaticOrder:
    """A fixed part of the slots for each customer: a baseline."""

    def pick(self, accounts: dict[str, _Account], slots: int) -> str | None:
        """Returns a waiting customer that is below its fixed part."""
        total = sum(a.share for a in accounts.values())
        for name, account in accounts.items():
            part = max(1, math.floor(slots * account.share / total))
            if account.ready and account.running < part:
                return name
        return None


class AdmissionQueue:
    """Gives the slots of one member to customers."""

    def __init__(
        self,
        timers: _timers.TimerService,
        slots: int,
        order: Order,
        burst_s: float = BURST_S,
        limit: Callable[[_contracts.Contract], int] = lambda _: UNLIMITED,
    ) -> None:
        """Makes an empty queue.

        Args:
            timers: The timer service.
            slots: Slots that may be in use at once.
            order: Chooses who goes next.
            burst_s: Slot seconds that a customer may run ahead.
            limit: Returns the slots that one customer may use at once.
        """
        self._burst_s = burst_s
        self._limit = limit
        self._timers = timers
        self._slots = slots
        self._order = order
        self._accounts: dict[str, _Account] = {}
        self._running = 0
        self._waiting = 0
        self._clock = 0.0
        self._estimate_s = FIRST_ESTIMATE_S

    @property
    def running(self) -> int:
        """Slots in use."""
        return self._running

    def depths(self) -> dict[str, int]:
        """Returns how many statements wait, by customer."""
        return {
            n: len(a.waiters) for n, a in self._accounts.items() if a.waiters
        }

    def acquire(
        self, contract: _contracts.Contract, deadline: float
    ) -> "_flows.Future[Slot]":
        """Returns a future of a slot.

        It fails with `RequestFailedError` at once when the queue is full or
        the wait would outlast the deadline, and at the deadline otherwise.
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
        self._wake(account)
        account.waiters.append(waiter)
        self._waiting += 1
        waiter.timer = self._timers.after(
            deadline - now, lambda: self._expire(waiter)
        )
        self._dispatch()
        return waiter.fut

    def release(self, slot: Slot) -> None:
        """Gives a slot back and charges its customer for the time."""
        now = self._timers.now()
        used = now - slot.granted_at
        account = self._accounts[slot.customer]
        account.running -= 1
        account.virtual += (used - slot.charged_s) / account.share
        self._estimate_s += ESTIMATE_WEIGHT * (used - self._estimate_s)
        self._running -= 1
        self._dispatch()

    def _account(self, contract: _contracts.Contract) -> _Account:
        account = self._accounts.get(contract.customer)
        if account is None:
            account = _Account(contract.share, contract.queue, 0)
            account.virtual = self._clock
            self._accounts[contract.customer] = account
        account.share = contract.share
        account.queue_limit = contract.queue
        account.limit = self._limit(contract)
        return account

    def _expected_wait(self, account: _Account) -> float:
        """Returns the wait of one more statement, from what runs now."""
        busy = sum(a.share for a in self._accounts.values() if a.waiters)
        if not account.waiters:
            return 0.0
        part = self._slots * account.share / max(busy, account.share)
        return len(account.waiters) * self._estimate_s / part

    def _grant(self, customer: str, account: _Account, now: float) -> Slot:
        self._wake(account)
        self._clock = max(self._clock, account.virtual)
        account.virtual += self._estimate_s / account.share
        account.running += 1
        self._running += 1
        return Slot(customer, now, self._estimate_s)

    def _wake(self, account: _Account) -> None:
        """Limits what a customer that was idle may catch up on.

        One that used less than its share may run ahead of the others for
        `BURST_S` slot seconds, so that a short burst does not wait although
        its customer keeps to its share; nobody saves up more than that.
        """
        if not account.running and not account.waiters:
            floor = self._clock - self._burst_s / account.share
            account.virtual = max(account.virtual, floor)

    def _dispatch(self) -> None:
        while self._running < self._slots and self._waiting:
            customer = self._order.pick(self._accounts, self._slots)
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
