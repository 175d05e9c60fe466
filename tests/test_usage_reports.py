"""Usage reports in virtual time: no count is lost, doubled or changed, whatever fails halfway."""

import asyncio

import pytest

from bluebellpitch.decisions.duties.usage_reports import (
    MAX_GIVEN_UP,
    Report,
    SettledWindow,
    UsageReports,
)
from bluebellpitch.decisions.duties.usage_windows import UsageWindows
from bluebellpitch.platform.duty_api import CallFailed, CallFenced
from tests.virtual_time import run_in_virtual_time
from tests.virtual_usage import UsageFleet

WINDOW_S = 5.0
# Windows are reported by this time after their end.
REPORTED_S = 4.0


@pytest.fixture
def play():
    """Returns a function that runs a coroutine function with a new fleet, in virtual time."""

    async def with_fleet(body):
        fleet = UsageFleet()
        await body(fleet)
        return fleet

    return lambda body: run_in_virtual_time(with_fleet(body))


def start(fleet, *names):
    """Starts VMs; the first holds the duty, the second collects the counts of all."""
    vms = [fleet.add(name) for name in names]
    fleet.collector = names[1]
    return vms


async def sleep_until(time: float) -> None:
    await asyncio.sleep(time - asyncio.get_running_loop().time())


def test_windows_are_reported_once_in_order_empty_ones_too(play):
    async def body(fleet):
        holder, collector, vm = start(fleet, "h", "c", "v")
        for each in (holder, collector, vm):
            each.begin_runs(2)
        await sleep_until(WINDOW_S + 1)
        vm.begin_runs(1, "b")
        await sleep_until(3 * WINDOW_S + REPORTED_S)

    fleet = play(body)
    assert [fleet.reported(window) for window in range(3)] == [[{"a": 6}], [{"b": 1}], [{}]]
    assert fleet.reports == sorted(fleet.reports, key=lambda report: report[1])


def test_counts_of_a_vm_that_dies_are_reported(play):
    async def body(fleet):
        _, _, vm = start(fleet, "h", "c", "v")
        vm.begin_runs(7)
        await sleep_until(1.5)
        vm.die()
        await sleep_until(WINDOW_S + REPORTED_S)

    assert play(body).reported(0) == [{"a": 7}]


def test_a_vm_that_stops_passes_on_its_last_counts(play):
    async def body(fleet):
        _, _, vm = start(fleet, "h", "c", "v")
        await sleep_until(2.0)
        vm.begin_runs(7)
        vm.gatherer.flush()
        vm.die()
        await sleep_until(WINDOW_S + REPORTED_S)

    assert play(body).reported(0) == [{"a": 7}]


def test_messages_that_come_twice_and_out_of_order_count_once(play):
    async def body(fleet):
        fleet.delays_s = (0.001, 3.5)
        _, _, vm = start(fleet, "h", "c", "v")
        for _ in range(20):
            vm.begin_runs(1)
            await asyncio.sleep(0.07)
        fleet.delays_s = (0.001,)
        await sleep_until(WINDOW_S + REPORTED_S)

    assert play(body).reported(0) == [{"a": 20}]


def test_a_lost_message_is_made_up_for(play):
    async def body(fleet):
        _, _, vm = start(fleet, "h", "c", "v")
        await sleep_until(1.0)
        vm.begin_runs(3)
        fleet.delays_s = ()
        await sleep_until(2.1)
        fleet.delays_s = (0.001,)
        await sleep_until(WINDOW_S + REPORTED_S)

    assert play(body).reported(0) == [{"a": 3}]


def test_a_new_collector_and_a_new_holder_are_told_everything(play):
    async def body(fleet):
        holder, collector, vm, _ = start(fleet, "h", "c", "v", "w")
        vm.begin_runs(5)
        await sleep_until(4.0)
        collector.die()
        holder.die()
        fleet.collector = "v"
        await sleep_until(WINDOW_S + REPORTED_S)
        fleet.hand_over("w")
        await asyncio.sleep(REPORTED_S)

    assert play(body).reported(0) == [{"a": 5}]


def test_a_collector_that_restarts_at_its_address_is_told_everything(play):
    async def body(fleet):
        holder, collector, vm = start(fleet, "h", "c", "v")
        await sleep_until(1.0)
        vm.begin_runs(5)
        # The collector is told, and dies before it passes that on.
        collector.gatherer._next_send_at = 1e9
        await sleep_until(3.5)
        collector.die()
        fleet.add("c", process=2)
        await sleep_until(WINDOW_S + REPORTED_S)

    assert play(body).reported(0) == [{"a": 5}]


def test_a_new_holder_sends_what_was_settled_although_more_was_counted(play):
    async def body(fleet):
        holder, collector, vm = start(fleet, "h", "c", "v")
        fleet.api_outcome, accepted = CallFailed("status 429"), fleet.api_outcome
        vm.begin_runs(5)
        await sleep_until(WINDOW_S + REPORTED_S)
        vm.gatherer.record_run("a", 1.0)
        await asyncio.sleep(3.0)
        assert holder.metrics.usage_late_counts._value.get() == 1
        holder.die()
        fleet.api_outcome = accepted
        fleet.hand_over("c")
        await asyncio.sleep(3.0)

    fleet = play(body)
    assert fleet.reported(0) == [{"a": 5}]
    assert not fleet.given_back


def test_a_window_whose_append_had_no_answer_is_sent_as_it_was_kept(play):
    async def body(fleet):
        _, collector, vm = start(fleet, "h", "c", "v")
        vm.begin_runs(5)
        await sleep_until(WINDOW_S)
        fleet.is_append_answer_lost = True
        await sleep_until(WINDOW_S + REPORTED_S)
        assert fleet.reported(0) == []
        fleet.is_append_answer_lost = False
        vm.gatherer.record_run("a", 1.0)
        fleet.hand_over("c")
        await asyncio.sleep(3.0)

    assert play(body).reported(0) == [{"a": 5}]


@pytest.mark.parametrize("heir, expected", [("h", [{"a": 1}]), ("c", [])])
def test_a_window_whose_record_was_lost_with_the_store_never_differs(play, heir, expected):
    async def body(fleet):
        holder, collector, vm = start(fleet, "h", "c", "v")
        await sleep_until(WINDOW_S)
        copy = dict(fleet.values_by_key)
        vm.gatherer.record_run("a", 1.0)
        fleet.api_outcome, accepted = CallFailed("status 429"), fleet.api_outcome
        await sleep_until(WINDOW_S + REPORTED_S)
        vm.gatherer.record_run("a", 1.0)
        await asyncio.sleep(2.0)
        fleet.values_by_key, fleet.api_outcome = copy, accepted
        fleet.era = 2
        for each in (holder, collector):
            each.era.observe(fleet.era, asyncio.get_running_loop().time())
        fleet.hand_over(heir)
        await asyncio.sleep(1.0)
        # Nor may a VM that does not know when the era began settle it.
        fleet.add("n")
        fleet.hand_over("n")
        await sleep_until(3 * WINDOW_S + REPORTED_S)

    fleet = play(body)
    # An exact repeat is ignored by the platform.
    assert fleet.reported(0)[:1] == expected
    assert all(counts == {"a": 1} for counts in fleet.reported(0))
    assert len(fleet.reported(2)) == 1


def test_a_jump_of_the_clock_moves_no_count(play):
    async def body(fleet):
        _, _, vm = start(fleet, "h", "c", "v")
        await sleep_until(40.5)
        for ahead_s in (4.0, 0.0, -4.0, 0.0):
            vm.wall_ahead_s = ahead_s
            await asyncio.sleep(1.0)
            vm.begin_runs(5)
        await sleep_until(9 * WINDOW_S + REPORTED_S)

    assert play(body).reported(8) == [{"a": 20}]


def test_a_vm_that_started_during_a_jump_follows_the_clock_back(play):
    async def body(fleet):
        start(fleet, "h", "c")
        vm = fleet.add("v", wall_ahead_s=4.0)
        await sleep_until(3.0)
        vm.wall_ahead_s = 0.0
        await sleep_until(7.0)
        vm.begin_runs(5)
        await sleep_until(2 * WINDOW_S + REPORTED_S)

    assert play(body).reported(1) == [{"a": 5}]


def test_a_holder_that_cannot_reach_the_api_gives_the_duty_back(play):
    async def body(fleet):
        start(fleet, "h", "c")
        fleet.api_outcome = CallFailed("timed out", is_unanswered=True)
        await sleep_until(2 * WINDOW_S + REPORTED_S)

    assert play(body).given_back == ["api_unreachable"]


def test_a_report_under_an_old_token_is_left_to_the_next_holder(play):
    async def body(fleet):
        holder, collector = start(fleet, "h", "c")
        fleet.api_outcome, accepted = CallFenced(), fleet.api_outcome
        holder.begin_runs(5)
        await sleep_until(WINDOW_S + REPORTED_S)
        assert fleet.given_back == ["fenced"]
        fleet.api_outcome = accepted
        fleet.hand_over("h")
        await asyncio.sleep(3.0)

    assert play(body).reported(0) == [{"a": 5}]


def test_a_window_whose_call_has_no_answer_does_not_hold_up_the_next_one(play):
    async def body(fleet):
        start(fleet, "h", "c")
        fleet.api_outcome = CallFailed("timed out", is_unanswered=True)
        fleet.takes_failed_calls = True
        await sleep_until(2 * WINDOW_S + REPORTED_S)
        assert fleet.given_back
        fleet.hand_over("c")
        await asyncio.sleep(4.0)

    fleet = play(body)
    assert fleet.reported(0)
    assert fleet.reported(1)


def test_windows_that_are_done_out_of_order_are_not_reported_again():
    reports = UsageReports(UsageWindows(WINDOW_S, 10.0))
    stored = [SettledWindow(window, {"a": window}, era=0) for window in (7, 8, 9)]
    reports.acquire(stored, 0, 0.0, 50.0)
    reports.record_unanswered(7)
    assert reports.next_step(50.0, dict) == Report(8, {"a": 8})
    reports.record_done(8)
    assert reports.next_step(50.0, dict) == Report(9, {"a": 9})
    reports.record_unanswered(9)
    assert reports.next_step(50.0, dict) == Report(7, {"a": 7})
    # Another holder goes on after the windows that no call is left for.
    assert next(reports._unsettled(100.0, lambda window: {})).done_until == 6
    reports.record_done(7)
    assert next(reports._unsettled(100.0, lambda window: {})).done_until == 8


def test_windows_that_are_hopelessly_late_are_given_up_and_later_ones_reported(play):
    async def body(fleet):
        holder, _ = start(fleet, "h", "c")
        holder.begin_runs(1)
        await sleep_until(WINDOW_S)
        fleet.api_outcome, accepted = CallFailed("status 429"), fleet.api_outcome
        await sleep_until(8 * WINDOW_S + 1.0)
        fleet.api_outcome = accepted
        await sleep_until(9 * WINDOW_S + REPORTED_S)
        missed = holder.metrics.usage_windows.labels("missed")
        assert missed._value.get() == 2

    fleet = play(body)
    assert [fleet.reported(window) for window in range(9)] == [[]] * 2 + [[{}]] * 7


def test_after_a_long_pause_the_missed_windows_are_bounded():
    reports = UsageReports(UsageWindows(WINDOW_S, 10.0))
    month_s = 30 * 86_400.0
    reports.acquire((SettledWindow(1, {}, era=0, done_until=1),), 0, 0.0, month_s)
    missed = reports.give_up(month_s)
    first_kept = reports.windows.first_kept(month_s)
    assert missed[-1] == first_kept - 1
    assert len(missed) <= MAX_GIVEN_UP
    assert reports.give_up(month_s) == []
