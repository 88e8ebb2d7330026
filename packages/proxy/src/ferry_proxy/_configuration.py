"""The operators' configuration: routes, services and limits."""

import enum

import attrs

from ferry_proxy import _teams


class Consistency(enum.Enum):
    """The consistency guarantee of a route's reads."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@attrs.frozen(slots=True)
class Route:
    """How the sessions of one database are served.

    Attributes:
        name: The route's name, given by the operators.
        database: The database name that callers connect to.
        service: The group of members that serves the route.
        consistency: The consistency guarantee of its reads.
        timeout_s: The time limit of one statement, in seconds.
        target_s: The target latency of a whole operation, in seconds.
        priority: Its priority in queues; 0 is the most urgent.
        max_staleness_s: How old the data returned by a read may be, in
            seconds.
        is_open: Whether callers may use the route without a key.
    """

    name: str
    database: str
    service: str
    consistency: Consistency
    timeout_s: float
    target_s: float
    priority: int
    max_staleness_s: float = 0.0
    is_open: bool = False


@attrs.frozen(slots=True)
class Service:
    """The operators' settings for a group of members.

    Attributes:
        name: The group's name.
        max_connections: The number of connections that each member accepts,
            over all callers.
        sync_replicas: The number of replicas that must have received a commit
            before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int


@attrs.frozen(slots=True)
class Configuration:
    """One complete version of the configuration.

    Attributes:
        version: The version number; it grows with each change.
        routes: The routes by the database name that callers connect to.
        services: The groups by name.
        transaction_idle_s: How long a transaction may be idle, in seconds.
        max_message_bytes: The size of the largest message that is accepted.
        teams: The teams and their keys.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    transaction_idle_s: float
    max_message_bytes: int
    teams: _teams.Teams = _teams.Teams()


@attrs.frozen(slots=True)
class ConfigurationDraft:
    """A configuration as parsed from its document, before it is validated.

    Attributes:
        version: The version number.
        routes: All routes, in the document's order.
        services: All services, in the document's order.
        transaction_idle_s: How long a transaction may be idle, in seconds.
        mistakes: Descriptions of the errors found.
        teams: All valid teams, in the document's order.
        team_mistakes: Descriptions of errors in teams. Such an error only
            invalidates the team or the key concerned.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    transaction_idle_s: float
    mistakes: tuple[str, ...] = ()
    teams: tuple[_teams.Team, ...] = ()
    team_mistakes: tuple[str, ...] = ()
