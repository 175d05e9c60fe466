"""What the configuration says of a request: its route, member and pool, or why it is refused."""

import random
from dataclasses import dataclass

from bluebellpitch.decisions.catalogue import (
    Catalogue,
    MemberConfig,
    Repeatability,
    Route,
    pick_pool,
)
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.platform.http_messages import RoutedRequest
from bluebellpitch.verdicts import DidNotRun

UNKNOWN_STATE_RETRY_S = 0.5
# Stands in for the gap target of a route that has none.
NO_GAP_TARGET_S = 60.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request with what the configuration says of it. ``expires_at`` ends its time."""

    request: RoutedRequest
    route: Route
    pool: str
    is_engine: bool
    member: MemberConfig | None
    arrived_at: float
    expires_at: float

    @property
    def rank(self) -> int:
        """The rank in force: the member's goes before the route's."""
        if self.member is not None and self.member.rank is not None:
            return self.member.rank
        return self.route.rank

    @property
    def may_repeat(self) -> bool:
        """Tells whether the request may run again after it may have run."""
        return self.route.repeatability is not Repeatability.ONCE


def admit(
    request: RoutedRequest, catalogue: Catalogue | None, freshness: Freshness, now: float
) -> Admitted | DidNotRun:
    """Finds the route and the member of a request, or tells why it is refused."""
    if catalogue is None:
        return DidNotRun("no_configuration", 503, UNKNOWN_STATE_RETRY_S)
    may_deny = freshness.may_report_unknown(now)
    route = catalogue.match_route(request.host, request.path)
    if route is None:
        return deny(404, "no_such_route", may_deny)
    member = None
    if catalogue.has_members and not route.is_public:
        if not freshness.may_accept_keys(now):
            return DidNotRun("configuration_not_fresh", 503, UNKNOWN_STATE_RETRY_S)
        member = catalogue.members_by_key.get(request.api_key)
        if member is None:
            return deny(401, "unknown_key", may_deny)
    pool = pick_pool(route, random.random())
    row = catalogue.pools_by_name.get(pool)
    is_engine = row is not None and row.engine is not None
    expires_at = now + min(request.timeout_s, route.timeout_s)
    return Admitted(request, route, pool, is_engine, member, now, expires_at)


def deny(status: int, reason: str, may_deny: bool) -> DidNotRun:
    """Calls something unknown, or asks the caller to come back while that is not sure."""
    if may_deny:
        return DidNotRun(reason, status)
    return DidNotRun(f"{reason}_not_sure", 503, UNKNOWN_STATE_RETRY_S)


def make_work(admitted: Admitted, attempt: int) -> WorkItem:
    """Returns what the placing decides on."""
    prompt = admitted.request.prompt
    return WorkItem(
        id=f"{admitted.request.id}.{attempt}",
        pool=admitted.pool,
        rank=admitted.rank,
        tokens_in=prompt.tokens_in,
        tokens_out=prompt.tokens_out,
        parts=tuple((part.id, part.tokens) for part in prompt.parts),
        target_s=admitted.route.target_s,
        gap_target_s=admitted.route.gap_target_s or NO_GAP_TARGET_S,
        arrived_at=admitted.arrived_at,
        expires_at=admitted.expires_at,
    )
