"""Checks of the guarantees on a history. Each check yields one line per breach."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from itertools import pairwise

from soak.duty_checks import DUTY_CHECKS
from soak.history import STREAM_EVENTS, STREAM_KINDS, Arrival, History, Outcome

UNSAFE_KINDS = ("file",)
# Bounds from the settings files of the VMs.
REVOCATION_BOUND_S = 2.5
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_BURST = 50
RETRY_BUDGET_WINDOW_S = 10.0
# Time until an endpoint's notice is known to each VM that reaches the store, or a peer that does.
LEAVING_PROPAGATION_S = 6.0
# A request sent this shortly before the exit of its VM may find the connection closed.
STOP_RACE_MARGIN_S = 0.3


def check_at_most_once(history: History) -> Iterator[str]:
    """An unsafe request runs at most once."""
    kinds_by_id = {outcome.id: outcome.kind for outcome in history.outcomes}
    run_counts_by_id = Counter(arrival.id for arrival in history.arrivals if arrival.ran)
    for id, count in run_counts_by_id.items():
        if count > 1 and kinds_by_id.get(id) in UNSAFE_KINDS:
            yield f"{id} ran {count} times"


def check_refusals(history: History) -> Iterator[str]:
    """A request that is reported as not run has not run and never runs later."""
    ran = {arrival.id for arrival in history.arrivals if arrival.ran}
    for outcome in history.outcomes:
        is_reported_not_run = outcome.verdict == "did_not_run" or bool(outcome.retry_after)
        if is_reported_not_run and not outcome.endpoint_answered and outcome.id in ran:
            yield f"{outcome.id} ran, but {outcome.vm} reported that it did not"


def check_answers(history: History) -> Iterator[str]:
    """Responses are complete and match the request; streams have each event once, in order."""
    for outcome in history.outcomes:
        if outcome.endpoint_answered and outcome.status == 200 and not is_expected_body(outcome):
            yield f"{outcome.id} got {outcome.body[:80]!r} from {outcome.vm}"


def is_expected_body(outcome: Outcome) -> bool:
    """Returns whether a body is the complete response of an endpoint to this request."""
    if outcome.kind in STREAM_KINDS:
        events = (f"id: {n}\ndata: piece {n}\n\n" for n in range(1, STREAM_EVENTS + 1))
        return outcome.body == "".join(events).encode()
    return outcome.body.endswith(f" answers {outcome.id}".encode())


def check_keys(history: History) -> Iterator[str]:
    """A revoked key is accepted no longer than the revocation bound."""
    for outcome in history.outcomes:
        revoked_at = history.revoked_at_by_key.get(outcome.key)
        if revoked_at is None or not outcome.endpoint_answered:
            continue
        excess_s = outcome.sent_at - revoked_at - REVOCATION_BOUND_S
        if excess_s > 0:
            yield f"{outcome.id}: {outcome.vm} accepted {outcome.key} {excess_s:.2f} s too long"


def check_leaving(history: History) -> Iterator[str]:
    """An endpoint that announced that it is leaving gets no new requests."""
    for arrival in history.arrivals:
        announced_at = history.leaving_at_by_endpoint.get(arrival.endpoint)
        if announced_at is not None and arrival.at > announced_at + LEAVING_PROPAGATION_S:
            yield (
                f"{arrival.id} reached {arrival.endpoint} "
                f"{arrival.at - announced_at:.1f} s after its notice"
            )


def check_versions(history: History) -> Iterator[str]:
    """A process never returns to an older configuration."""
    for process, versions in history.versions_by_process.items():
        for before, after in pairwise(versions):
            if after < before:
                yield f"{process} went from version {before} to {after}"


def check_stops(history: History) -> Iterator[str]:
    """A planned stop cuts no request or stream of a caller that stays connected."""
    cut = [outcome for outcome in history.outcomes if not outcome.status]
    for stop in history.planned_stops:
        for outcome in cut:
            overlaps = stop.started_at <= outcome.ended_at <= stop.ended_at + STOP_RACE_MARGIN_S
            is_sent_early = outcome.sent_at < stop.ended_at - STOP_RACE_MARGIN_S
            if outcome.vm == stop.vm and overlaps and is_sent_early:
                yield f"{outcome.id} was cut by the planned stop of {stop.vm}"


def check_budget(history: History) -> Iterator[str]:
    """Retries of all VMs stay within the shared budget in each window."""
    arrivals_by_pool: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        arrivals_by_pool[arrival.pool].append(arrival)
    for pool, arrivals in arrivals_by_pool.items():
        seen: set[str] = set()
        window: deque[tuple[float, bool]] = deque()
        retries = 0
        for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
            window.append((arrival.at, arrival.id in seen))
            retries += arrival.id in seen
            seen.add(arrival.id)
            while window[0][0] <= arrival.at - RETRY_BUDGET_WINDOW_S:
                retries -= window.popleft()[1]
            allowed = RETRY_BUDGET_RATIO * len(window) + RETRY_BUDGET_BURST
            if retries > allowed:
                yield f"{pool}: {retries} retries in a window that allows {allowed:.0f}"
                break


CHECKS = (
    check_at_most_once,
    check_refusals,
    check_answers,
    check_keys,
    check_leaving,
    check_versions,
    check_stops,
    check_budget,
    *DUTY_CHECKS,
)


def find_breaches(history: History) -> list[str]:
    """Returns all breaches of all guarantees."""
    breaches = [f"run: {failure}" for failure in history.failures]
    for check in CHECKS:
        name = check.__name__.removeprefix("check_")
        breaches += [f"{name}: {line}" for line in check(history)]
    return breaches
