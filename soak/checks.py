"""The promises, checked on a record. Each check yields a line for each breach."""

from collections import Counter, defaultdict, deque
from collections.abc import Iterator
from itertools import pairwise

from soak.history import EVENTS, STREAM_KINDS, Arrival, Outcome, Record

ONCE_KINDS = ("file",)
# Bounds of the settings that the scene writes.
REVOKE_S = 2.5
REPEAT_SHARE = 0.2
REPEAT_BURST = 50
REPEAT_WINDOW_S = 10.0
# An endpoint's notice has to be known to VMs that reach the store, or a peer that does.
LEAVING_KNOWN_S = 6.0
# A request sent so shortly before its VM is gone may meet a closed connection.
LAST_MOMENT_S = 0.3


def check_at_most_once(record: Record) -> Iterator[str]:
    """An unsafe request runs at most once."""
    kinds = {outcome.id: outcome.kind for outcome in record.outcomes}
    runs = Counter(arrival.id for arrival in record.arrivals if arrival.ran)
    for id, count in runs.items():
        if count > 1 and kinds.get(id) in ONCE_KINDS:
            yield f"{id} ran {count} times"


def check_refusals(record: Record) -> Iterator[str]:
    """What is said not to have run has not run, not even later."""
    ran = {arrival.id for arrival in record.arrivals if arrival.ran}
    for outcome in record.outcomes:
        says_not_run = outcome.verdict == "did_not_run" or bool(outcome.retry_after)
        if says_not_run and not outcome.endpoint_answered and outcome.id in ran:
            yield f"{outcome.id} ran, and {outcome.vm} said that it did not"


def check_answers(record: Record) -> Iterator[str]:
    """Answers are whole and those of the request; streams have each event once, in order."""
    for outcome in record.outcomes:
        if outcome.endpoint_answered and outcome.status == 200 and not is_own(outcome):
            yield f"{outcome.id} got {outcome.body[:80]!r} from {outcome.vm}"


def is_own(outcome: Outcome) -> bool:
    """Tells whether a body is what an endpoint says to this request."""
    if outcome.kind in STREAM_KINDS:
        events = (f"id: {n}\ndata: piece {n}\n\n" for n in range(1, EVENTS + 1))
        return outcome.body == "".join(events).encode()
    return outcome.body.endswith(f" answers {outcome.id}".encode())


def check_keys(record: Record) -> Iterator[str]:
    """A key that was taken away is honoured no longer than the bound allows."""
    for outcome in record.outcomes:
        taken_at = record.taken_at_by_key.get(outcome.key)
        if taken_at is None or not outcome.endpoint_answered:
            continue
        late_s = outcome.sent_at - taken_at - REVOKE_S
        if late_s > 0:
            yield f"{outcome.id}: {outcome.vm} honoured {outcome.key} {late_s:.2f} s too long"


def check_leaving(record: Record) -> Iterator[str]:
    """An endpoint that announced that it leaves gets no new work."""
    for arrival in record.arrivals:
        left_at = record.left_at_by_endpoint.get(arrival.endpoint)
        if left_at is not None and arrival.at > left_at + LEAVING_KNOWN_S:
            yield f"{arrival.id} reached {arrival.endpoint} {arrival.at - left_at:.1f} s late"


def check_versions(record: Record) -> Iterator[str]:
    """A process never goes back to an older configuration."""
    for process, versions in record.versions_by_process.items():
        for before, after in pairwise(versions):
            if after < before:
                yield f"{process} went from version {before} to {after}"


def check_stops(record: Record) -> Iterator[str]:
    """A planned stop cuts nothing: requests and streams of callers that stay end well."""
    cut = [outcome for outcome in record.outcomes if not outcome.status]
    for stop in record.stops:
        for outcome in cut:
            overlaps = stop.begun_at <= outcome.ended_at <= stop.ended_at + LAST_MOMENT_S
            is_early = outcome.sent_at < stop.ended_at - LAST_MOMENT_S
            if outcome.vm == stop.vm and overlaps and is_early:
                yield f"{outcome.id} was cut by the planned stop of {stop.vm}"


def check_budget(record: Record) -> Iterator[str]:
    """Repeats of all VMs stay within the shared budget, in each window."""
    by_pool: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        by_pool[arrival.pool].append(arrival)
    for pool, arrivals in by_pool.items():
        seen: set[str] = set()
        window: deque[tuple[float, bool]] = deque()
        repeats = 0
        for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
            window.append((arrival.at, arrival.id in seen))
            repeats += arrival.id in seen
            seen.add(arrival.id)
            while window[0][0] <= arrival.at - REPEAT_WINDOW_S:
                repeats -= window.popleft()[1]
            allowed = REPEAT_SHARE * len(window) + REPEAT_BURST
            if repeats > allowed:
                yield f"{pool}: {repeats} repeats in a window that allows {allowed:.0f}"
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
)


def find_breaches(record: Record) -> list[str]:
    """Returns all breaches of all promises."""
    breaches = [f"run: {failure}" for failure in record.failures]
    for check in CHECKS:
        name = check.__name__.removeprefix("check_")
        breaches += [f"{name}: {line}" for line in check(record)]
    return breaches
