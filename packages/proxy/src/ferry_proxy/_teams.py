"""The teams that callers belong to, their keys and their limits.

Answers a pool that many teams share: each statement runs in the name of the
team that holds its caller's key at that moment, and a key that is taken away
runs nothing more. Pure functions of a configuration.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import hashlib
import math

import attrs

DIGEST_BYTES = 16  # No two keys share a digest, chosen or by accident.
NO_TEAM = ""  # Where a deployment has no teams, or a route is open to all.


@functools.lru_cache(maxsize=4096)
def digest_of(key: str) -> bytes:
    """Returns what stands for a key in memory, in messages and in logs."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


@attrs.frozen(slots=True)
class Limit:
    """How much a team may ask for, over all nodes.

    Attributes:
        rate_per_s: Operations a second, in the long run.
        burst: Operations at once after a rest.
    """

    rate_per_s: float = math.inf
    burst: float = math.inf


NO_LIMIT = Limit()


@attrs.frozen(slots=True)
class Caller:
    """In whose name a statement runs.

    Attributes:
        team: The team's name; empty where callers need no team.
        digest: What stands for the caller's key.
        version: The configuration by which the key is the team's.
    """

    team: str = NO_TEAM
    digest: bytes = b""
    version: int = 0


ANONYMOUS = Caller()


@attrs.frozen(slots=True)
class Team:
    """A team as the operators describe it.

    Attributes:
        name: Its name, which members are told.
        digests: What stands for its keys.
        limit: How much it may ask for.
    """

    name: str
    digests: tuple[bytes, ...]
    limit: Limit = NO_LIMIT


@attrs.frozen(slots=True)
class Teams:
    """All teams of a configuration; a key is found in one look-up.

    Attributes:
        by_name: The teams by name.
        by_digest: The name of the team that holds a key, by the key's digest.
        mistakes: What was passed over, in words.
    """

    by_name: Mapping[str, Team] = attrs.field(factory=dict)
    by_digest: Mapping[bytes, str] = attrs.field(factory=dict)
    mistakes: tuple[str, ...] = ()

    @classmethod
    def of(cls, teams: Iterable[Team], mistakes: Iterable[str] = ()) -> "Teams":
        """Indexes teams.

        Of two teams of one name the first stands. A key that two teams list
        is nobody's: whichever ran, it might run in the wrong team's name.

        Args:
            teams: The teams, in the document's order.
            mistakes: What was passed over before, in words.
        """
        by_name: dict[str, Team] = {}
        by_digest: dict[bytes, str] = {}
        shared: set[bytes] = set()
        found = list(mistakes)
        for team in teams:
            if team.name in by_name:
                found.append(f"team {team.name} is listed twice")
                continue
            by_name[team.name] = team
            for digest in team.digests:
                if by_digest.setdefault(digest, team.name) != team.name:
                    shared.add(digest)
                    found.append(f"team {team.name} lists another's key")
        for digest in shared:
            del by_digest[digest]
        return cls(by_name, by_digest, tuple(found))

    @property
    def rates(self) -> dict[str, float]:
        """Operations a second that each team may ask for."""
        return {n: t.limit.rate_per_s for n, t in self.by_name.items()}

    def limit_of(self, team: str) -> Limit:
        """Returns how much a team may ask for."""
        found = self.by_name.get(team)
        return NO_LIMIT if found is None else found.limit
