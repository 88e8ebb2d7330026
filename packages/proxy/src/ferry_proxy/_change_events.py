"""Events of the log about changes of a group's primary."""

import attrs


@attrs.frozen(slots=True, repr=False, eq=False)
class PrimarySuspected:
    """A change of primary is proposed; `peers` counts the peers in favour."""

    service: str
    member: str
    why: str
    silence_s: float
    peers: int


@attrs.frozen(slots=True, repr=False, eq=False)
class PromotionStep:
    """A step in a change of primary."""

    service: str
    step: str
    token: int
    member: str
    detail: str


@attrs.frozen(slots=True, repr=False, eq=False)
class MembersFenced:
    """The members that a node counted and asked before a promotion.

    Attributes:
        service: The group.
        token: The fencing token of the node's claim.
        cause: Why the primary is to be replaced.
        old_primary: The member that the node takes for the primary.
        old_end: The end of its log, as it last reported it.
        acknowledged: A position at or before the newest commit known to be
            acknowledged.
        list_revision: The store's revision of the list of members.
        listed: The ids of all listed members; leaving ones are marked.
        paused: The ends of the logs of the paused members, by id.
        failed: Why members could not be paused, by id.
        departed: What became of members that are no longer listed, by id.
        needed: How many members must be paused.
    """

    service: str
    token: int
    cause: str
    old_primary: str
    old_end: str
    acknowledged: str
    list_revision: str
    listed: list[str]
    paused: dict[str, str]
    failed: dict[str, str]
    departed: dict[str, str]
    needed: int


@attrs.frozen(slots=True, repr=False, eq=False)
class MembersResumed:
    """Paused members were allowed to receive commits again.

    Attributes:
        service: The group.
        token: The fencing token of the claim under which they were paused.
        members: Their ids.
        failed: Why members could not be resumed, by id.
    """

    service: str
    token: int
    members: list[str]
    failed: dict[str, str]


@attrs.frozen(slots=True, repr=False, eq=False)
class DeparturesRecorded:
    """The record of a group's open departures was written or removed.

    Attributes:
        service: The group.
        departures: The keys of the departures that it now holds.
        closed: The keys of those that it no longer holds.
    """

    service: str
    departures: list[str]
    closed: list[str]


@attrs.frozen(slots=True, repr=False, eq=False)
class VotersRecorded:
    """The record of a group's voters was written.

    Attributes:
        service: The group.
        voters: The keys of the voters that it now holds.
        removed: The keys of those that it no longer holds.
    """

    service: str
    voters: list[str]
    removed: list[str]


@attrs.frozen(slots=True, repr=False, eq=False)
class DeparturesAdopted:
    """A node learned of departures that other nodes have observed.

    Attributes:
        service: The group.
        departures: The keys of the departures.
    """

    service: str
    departures: list[str]


@attrs.frozen(slots=True, repr=False, eq=False)
class DeparturesCovered:
    """A node learned that departures are covered.

    Attributes:
        service: The group.
        departures: The keys of the departures.
        source: The record, or the surveyor.
    """

    service: str
    departures: list[str]
    source: str
