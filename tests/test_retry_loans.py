"""VMs that lend each other parts of the retry budget, in virtual time."""

import asyncio
import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import AllMatch, Equals, GreaterThan, IsInstance, LessThan

from bluebellpitch.decisions.retry_budget import (
    LOAN_S,
    USABLE_BUDGET_SHARE,
    RetryBudget,
    SpentRetry,
)
from bluebellpitch.decisions.retry_loans import MAX_ASK_INTERVAL_S, RetryBorrower
from bluebellpitch.entry_vm import EntryVm
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.retry_messages import RetryLoan, RetryLoanRequest
from bluebellpitch.platform.settings_file import parse_settings
from bluebellpitch.roles.peer_discovery import UNREAD_LIST_VM_COUNT
from bluebellpitch.roles.shared_retry_budget import SharedRetryBudget
from fakes.ports import free_port
from fakes.prepared_deployment import Deployment, settings_text, wait_until
from tests.virtual_time import PEER_DELAY_S, run_in_virtual_time

POOL = "app"
RATIO, BURST, WINDOW_S = 0.2, 40.0, 10.0
# A VM starts again at most once in this time.
RESTART_INTERVAL_S = 15.0
VMS = 4
DRIFTS = (0.96, 1.0, 1.0, 1.04)


@dataclass
class LendingFleet:
    """VMs with clocks of their own; messages arrive at any time, twice or never."""

    now: float = 0.0
    spent_at: list[float] = field(default_factory=list)
    requests_at: list[float] = field(default_factory=list)
    messages: list = field(default_factory=list)

    def __post_init__(self):
        self.starts = [0] * VMS
        self.started_at = [float("-inf")] * VMS
        self.budgets = [RetryBudget(RATIO, BURST, WINDOW_S) for _ in range(VMS)]
        self.borrowers = [RetryBorrower(f"{vm}/0") for vm in range(VMS)]

    def clock(self, vm: int) -> float:
        return 1000.0 * vm + DRIFTS[vm] * self.now

    def request(self, vm: int, count: int) -> None:
        for _ in range(count):
            self.budgets[vm].record_request(POOL, self.clock(vm))
        self.requests_at += [self.now] * count

    def retry(self, vm: int, count: int) -> None:
        budget, now = self.budgets[vm], self.clock(vm)
        for _ in range(count):
            budget.record_demand(POOL, now)
            if budget.spend(POOL, VMS, now):
                self.spent_at.append(self.now)
        lacking = budget.shortfall(POOL, VMS, now)
        if lacking and self.borrowers[vm].is_due(POOL, now):
            others = [str(other) for other in range(VMS) if other != vm]
            request = self.borrowers[vm].next_request(POOL, lacking, others, now)
            message = RetryLoanRequest(request.id, POOL, lacking, str(vm))
            self.messages.append((int(request.lender), message))

    def deliver(self, number: int, is_kept: bool) -> None:
        if not self.messages:
            return
        index = number % len(self.messages)
        vm, message = self.messages[index] if is_kept else self.messages.pop(index)
        budget, now = self.budgets[vm], self.clock(vm)
        if isinstance(message, RetryLoanRequest):
            lent = budget.lend(POOL, message.count, VMS, now)
            if lent:
                self.messages.append((int(message.reply_to), RetryLoan(message.loan_id, lent)))
        elif request := self.borrowers[vm].accept(message.loan_id, now):
            budget.borrow(POOL, message.count, request.expires_at, now)

    def restart(self, vm: int) -> None:
        if self.now - self.started_at[vm] < RESTART_INTERVAL_S:
            return
        self.starts[vm] += 1
        self.started_at[vm] = self.now
        self.budgets[vm] = RetryBudget(RATIO, BURST, WINDOW_S, started_at=self.clock(vm))
        self.borrowers[vm] = RetryBorrower(f"{vm}/{self.starts[vm]}")

    def most_over_budget(self) -> float:
        """Returns by how much the fullest window exceeds the budget for its requests.

        Without restarts, a part of the budget is kept.
        """
        share = 1.0 if any(self.starts) else USABLE_BUDGET_SHARE
        longest_s = 2 * (WINDOW_S + LOAN_S) * 1.2
        return max(
            (
                sum(end - WINDOW_S < at <= end for at in self.spent_at)
                - share * RATIO * sum(end - longest_s < at <= end for at in self.requests_at)
                - share * BURST
                for end in self.spent_at
            ),
            default=-BURST,
        )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("retry", "retry", "deliver", "deliver", "deliver", "repeat", "other")),
        st.integers(0, VMS - 1),
        st.integers(0, 20),
        st.sampled_from((0.0, 0.0, 0.0, 0.1, 0.5, 1.9, 8.0)),
    ),
    min_size=20,
    max_size=80,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(steps=STEPS, may_restart=st.booleans())
def test_all_vms_together_stay_within_the_budget(steps, may_restart):
    fleet = LendingFleet()
    for kind, vm, number, wait_s in steps:
        match kind:
            case "retry":
                fleet.retry(vm, number)
            case "deliver" | "repeat":
                fleet.deliver(number, is_kept=kind == "repeat")
            case "other" if may_restart and number > 10:
                fleet.restart(vm)
            case "other":
                fleet.request(vm, number // 4)
        fleet.now += wait_s
    for vm in range(VMS):
        fleet.retry(vm, 20)
    assert fleet.most_over_budget() <= 1e-9


class VirtualVms:
    """The shared budgets of several VMs by name; ``is_cut`` loses all messages."""

    def __init__(self):
        self.budgets_by_vm: dict[str, SharedRetryBudget] = {}
        self.sent: list[RetryLoanRequest | RetryLoan] = []
        self.is_cut = False

    def add(self, name: str, budget: RetryBudget, now) -> SharedRetryBudget:
        self.budgets_by_vm[name] = SharedRetryBudget(
            budget=budget,
            vm_key=name,
            address=name,
            peers=lambda: [other for other in self.budgets_by_vm if other != name],
            vm_count=lambda: len(self.budgets_by_vm),
            may_lend=lambda: True,
            send_to_address=self._send,
            metrics=Metrics(),
            now=now,
        )
        return self.budgets_by_vm[name]

    def _send(self, address: str, message) -> None:
        self.sent.append(message)
        if not self.is_cut:
            receiver = self.budgets_by_vm[address]
            asyncio.get_running_loop().call_later(PEER_DELAY_S, receiver.handle_message, message)


def borrow_one(budget: RetryBudget, expires_at: float) -> SpentRetry:
    budget.borrow(POOL, 1, expires_at, 0.0)
    return budget.spend(POOL, VMS, 0.0)


def count_spent(budget: RetryBudget, now: float, vms: int = VMS) -> int:
    """Spends all that is left; returns how many retries it was."""
    spent = 0
    while budget.spend(POOL, vms, now):
        spent += 1
    return spent


def test_retry_whose_loan_ended_before_it_was_sent_is_not_sent():
    budget, now = RetryBudget(RATIO, 1.0, WINDOW_S), [0.0]
    shared = VirtualVms().add("a", budget, lambda: now[0])
    retry = borrow_one(budget, LOAN_S)
    now[0] = LOAN_S - 0.01
    assert_that(shared.renew(retry), Equals(retry))
    now[0] = LOAN_S
    assert_that(shared.renew(retry), Equals(None))


def test_vm_that_spent_more_than_its_part_is_now_borrows_no_more_than_it_wants():
    budget = RetryBudget(RATIO, 0.0, WINDOW_S)
    for _ in range(100):
        budget.record_request(POOL, 0.0)
    assert_that(count_spent(budget, WINDOW_S - 1), GreaterThan(10))
    budget.borrow(POOL, 2, WINDOW_S + LOAN_S, WINDOW_S)
    for _ in range(3):
        budget.record_demand(POOL, WINDOW_S)
    assert_that(budget.remaining(POOL, VMS, WINDOW_S), Equals(2))
    assert_that(budget.shortfall(POOL, VMS, WINDOW_S), Equals(1))


def test_loans_end_each_at_their_own_time():
    budget = RetryBudget(RATIO, 0.0, WINDOW_S)
    budget.borrow(POOL, 2, 3.0, 1.0)
    budget.borrow(POOL, 5, 2.0, 1.0)
    assert_that(count_spent(budget, 2.5), Equals(2))


def test_lent_retries_come_back_when_the_last_that_may_be_sent_counts_no_more():
    budget = RetryBudget(RATIO, BURST, WINDOW_S)
    lent = budget.lend(POOL, 50, VMS, 0.0)
    own = int(USABLE_BUDGET_SHARE * BURST / VMS)
    assert_that(lent, GreaterThan(2))
    assert_that(budget.remaining(POOL, VMS, WINDOW_S + LOAN_S), Equals(own - lent))
    assert_that(budget.remaining(POOL, VMS, 1.2 * (WINDOW_S + LOAN_S)), Equals(own))


def test_vm_that_starts_again_stays_with_the_process_before_it_within_its_part():
    before, after = (RetryBudget(RATIO, BURST, WINDOW_S, started_at=at) for at in (-100.0, 0.1))
    spent = count_spent(before, 0.0) + count_spent(after, 0.2)
    assert_that(spent, Equals(BURST / VMS))
    after = RetryBudget(RATIO, BURST, WINDOW_S, started_at=0.1)
    assert_that(after.lend(POOL, 9, VMS, 0.2), Equals(0))
    assert_that(after.lend(POOL, 9, VMS, 0.2 + 1.2 * (WINDOW_S + LOAN_S)), GreaterThan(0))


def test_loan_that_is_answered_twice_or_too_late_does_not_count():
    borrower = RetryBorrower("a")
    request = borrower.next_request(POOL, 3, ["b"], 0.0)
    assert_that(borrower.accept(request.id, 0.1), Equals(request))
    assert_that(borrower.accept(request.id, 0.1), Equals(None))
    late = borrower.next_request(POOL, 3, ["b"], 1.0)
    assert_that(borrower.accept(late.id, 1.0 + LOAN_S), Equals(None))


@dataclass
class ZoneTrouble:
    """Nine VMs of three zones take requests; for 4 s, most attempts in the first zone fail."""

    burst: float
    is_cut: bool = False
    rate_per_s: float = 10.0
    failing_share: float = 0.8
    retried: int = 0
    not_retried: int = 0

    async def run(self) -> "ZoneTrouble":
        now, self.vms = asyncio.get_running_loop().time, VirtualVms()
        self.vms.is_cut = self.is_cut
        for number in range(9):
            self.vms.add(f"vm-{number}", RetryBudget(RATIO, self.burst, WINDOW_S), now)
        source = random.Random(1)
        await asyncio.gather(
            *(
                self._take_requests(shared, number < 3, random.Random(source.random()))
                for number, shared in enumerate(self.vms.budgets_by_vm.values())
            )
        )
        return self

    async def _take_requests(self, shared: SharedRetryBudget, is_hit: bool, source) -> None:
        now = asyncio.get_running_loop().time
        retries = []
        while now() < 14.0:
            await asyncio.sleep(source.expovariate(self.rate_per_s))
            shared.record_request(POOL)
            if is_hit and now() >= 10.0 and source.random() < self.failing_share:
                retries.append(asyncio.ensure_future(self._retry(shared)))
        await asyncio.gather(*retries)

    async def _retry(self, shared: SharedRetryBudget) -> None:
        retry = await shared.spend(POOL, asyncio.get_running_loop().time() + 1.0)
        self.retried += retry is not None
        self.not_retried += retry is None


def test_zone_in_trouble_retries_with_what_the_others_leave():
    trouble = run_in_virtual_time(ZoneTrouble(burst=54.0).run())
    alone = run_in_virtual_time(ZoneTrouble(burst=54.0, is_cut=True).run())
    assert_that(trouble.not_retried, Equals(0))
    assert_that(alone.not_retried, GreaterThan(20))


def test_many_retries_at_once_wait_a_moment_for_what_the_others_leave():
    async def body():
        vms, now = VirtualVms(), asyncio.get_running_loop().time
        for number in range(9):
            vms.add(f"vm-{number}", RetryBudget(RATIO, 54.0, WINDOW_S), now)
        shared = vms.budgets_by_vm["vm-0"]
        return await asyncio.gather(*(shared.spend(POOL, 1.0) for _ in range(20)))

    assert_that(run_in_virtual_time(body()), AllMatch(IsInstance(SpentRetry)))


def test_messages_pass_only_while_a_vm_is_short_and_then_at_a_bounded_rate():
    calm = run_in_virtual_time(ZoneTrouble(burst=54.0, failing_share=0.05).run())
    assert_that(calm.vms.sent, Equals([]))
    cut = run_in_virtual_time(ZoneTrouble(burst=54.0, is_cut=True).run())
    # Three VMs ask for 4 s; the time between two requests soon reaches its bound.
    assert_that(len(cut.vms.sent), LessThan(3 * (4.0 / MAX_ASK_INTERVAL_S + 5)))


def test_vms_without_a_shared_burst_do_not_lend():
    trouble = run_in_virtual_time(ZoneTrouble(burst=0.0).run())
    assert_that(trouble.vms.sent, Equals([]))


def test_entry_vms_lend_over_their_bus():
    async def body():
        async with Deployment() as deployment:
            await deployment.add_endpoint("i-1", POOL)
            vms = [await deployment.add_vm(zone) for zone in ("z", "y")]
            for vm in vms:
                vm.retries._budget.started_at = float("-inf")
            await wait_until(lambda: all(len(vm.peer_discovery.addresses()) == 1 for vm in vms))
            own = int(vms[0].retries.remaining(POOL))
            give_up_at = vms[0]._now() + 5.0
            return [await vms[0].retries.spend(POOL, give_up_at) for _ in range(own + 5)]

    assert_that(asyncio.run(body()), AllMatch(IsInstance(SpentRetry)))


def test_answer_with_an_error_is_tried_again_with_a_borrowed_retry():
    async def body():
        async with Deployment() as deployment:
            endpoints = [await deployment.add_endpoint(f"i-{n}", POOL) for n in range(2)]
            endpoints[0].mode = "fail"
            vms = [await deployment.add_vm(zone) for zone in ("z", "y")]
            vms[1].retries._budget.started_at = float("-inf")
            await wait_until(lambda: all(len(vm.peer_discovery.addresses()) == 1 for vm in vms))
            count_spent(vms[0].retries._budget, vms[0]._now(), len(vms))
            client = deployment.add_client(vms[0])
            return [(await client.call("GET", "/look/7", f"r{n}")).status for n in range(4)]

    assert_that(asyncio.run(body()), AllMatch(Equals(200)))


def test_vm_that_has_not_read_the_list_takes_the_part_of_one_of_many():
    settings = parse_settings(settings_text("vm", "z", "127.0.0.1:1", "", "", free_port()))
    vm = EntryVm(settings, lambda: settings, lambda: 0.0)
    left = vm.retries.remaining(POOL)
    vm.close()
    assert_that(left, LessThan(settings.retry_budget_burst / UNREAD_LIST_VM_COUNT))
