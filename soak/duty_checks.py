"""Checks of the calls that the platform's API had from the holders of the duty."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import pairwise

from fakes.duty_api import DutyCall
from soak.history import DUTY_LEASE_S, History

# A call that a process was about to make when it was suspended may arrive so long after its wake.
WAKE_MARGIN_S = 1.0


def check_duty_reports(history: History) -> Iterator[str]:
    """All reports of one window are equal."""
    counts_by_window: dict[int, dict] = {}
    for call in history.duty_calls:
        window, counts = call.body["window_index"], call.body["counts"]
        if counts_by_window.setdefault(window, counts) != counts:
            yield f"window {window}: {call.holder} sent {counts}, not {counts_by_window[window]}"


def check_duty_holders(history: History) -> Iterator[str]:
    """No two VMs call under one token."""
    holders_by_token: dict[int, set[str]] = defaultdict(set)
    for call in history.duty_calls:
        holders_by_token[call.token].add(call.holder)
    for token, holders in holders_by_token.items():
        if len(holders) > 1:
            yield f"token {token}: {sorted(holders)}"


def check_duty_tokens(history: History) -> Iterator[str]:
    """No call under a lower token follows one under a higher token."""
    for before, after in pairwise(timely_calls(history)):
        if after.token < before.token:
            yield f"{after.holder} called under {after.token} after {before.token}"


def check_duty_returns(history: History) -> Iterator[str]:
    """A VM that another one followed does not call again within the lease time."""
    last_by_holder: dict[str, DutyCall] = {}
    previous: DutyCall | None = None
    for call in timely_calls(history):
        last = last_by_holder.get(call.holder)
        is_return = last is not None and previous.holder != call.holder
        if is_return and call.at - last.at <= DUTY_LEASE_S:
            yield f"{call.holder} was back {call.at - last.at:.1f} s after its own last call"
        last_by_holder[call.holder] = previous = call


def check_duty_due(history: History) -> Iterator[str]:
    """After the faults, the windows that are due are reported."""
    reported = {call.body["window_index"] for call in history.duty_calls}
    for window in history.due_windows:
        if window not in reported:
            yield f"window {window} is not reported after the faults"


def timely_calls(history: History) -> Iterator[DutyCall]:
    """Yields the calls in order of arrival, but those of processes that were just suspended."""
    for call in sorted(history.duty_calls, key=lambda call: call.at):
        if not any(
            suspension.vm == call.holder
            and suspension.started_at <= call.at <= suspension.ended_at + WAKE_MARGIN_S
            for suspension in history.suspensions
        ):
            yield call


DUTY_CHECKS = (
    check_duty_reports,
    check_duty_holders,
    check_duty_tokens,
    check_duty_returns,
    check_duty_due,
)
