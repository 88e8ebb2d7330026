"""What an operation passes before it may ask for a link."""

import typing

import ferry_decisions as decisions


class Gate(typing.Protocol):
    """Lets operations of teams begin, within their limits."""

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Lets an operation of a team begin.

        Raises:
            decisions.RequestFailedError: Its limit is reached.
        """

    def give_back(self, team: str) -> None:
        """Takes in that an operation that was let begin did not run."""


class OpenGate:
    """Lets all operations begin: where teams have no limits."""

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Lets an operation begin."""
        del team
        yield from ()

    def give_back(self, team: str) -> None:
        """Counts nothing."""


OPEN = OpenGate()
