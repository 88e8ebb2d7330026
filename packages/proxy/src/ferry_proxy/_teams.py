"""Teams of callers, their keys and their rate limits.

Many teams may share a pool. Each statement runs for the team that owns the
caller's key at that time; a key that was revoked runs nothing more. All
functions are pure functions of a configuration.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import hashlib
import math

import attrs

# This is long enough that keys do not collide, neither by chance nor by
# construction.
DIGEST_BYTES = 16

# The team name where a deployment has no teams, or a route is open to all.
NO_TEAM = ""


@functools.lru_cache(maxsize=4096)
def digest_of(key: str) -> bytes:
    """Returns the digest that replaces a key in memory, messages and logs."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


@attrs.frozen(slots=True)
class Limit:
    """The rate limit of a team, over all nodes.

    Attributes:
        rate_per_s: The sustained rate, in operations a second.
        burst: The number of operations allowed at once after an idle time.
    """

    rate_per_s: float = math.inf
    burst: float = math.inf


NO_LIMIT = Limit()


@attrs.frozen(slots=True)
class Caller:
    """The identity that a statement runs under.

    Attributes:
        team: The team's name; empty where callers need no team.
        digest: The digest of the caller's key.
        version: The version of the configuration that assigns the key to the
            team.
    """

    team: str = NO_TEAM
    digest: bytes = b""
    version: int = 0


ANONYMOUS = Caller()


@attrs.frozen(slots=True)
class Team:
    """A team, as configured by the operators.

    Attributes:
        name: Its name, which is also sent to members.
        digests: The digests of its keys.
        limit: Its rate limit.
    """

    name: str
    digests: tuple[bytes, ...]
    limit: Limit = NO_LIMIT


@attrs.frozen(slots=True)
class Teams:
    """All teams of a configuration, indexed by name and by key.

    Attributes:
        by_name: The teams by name.
        by_digest: The name of the team that owns a key, by the key's digest.
        mistakes: Descriptions of entries that were ignored.
    """

    by_name: Mapping[str, Team] = attrs.field(factory=dict)
    by_digest: Mapping[bytes, str] = attrs.field(factory=dict)
    mistakes: tuple[str, ...] = ()

    @classmethod
    def of(cls, teams: Iterable[Team], mistakes: Iterable[str] = ()) -> "Teams":
        """Builds the index of some teams.

        Of two teams with the same name, the first one counts. A key that two
        teams list belongs to neither, since its statements might otherwise run
        for the wrong team.

        Args:
            teams: The teams, in the order of the document.
            mistakes: Descriptions of entries that were ignored before.
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
        """The sustained rate of each team, in operations a second."""
        return {n: t.limit.rate_per_s for n, t in self.by_name.items()}

    def limit_of(self, team: str) -> Limit:
        """Returns the rate limit of a team."""
        found = self.by_name.get(team)
        return NO_LIMIT if found is None else found.limit
