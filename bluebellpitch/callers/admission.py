"""Looks up the route, member and pool of a request, or the reason to refuse it."""

import random
from dataclasses import dataclass

from bluebellpitch.decisions.catalogue import (
    CallerLimits,
    Catalogue,
    MemberConfig,
    Repeatability,
    Route,
    pick_pool,
)
from bluebellpitch.decisions.freshness import Freshness
from bluebellpitch.decisions.loads import WorkItem
from bluebellpitch.http1 import HttpLimits
from bluebellpitch.platform.http_messages import RoutedRequest
from bluebellpitch.verdicts import DidNotRun

CONFIGURATION_RETRY_AFTER_S = 0.5
MIN_RECEIVE_TIMEOUT_S = 10.0
# Gap between events to aim at on routes that set no target.
DEFAULT_ROUTE_GAP_TARGET_S = 60.0


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request with its route, pool and member. ``expires_at`` is its deadline.

    ``rank`` is its level among all requests, 0 being the most urgent.
    """

    request: RoutedRequest
    route: Route
    pool: str
    is_engine_pool: bool
    member: MemberConfig | None
    rank: int
    arrived_at: float
    expires_at: float

    @property
    def is_retryable(self) -> bool:
        """Whether the request may be sent again after it may have run."""
        return self.route.repeatability is not Repeatability.ONCE


def admit_request(
    request: RoutedRequest, catalogue: Catalogue | None, freshness: Freshness, now: float
) -> AdmittedRequest | DidNotRun:
    """Looks up the route and the member of a request, or returns the reason to refuse it."""
    if catalogue is None:
        return DidNotRun("no_configuration", 503, CONFIGURATION_RETRY_AFTER_S)
    may_report_unknown = freshness.may_report_unknown(now)
    route = catalogue.match_route(request.host, request.path)
    if route is None:
        return refuse_unknown(404, "no_such_route", may_report_unknown)
    member = None
    if catalogue.has_members and not route.is_public:
        if not freshness.may_accept_keys(now):
            return DidNotRun("configuration_not_fresh", 503, CONFIGURATION_RETRY_AFTER_S)
        member = catalogue.members_by_key.get(request.api_key)
        if member is None:
            return refuse_unknown(401, "unknown_key", may_report_unknown)
    pool = pick_pool(route, random.random())
    row = catalogue.pools_by_name.get(pool)
    is_engine_pool = row is not None and row.engine is not None
    expires_at = now + min(request.timeout_s, route.timeout_s)
    rank = catalogue.urgency(route, member)
    return AdmittedRequest(request, route, pool, is_engine_pool, member, rank, now, expires_at)


def refuse_unknown(status: int, reason: str, may_report_unknown: bool) -> DidNotRun:
    """Refuses an unknown route or key.

    While the configuration may be out of date, the refusal asks the caller to retry instead.
    """
    if may_report_unknown:
        return DidNotRun(reason, status)
    return DidNotRun(f"{reason}_not_sure", 503, CONFIGURATION_RETRY_AFTER_S)


def build_http_limits(limits: CallerLimits) -> HttpLimits:
    """Returns the limits on callers that the configuration sets, as those of a server."""
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        receive_s=max(limits.header_s, MIN_RECEIVE_TIMEOUT_S),
        idle_timeout_s=limits.idle_s,
    )


def build_work_item(admitted: AdmittedRequest, attempt: int) -> WorkItem:
    """Returns the description of one attempt, by which its endpoint is chosen."""
    prompt = admitted.request.prompt
    return WorkItem(
        id=f"{admitted.request.id}.{attempt}",
        pool=admitted.pool,
        rank=admitted.rank,
        tokens_in=prompt.tokens_in,
        tokens_out=prompt.tokens_out,
        parts=tuple((part.id, part.tokens) for part in prompt.parts),
        target_s=admitted.route.target_s,
        gap_target_s=admitted.route.gap_target_s or DEFAULT_ROUTE_GAP_TARGET_S,
        arrived_at=admitted.arrived_at,
        expires_at=admitted.expires_at,
        member=admitted.member.name if admitted.member else "",
    )
