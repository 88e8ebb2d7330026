"""Distributed rate limiter for the operations of teams.

Admission is local where a team's statements run at the node that owns its token
bucket. Other nodes request tokens from the owner, one for each operation; while
the bucket is well filled, the owner grants a few more in advance.
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

REQUEST_TIMEOUT_S = 0.1  # The timeout for a reply: many network round trips.
BUCKET_IDLE_S = 5.0  # Buckets that were not used for this time are dropped.
# When a bucket moves, its refill starts this much later. By then, most nodes
# that the store turns away have heard of the change from peers; until then, the
# previous home may still grant tokens at the full rate.
REFILL_DELAY_S = 0.3
ADVANCE_TTL_S = 1.0  # Tokens granted in advance expire after this time.
ADVANCE_MIN_FILL = 0.5  # Below this share of the burst, there is no advance.
# The most tokens granted at once. 81 nodes with 4 each would hold more than a
# small team's burst, so none are granted in advance below half of it.
MAX_ADVANCE = 4


@_peer_messages.message("allow?")
@attrs.frozen(slots=True, repr=False)
class AllowanceRequest:
    """Requests a token from the owner of a team's bucket.

    Attributes:
        team: The team.
        is_passed_on: Whether the sender relays another node's request. The
            receiver then answers it itself.
    """

    team: str
    is_passed_on: bool


@_peer_messages.message("allow")
@attrs.frozen(slots=True, repr=False)
class AllowanceReply:
    """The reply to an `AllowanceRequest`.

    Attributes:
        tokens: How many operations may start; 0 if the limit is reached.
        retry_after_s: If none may, the seconds until the next may start.
    """

    tokens: int
    retry_after_s: float


@attrs.define(slots=True, eq=False)
class _Advance:
    """Tokens that another node granted in advance, and their expiry time."""

    tokens: int
    until: float


@attrs.frozen(slots=True)
class _InitialFill:
    """The initial state of a bucket whose team has moved to this node.

    Attributes:
        tokens: The initial tokens.
        at: When the refill starts, in the clock's seconds.
    """

    tokens: float
    at: float


@attrs.frozen(slots=True)
class RateLimiterContext:
    """The dependencies of a rate limiter.

    Attributes:
        clock: The clock.
        policy: The tunables.
        own: This node.
        limit_of: Returns a team's limit.
        bucket_owners: Returns the nodes that own buckets.
        team_placement: Returns the teams' home nodes, which own their buckets.
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
    """The nodes that own teams' buckets.

    Attributes:
        names: Their names.
        since: Since when this set holds, in the clock's seconds.
    """

    names: Collection[str] = ()
    since: float = -math.inf


class RateLimiter:
    """The part of the rate limiter that runs at one node."""

    def __init__(self, ctx: RateLimiterContext) -> None:
        self._ctx = ctx
        self._started_at = ctx.clock.now()
        self._buckets: dict[str, _limits.Bucket] = {}
        self._advances: dict[str, _Advance] = {}
        self._used: dict[str, float] = {}
        self._team_placement = ctx.team_placement()
        self._initial_fills: dict[str, _InitialFill] = {}
        self._placed_at = -math.inf
        self._use = _limit_use.LimitUse()
        self._share = 1.0

    @property
    def share(self) -> float:
        """The share of all limits that this side of a partition grants."""
        return self._share

    def admit(self, team: str) -> "decisions.Flow[None]":
        """Admits an operation of a team.

        Raises:
            decisions.RequestFailedError: The team's limit is reached.
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
        owner = self._reachable_owner(team)
        if owner is None:
            reply = self._grant(team, 1)
            self._use.of(team).begun += reply.tokens
        else:
            reply = yield from self._request_or_grant(owner, team, False)
        if not reply.tokens:
            self._use.of(team).refused += 1
            raise _refused(team, reply.retry_after_s)
        if reply.tokens > 1:
            until = self._ctx.clock.now() + ADVANCE_TTL_S
            self._advances[team] = _Advance(reply.tokens - 1, until)

    def give_back(self, team: str) -> None:
        """Returns the token of an operation that was admitted but did not run.

        A token from another node is kept for the team's next operation here.
        """
        if math.isinf(self._ctx.limit_of(team).rate_per_s):
            return
        if self._reachable_owner(team) is not None:
            until = self._ctx.clock.now() + ADVANCE_TTL_S
            advance = self._advances.setdefault(team, _Advance(0, until))
            advance.tokens += 1
            return
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.tokens += 1  # The next refill caps it at the burst.

    def answer(
        self, body: AllowanceRequest
    ) -> "AllowanceReply | decisions.Future[AllowanceReply]":
        """Answers another node's request, or relays it to the bucket's owner.

        The sender may have another configuration, or not hear the owner. If
        it were answered here, two nodes would grant the same limit.
        """
        self._update_placement()
        owner = None if body.is_passed_on else self._reachable_owner(body.team)
        if owner is None:
            return self._answer_locally(body.team)
        return decisions.start(self._request_or_grant(owner, body.team, True))

    def _request_or_grant(
        self, owner: _peers.Peer, team: str, is_passed_on: bool
    ) -> "decisions.Flow[AllowanceReply]":
        """Requests a token from an owner; without a reply, grants one itself.

        A node that has just been cut off cannot tell that from the loss of the
        owner. There may be many such nodes, so each grants one owner's share.
        """
        reply = yield from self._request(owner, team, is_passed_on)
        if reply is not None:
            return reply
        reply = self._grant(
            team, 1, max(1, len(self._ctx.bucket_owners().names))
        )
        self._use.of(team).begun += reply.tokens
        return reply

    def _answer_locally(self, team: str) -> AllowanceReply:
        """Grants tokens from this node's bucket, several if it is full."""
        limit = self._ctx.limit_of(team)
        if math.isinf(limit.rate_per_s):
            return AllowanceReply(MAX_ADVANCE, 0.0)
        bucket = self._refilled(team, limit, 1)
        spare = bucket.tokens - limit.burst * ADVANCE_MIN_FILL
        count = max(1, min(MAX_ADVANCE, math.floor(spare)))
        reply = self._grant(team, count)
        self._use.of(team).given += reply.tokens
        return reply

    def check(self) -> None:
        """Updates the share and the placement, and drops unused buckets."""
        now = self._ctx.clock.now()
        self._update_share(now)
        self._update_placement()
        self._pause_foreign_buckets(now)
        self._use.report(now, self._share)
        for team, used in list(self._used.items()):
            if now - used > BUCKET_IDLE_S:
                del self._used[team]
                self._buckets.pop(team, None)
                self._advances.pop(team, None)

    def _update_share(self, now: float) -> None:
        """Updates the share of the limits from the nodes in reach."""
        ctx = self._ctx
        limit_s = ctx.policy.isolated_s
        heard = {n for n, s in ctx.streams().items() if s.silence_s < limit_s}
        share = _limits.share_in_reach(ctx.own, heard, ctx.nodes())
        if share != self._share:
            self._change_share(share, now)

    def _change_share(self, share: float, now: float) -> None:
        """Refills the buckets at the previous share before it changes.

        Otherwise a node that was cut off would refill them on its return as if
        no other node had acted for it.
        """
        for team, bucket in self._buckets.items():
            bucket.refill(self._ctx.limit_of(team), self._share, now)
        self._share = share

    def _pause_foreign_buckets(self, now: float) -> None:
        """Stops the refill of buckets that another node owns now."""
        for team, bucket in self._buckets.items():
            if self._reachable_owner(team) is not None:
                bucket.at = max(bucket.at, now)

    def _update_placement(self) -> None:
        """Creates buckets for teams that were moved to this node.

        Each change of a limit assigns the teams anew. The previous owner may
        have granted the burst; a full bucket here would grant a second one.
        """
        after = self._ctx.team_placement()
        before, self._team_placement = self._team_placement, after
        if after is before or not before.rates:
            return
        now = self._ctx.clock.now()
        names = self._ctx.bucket_owners().names
        own = self._ctx.own.name
        for team in after.rates:
            is_here = bool(names) and after.home(team, names) == own
            if is_here and before.home(team, names) != own:
                self._begin_bucket(team, now)
        self._placed_at = now

    def _begin_bucket(self, team: str, now: float) -> None:
        """Creates a bucket with few tokens; none soon after another move."""
        fill = _InitialFill(0.0, now)
        if now - self._placed_at >= self._ctx.policy.limit_window_s:
            tokens = self._initial_tokens(self._ctx.limit_of(team))
            fill = _InitialFill(tokens, now + REFILL_DELAY_S)
        self._initial_fills[team] = fill
        self._buckets[team] = _limits.Bucket(fill.tokens, fill.at)
        self._use.of(team).began_with = round(fill.tokens, 2)
        self._used[team] = now

    def _initial_tokens(self, limit: _teams.Limit) -> float:
        policy = self._ctx.policy
        return _limits.initial_tokens(
            limit,
            policy.limit_window_s,
            policy.limit_overage,
            policy.limit_slack,
        )

    def _reachable_owner(self, team: str) -> _peers.Peer | None:
        """Returns the stream to a bucket's owner; None if it is this node.

        An owner that is not heard is skipped, and the next node acts for it.
        """
        ctx = self._ctx
        streams = ctx.streams()
        limit_s = ctx.policy.isolated_s
        names = ctx.bucket_owners().names
        heard = [
            n
            for n in names
            if n == ctx.own.name
            or (n in streams and streams[n].silence_s < limit_s)
        ]
        return streams.get(ctx.team_placement().acting_node(team, names, heard))

    def _request(
        self, owner: _peers.Peer, team: str, is_passed_on: bool = False
    ) -> "decisions.Flow[AllowanceReply | None]":
        """Requests tokens from an owner; returns None if there is no reply."""
        fut = owner.call(AllowanceRequest(team, is_passed_on))
        try:
            reply: object = yield decisions.with_timeout(
                self._ctx.clock, REQUEST_TIMEOUT_S, fut
            )
        except (decisions.TimeoutExpiredError, _peers.PeerLostError) as exc:
            decisions.log_debug("owner %s of %s: %s", owner.peer, team, exc)
            return None
        return reply if isinstance(reply, AllowanceReply) else None

    def _grant(self, team: str, count: int, parts: int = 1) -> AllowanceReply:
        """Grants tokens from this node's bucket.

        Args:
            team: The team.
            count: The most tokens to grant.
            parts: The number of nodes that divide this side's share of the
                limit among them.
        """
        limit = self._ctx.limit_of(team)
        bucket = self._refilled(team, limit, parts)
        tokens = bucket.take(count)
        if tokens:
            return AllowanceReply(tokens, 0.0)
        left_s = _limits.wait_s(limit, self._share / parts, bucket.tokens)
        return AllowanceReply(0, min(left_s, self._ctx.policy.limit_window_s))

    def _refilled(
        self, team: str, limit: _teams.Limit, parts: int
    ) -> _limits.Bucket:
        self._update_placement()
        now = self._ctx.clock.now()
        self._used[team] = now
        bucket = self._buckets.get(team)
        if bucket is None:
            self._update_share(now)
            tokens, at = self._initial_fill(team, limit, now)
            bucket = _limits.Bucket(tokens * self._share / parts, at)
            self._buckets[team] = bucket
            self._use.of(team).began_with = round(bucket.tokens, 2)
        bucket.refill(limit, self._share / parts, now)
        return bucket

    def _initial_fill(
        self, team: str, limit: _teams.Limit, now: float
    ) -> tuple[float, float]:
        """Returns the tokens of a new bucket, and the time of its last refill.

        The team's regular owner has refilled it since it became the owner. A
        node that acts for the owner cannot know what the owner granted.
        """
        tokens = self._initial_tokens(limit)
        owners = self._ctx.bucket_owners()
        if not owners.names:
            return tokens, now
        home = self._ctx.team_placement().home(team, owners.names)
        if home != self._ctx.own.name:
            return tokens, now
        since = max(self._started_at, owners.since)
        fill = self._initial_fills.get(team)
        if fill is not None and fill.at > since:
            return fill.tokens, fill.at
        return tokens, since


def _refused(team: str, retry_after_s: float) -> decisions.RequestFailedError:
    return decisions.RequestFailedError(
        decisions.OVER_LIMIT, f"team {team}", retry_after_s
    )
