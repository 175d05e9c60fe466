"""Evidence of crashes among VMs that are cut off, suspended or unknown, in virtual time."""

import asyncio
import random

from bluebellpitch.decisions.crash_evidence import REFUSAL_S, SuspectRun
from bluebellpitch.metrics import Metrics
from bluebellpitch.roles.crash_tracker import CrashTracker
from tests.virtual_time import run_in_virtual_time

LATENCY_S = 0.03
# How soon a VM that is in touch again must know what the others know.
LEARN_WITHIN_S = 4.0


class Network:
    """Connects trackers. Messages to VMs in ``cut`` are lost, those to ``suspended`` ones wait."""

    def __init__(self, count: int):
        random.seed(7)
        self.cut: set[str] = set()
        self.suspended: set[str] = set()
        self.unknown: set[str] = set()
        self._waiting: list[tuple[str, object]] = []
        self.trackers: dict[str, CrashTracker] = {}
        for number in range(count):
            self._add(f"vm-{number}")

    def _add(self, name: str) -> None:
        self.trackers[name] = CrashTracker(
            address=name,
            peers=lambda: sorted(self.trackers.keys() - {name} - self.unknown),
            near_peers=lambda: sorted(self.trackers.keys() - {name} - self.unknown),
            introduce=lambda address: self.unknown.discard(address),
            send=lambda address, message: self._send(name, address, message),
            metrics=Metrics(),
            now=asyncio.get_running_loop().time,
        )
        asyncio.ensure_future(self.trackers[name].run())

    def _send(self, sender: str, receiver: str, message) -> None:
        if sender in self.suspended or {sender, receiver} & self.cut:
            return
        asyncio.get_running_loop().call_later(LATENCY_S, self._deliver, receiver, message)

    def _deliver(self, receiver: str, message) -> None:
        if receiver in self.suspended:
            self._waiting.append((receiver, message))
        elif receiver not in self.cut:
            self.trackers[receiver].handle_message(message)

    def resume(self, name: str) -> None:
        self.suspended.discard(name)
        waiting, self._waiting = self._waiting, []
        for receiver, message in waiting:
            self._deliver(receiver, message)

    def knows(self, name: str) -> bool:
        return self.trackers[name].find_deadly(("caller", "bad")) is not None


async def crash_three(network: Network) -> None:
    """Three crashes of prompts with the deadly part, seen by three VMs."""
    now = asyncio.get_running_loop().time
    for number in range(3):
        suspects = (SuspectRun(f"r{number}", ("caller", "bad")),)
        network.trackers[f"vm-{number}"].record_crash(f"i-{number}/1", now(), suspects)
        await asyncio.sleep(0.5)


def test_all_vms_that_are_in_touch_decide_alike():
    async def body():
        network = Network(6)
        await crash_three(network)
        return [network.knows(name) for name in network.trackers]

    assert run_in_virtual_time(body()) == [True] * 6


def test_vm_that_was_cut_off_learns_what_it_missed():
    async def body():
        network = Network(12)
        network.cut = {"vm-11"}
        await crash_three(network)
        await asyncio.sleep(5.0)
        knew_while_cut = network.knows("vm-11")
        network.cut = set()
        await asyncio.sleep(LEARN_WITHIN_S)
        return knew_while_cut, network.knows("vm-11")

    assert run_in_virtual_time(body()) == (False, True)


def test_vm_that_the_others_do_not_know_yet_learns_what_they_know():
    async def body():
        network = Network(6)
        network.unknown = {"vm-5"}
        await asyncio.sleep(0.5)
        await crash_three(network)
        await asyncio.sleep(LEARN_WITHIN_S)
        return network.knows("vm-5")

    assert run_in_virtual_time(body())


def test_suspended_vm_knows_at_once_and_no_longer_than_the_others():
    async def body():
        network = Network(6)
        network.suspended = {"vm-5"}
        await crash_three(network)
        await asyncio.sleep(60.0)
        network.resume("vm-5")
        knows_at_once = network.knows("vm-5")
        await asyncio.sleep(REFUSAL_S - 60.0 + 0.5)
        return knows_at_once, network.knows("vm-0"), network.knows("vm-5")

    assert run_in_virtual_time(body()) == (True, False, False)


def test_survival_at_one_vm_clears_the_parts_at_all():
    async def body():
        network = Network(6)
        await crash_three(network)
        now = asyncio.get_running_loop().time()
        network.trackers["vm-4"].record_survival(("caller", "bad"), now)
        await asyncio.sleep(1.0)
        return [network.knows(name) for name in network.trackers]

    assert run_in_virtual_time(body()) == [False] * 6
