"""Admission of operations before they acquire a link."""

import typing

import ferry_decisions as decisions


class Gate(typing.Protocol):
    """Admits operations of teams within their rate limits."""

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Admits an operation of a team.

        Raises:
            decisions.RequestFailedError: The team's limit is reached.
        """

    def give_back(self, team: str) -> None:
        """Takes the token of an operation back that did not run."""


class OpenGate:
    """Admits every operation; used where teams have no limits."""

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Admits the operation."""
        del team
        yield from ()

    def give_back(self, team: str) -> None:
        """Does nothing, since no tokens are counted."""


OPEN = OpenGate()
