"""Start-time fair queueing: who goes next, and what each has used.

An account's virtual time advances by the slot time that it uses, divided by its
share; the waiting account with the least virtual time goes next (Goyal, Vin
and Cheng, 1996). Whoever calls it keeps the waiting requests.
"""

import attrs


@attrs.define(slots=True)
class Account:
    """The use of one party.

    Attributes:
        share: Its weight.
        virtual_time: The slot seconds used, divided by the share.
    """

    share: float
    virtual_time: float = attrs.field(default=0.0, kw_only=True)


@attrs.define(slots=True, eq=False)
class FairShares:
    """The virtual clock that accounts are compared by.

    Attributes:
        burst_s: The slot seconds by which an account that was idle may run
            ahead of the others.
        clock: The greatest virtual time at which anyone was served.
    """

    burst_s: float = 0.0
    clock: float = 0.0

    def limit_credit(self, account: Account) -> None:
        """Limits the credit of an account that was idle to the burst."""
        floor = self.clock - self.burst_s / account.share
        account.virtual_time = max(account.virtual_time, floor)

    def charge(self, account: Account, slot_s: float) -> None:
        """Charges the expected slot time of a request that starts now."""
        self.clock = max(self.clock, account.virtual_time)
        account.virtual_time += slot_s / account.share

    def correct(self, account: Account, extra_s: float) -> None:
        """Adds what a request used beyond the charge; may be negative."""
        account.virtual_time += extra_s / account.share
