"""Lets operations of teams begin within their limits, over all nodes.

Where statements of a team run at the node that keeps its bucket, this costs
nothing. Another node asks the keeper for an operation at a time; while there
is plenty, it gets a few more that it may use within a moment.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import math

import attrs
import ferry_decisions as decisions

from ferry_proxy import _clocks
from ferry_proxy import _limit_use
from ferry_proxy import _limits
from ferry_proxy import _peer_messages
from ferry_proxy import _peers
from ferry_proxy import _policy
from ferry_proxy import _records
from ferry_proxy import _team_placement
from ferry_proxy import _teams

ASK_S = 0.1  # Many network trips; a keeper that says nothing is passed over.
UNUSED_S = 5.0  # A bucket of which nothing was taken for so long is dropped.
OVERLAP_S = 0.3  # Most nodes that the store turns away have heard of a change
# from peers by then; until then the home before may give out the rate, too.
SPARE_S = 1.0  # For so long tokens that were given in advance may be used.
PLENTY = 0.5  # Of a burst: above it, a keeper gives tokens in advance.
ADVANCE = 4  # Tokens at once. 4 in the hands of each of 81 nodes are more than
# a small team's burst, so that below half of it none are given.


@_peer_messages.message("allow?")
@attrs.frozen(slots=True, repr=False)
class AllowanceRequest:
    """Asks a team's keeper whether an operation may begin.

    Attributes:
        team: The team.
        is_passed_on: Whether a node sends it that was asked itself; it is
            answered by whoever gets it then.
    """

    team: str
    is_passed_on: bool


@_peer_messages.message("allow")
@attrs.frozen(slots=True, repr=False)
class AllowanceReply:
    """What a team's keeper gives.

    Attributes:
        tokens: Operations that may begin; 0 where the limit is reached.
        retry_after_s: When the next may, where none may now; in seconds.
    """

    tokens: int
    retry_after_s: float


@attrs.define(slots=True, eq=False)
class _Advance:
    """Tokens that another node gave in advance."""

    tokens: int
    until: float


@attrs.frozen(slots=True)
class _Arrival:
    """A team that came to be at home at this node.

    Attributes:
        tokens: What its bucket began with.
        at: From when on more comes in, in the clock's seconds.
    """

    tokens: float
    at: float


@attrs.frozen(slots=True)
class RateLimiterContext:
    """What allowances are decided by.

    Attributes:
        clock: The clock.
        policy: The tunables.
        own: This node.
        limit_of: Returns a team's limit.
        keepers: Returns the names of all nodes that keep buckets, and since
            when, in the clock's seconds, these are the ones.
        homes: Returns where teams are at home: there their buckets are kept.
        nodes: Returns all nodes by name.
        streams: Returns the open streams by the names of the peers.
    """

    clock: _clocks.Clock
    policy: _policy.Policy
    own: _records.NodeEntry
    limit_of: Callable[[str], _teams.Limit]
    bucket_owners: "Callable[[], BucketOwners]"
    team_placement: Callable[[], _team_placement.TeamPlacement]
    nodes: Callable[[], Mapping[str, _records.NodeEntry]]
    streams: Callable[[], Mapping[str, _peers.Peer]]


@attrs.frozen(slots=True)
class BucketOwners:
    """The nodes that keep teams' buckets.

    Attributes:
        names: Their names.
        since: When they became so, in the clock's seconds.
    """

    names: Collection[str] = ()
    since: float = -math.inf


class RateLimiter:
    """What one node knows of the limits of teams."""

    def __init__(self, ctx: RateLimiterContext) -> None:
        self._ctx = ctx
        self._begun = ctx.clock.now()
        self._buckets: dict[str, _limits.Bucket] = {}
        self._advances: dict[str, _Advance] = {}
        self._used: dict[str, float] = {}
        self._team_placement = ctx.team_placement()
        self._arrivals: dict[str, _Arrival] = {}
        self._dealt_at = -math.inf
        self._use = _limit_use.LimitUse()
        self._share = 1.0

    @property
    def share(self) -> float:
        """The part of all limits that this side of a partition gives out."""
        return self._share

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Lets an operation of a team begin.

        Raises:
            decisions.RequestFailedError: Its limit is reached.
        """
        if math.isinf(self._ctx.limit_of(team).rate_per_s):
            return
        advance = self._advances.get(team)
        if advance is not None and advance.tokens > 0:
            if self._ctx.clock.now() < advance.until:
                advance.tokens -= 1
                self._use.of(team).advanced += 1
                return
            del self._advances[team]
        keeper = self._heard_keeper(team)
        if keeper is None:
            reply = self._give(team, 1)
            self._use.of(team).begun += reply.tokens
        else:
            reply = yield from self._ask_or_stand_in(keeper, team, False)
        if not reply.tokens:
            self._use.of(team).refused += 1
            raise _refused(team, reply.retry_after_s)
        if reply.tokens > 1:
            until = self._ctx.clock.now() + SPARE_S
            self._advances[team] = _Advance(reply.tokens - 1, until)

    def give_back(self, team: str) -> None:
        """Takes back what an operation was let begin with, but did not run.

        What another node gave is kept for the team's next operation here.
        """
        if math.isinf(self._ctx.limit_of(team).rate_per_s):
            return
        if self._heard_keeper(team) is not None:
            until = self._ctx.clock.now() + SPARE_S
            advance = self._advances.setdefault(team, _Advance(0, until))
            advance.tokens += 1
            return
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.tokens += 1  # The next refill cuts it to the burst.

    def answer(
        self, body: AllowanceRequest
    ) -> "AllowanceReply | decisions.Future[AllowanceReply]":
        """Answers another node's request; asks the team's keeper itself.

        The other node may know another configuration, or not hear the keeper:
        were it answered here, two nodes would give out one limit.
        """
        self._note_homes()
        keeper = None if body.is_passed_on else self._heard_keeper(body.team)
        if keeper is None:
            return self._answer_here(body.team)
        return decisions.start(self._ask_or_stand_in(keeper, body.team, True))

    def _ask_or_stand_in(
        self, keeper: _peers.Peer, team: str, is_passed_on: bool
    ) -> "decisions.Flow[AllowanceReply]":
        """Asks a team's keeper, and stands in for one that does not answer.

        A node that has just been cut off can't tell that from the loss of the
        keeper. Each may be one of many, so it gives out one keeper's part.
        """
        reply = yield from self._ask(keeper, team, is_passed_on)
        if reply is not None:
            return reply
        reply = self._give(
            team, 1, max(1, len(self._ctx.bucket_owners().names))
        )
        self._use.of(team).begun += reply.tokens
        return reply

    def _answer_here(self, team: str) -> AllowanceReply:
        """Gives from this node's bucket; more while there is plenty."""
        limit = self._ctx.limit_of(team)
        if math.isinf(limit.rate_per_s):
            return AllowanceReply(ADVANCE, 0.0)
        bucket = self._refilled(team, limit, 1)
        spare = bucket.tokens - limit.burst * PLENTY
        count = max(1, min(ADVANCE, math.floor(spare)))
        reply = self._give(team, count)
        self._use.of(team).given += reply.tokens
        return reply

    def check(self) -> None:
        """Looks which nodes are in reach, and drops what is not used."""
        now = self._ctx.clock.now()
        self._look_around(now)
        self._note_homes()
        self._rest_buckets(now)
        self._use.report(now, self._share)
        for team, used in list(self._used.items()):
            if now - used > UNUSED_S:
                del self._used[team]
                self._buckets.pop(team, None)
                self._advances.pop(team, None)

    def _look_around(self, now: float) -> None:
        """Looks which nodes are in reach."""
        ctx = self._ctx
        limit_s = ctx.policy.isolated_s
        heard = {n for n, s in ctx.streams().items() if s.silence_s < limit_s}
        share = _limits.share_in_reach(ctx.own, heard, ctx.nodes())
        if share != self._share:
            self._change_share(share, now)

    def _change_share(self, share: float, now: float) -> None:
        """Fills the buckets by the part that was given out until now.

        Else a node that was cut off would fill them, once it is back, as if
        nobody had stood in for it.
        """
        for team, bucket in self._buckets.items():
            bucket.refill(self._ctx.limit_of(team), self._share, now)
        self._share = share

    def _rest_buckets(self, now: float) -> None:
        """Lets nothing come into buckets that are kept elsewhere now."""
        for team, bucket in self._buckets.items():
            if self._heard_keeper(team) is not None:
                bucket.at = max(bucket.at, now)

    def _note_homes(self) -> None:
        """Begins buckets of teams that have come to be at home here.

        Each change of a limit deals the teams out anew. Whoever kept a bucket
        before may have given out its burst already; a full one here would be
        a second burst.
        """
        team_placement = self._ctx.team_placement()
        before, self._team_placement = self._team_placement, team_placement
        if team_placement is before or not before.rates:
            return
        now = self._ctx.clock.now()
        names = self._ctx.bucket_owners().names
        own = self._ctx.own.name
        for team in team_placement.rates:
            is_here = bool(names) and team_placement.home(team, names) == own
            if is_here and before.home(team, names) != own:
                self._begin_bucket(team, now)
        self._dealt_at = now

    def _begin_bucket(self, team: str, now: float) -> None:
        """Begins a bucket with little; with nothing soon after the last one."""
        arrival = _Arrival(0.0, now)
        if now - self._dealt_at >= self._ctx.policy.limit_window_s:
            little = self._little(self._ctx.limit_of(team))
            arrival = _Arrival(little, now + OVERLAP_S)
        self._arrivals[team] = arrival
        self._buckets[team] = _limits.Bucket(arrival.tokens, arrival.at)
        self._use.of(team).began_with = round(arrival.tokens, 2)
        self._used[team] = now

    def _little(self, limit: _teams.Limit) -> float:
        policy = self._ctx.policy
        return _limits.initial_tokens(
            limit,
            policy.limit_window_s,
            policy.limit_overage,
            policy.limit_slack,
        )

    def _heard_keeper(self, team: str) -> _peers.Peer | None:
        """Returns the stream to a team's keeper; None where it is this node.

        A keeper that is out of reach is left out: the next one stands in.
        """
        ctx = self._ctx
        streams = ctx.streams()
        limit_s = ctx.policy.isolated_s
        names = ctx.bucket_owners().names
        present = [
            n
            for n in names
            if n == ctx.own.name
            or (n in streams and streams[n].silence_s < limit_s)
        ]
        return streams.get(
            ctx.team_placement().acting_node(team, names, present)
        )

    def _ask(
        self, keeper: _peers.Peer, team: str, is_passed_on: bool = False
    ) -> "decisions.Flow[AllowanceReply | None]":
        """Asks a team's keeper; returns None where it does not answer."""
        fut = keeper.call(AllowanceRequest(team, is_passed_on))
        try:
            reply: object = yield decisions.with_timeout(
                self._ctx.clock, ASK_S, fut
            )
        except (decisions.TimeoutExpiredError, _peers.PeerLostError) as exc:
            decisions.log_debug("%s keeps %s: %s", keeper.peer, team, exc)
            return None
        return reply if isinstance(reply, AllowanceReply) else None

    def _give(self, team: str, count: int, sharing: int = 1) -> AllowanceReply:
        """Gives from this node's bucket.

        Args:
            team: The team.
            count: The most operations to let begin.
            sharing: How many nodes may each give out a part of what this side
                of a partition does.
        """
        limit = self._ctx.limit_of(team)
        bucket = self._refilled(team, limit, sharing)
        tokens = bucket.take(count)
        if tokens:
            return AllowanceReply(tokens, 0.0)
        left_s = _limits.wait_s(limit, self._share / sharing, bucket.tokens)
        return AllowanceReply(0, min(left_s, self._ctx.policy.limit_window_s))

    def _refilled(
        self, team: str, limit: _teams.Limit, sharing: int
    ) -> _limits.Bucket:
        self._note_homes()
        now = self._ctx.clock.now()
        self._used[team] = now
        bucket = self._buckets.get(team)
        if bucket is None:
            self._look_around(now)
            tokens, at = self._first(team, limit, now)
            bucket = _limits.Bucket(tokens * self._share / sharing, at)
            self._buckets[team] = bucket
            self._use.of(team).began_with = round(bucket.tokens, 2)
        bucket.refill(limit, self._share / sharing, now)
        return bucket

    def _first(
        self, team: str, limit: _teams.Limit, now: float
    ) -> tuple[float, float]:
        """Returns a new bucket's tokens, and when it had them.

        The team's own keeper has been filling it for as long as it has been
        that. Whoever stands in for it cannot know what it gave out.
        """
        tokens = self._little(limit)
        bucket_owners = self._ctx.bucket_owners()
        if not bucket_owners.names:
            return tokens, now
        home = self._ctx.team_placement().home(team, bucket_owners.names)
        if home != self._ctx.own.name:
            return tokens, now
        since = max(self._begun, bucket_owners.since)
        arrival = self._arrivals.get(team)
        if arrival is not None and arrival.at > since:
            return arrival.tokens, arrival.at
        return tokens, since


def _refused(team: str, retry_after_s: float) -> decisions.RequestFailedError:
    return decisions.RequestFailedError(
        decisions.OVER_LIMIT, f"team {team}", retry_after_s
    )
