"""Measures the slopes behind docs/CAPACITY.md: cost and memory of each role against its size."""

import asyncio
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path

from bluebellpitch.clock import HybridClock
from bluebellpitch.decisions.claims import Claim, ClaimsStateMachine, Outcome, encode_claim_record
from bluebellpitch.decisions.control import (
    ControlStateMachine,
    TableChange,
    VmIdentity,
    encode_control_record,
)
from bluebellpitch.decisions.rows import (
    ClassRow,
    EndpointRow,
    MemberRow,
    PoolRow,
    Table,
    VersionedRow,
    row_key,
)
from bluebellpitch.decisions.slot_broker import SlotBroker
from bluebellpitch.decisions.slot_grants import FinishedGrant, QueuedRequest
from bluebellpitch.events import EventKind, EventRing
from bluebellpitch.metrics import Metrics
from bluebellpitch.peers.bus import PeerBus
from bluebellpitch.peers.messages import (
    Envelope,
    Heartbeat,
    LatencyReport,
    LoanRequest,
    SlotGranted,
    SlotReleased,
    SlotRequest,
    decode_envelope,
    encode_envelope,
)
from fakes.ports import free_address

REPORT = Path(__file__).resolve().parent.parent / "docs" / "measurements" / "capacity.md"
US = 1e6


def timed(job: Callable[[], int]) -> float:
    """Returns microseconds an operation; ``job`` returns how many it did. Best of three."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        count = job()
        best = min(best, (time.process_time() - started) / count * US)
    return best


def memory_of(build: Callable[[], object]) -> int:
    """Returns the bytes that a value holds."""
    tracemalloc.start()
    value = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Returns slope, value at 0 and the largest relative error of a line through points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    error = max(abs(start + slope * x - y) / max(abs(y), 1e-9) for x, y in points)
    return slope, start, error


def rows_of(endpoints: int, members: int) -> list:
    """Returns a table's rows: 6 pools in 19 zones, 7 classes."""
    rows: list = [MemberRow(f"m{n}", 1.0, 100, f"{n:064x}", "c1") for n in range(members)]
    rows += [ClassRow(f"c{n}", n, 1.0 + n, 670.0, 44.0, 10_000.0) for n in range(1, 8)]
    rows += [PoolRow(f"p{n}", "model", ()) for n in range(6)]
    rows += [
        EndpointRow(f"e{n}", f"p{n % 6}", f"z{n % 19}", f"r{n % 7}", "10.0.0.1:80", 8, True)
        for n in range(endpoints)
    ]
    return rows


def table_of(endpoints: int, members: int) -> Table:
    """Returns an indexed table."""
    rows = rows_of(endpoints, members)
    return Table({row_key(row): VersionedRow(row, 0) for row in rows}, 0)


def broker_of(endpoints: int, members: int, waiting: int) -> SlotBroker:
    """Returns a broker whose slots are all in use, with work waiting."""
    broker = SlotBroker("p0", "z0", lambda member, now: member.limit)
    rows = rows_of(endpoints * 114, members)
    kept = [r for r in rows if not isinstance(r, EndpointRow) or (r.pool, r.zone) == ("p0", "z0")]
    broker.set_table(Table({row_key(row): VersionedRow(row, 0) for row in kept}, 0))
    busy = broker.selector.total_slots + waiting if waiting else 0
    for number in range(busy):
        drain(broker.submit(make_work(f"w{number}", number % members, "c6", 0.0), 0.0))
    return broker


def make_work(request: str, member: int, class_name: str, now: float) -> QueuedRequest:
    """Returns a request."""
    return QueuedRequest(
        request, 1, "vm", f"m{member}", class_name, now, now + 1e6, last_requested_at=now
    )


def drain(commands: Iterator) -> None:
    """Carries a generator of commands through."""
    for _ in commands:
        pass


def broker_cost(endpoints: int, members: int, waiting: int) -> float:
    """Returns microseconds for one request's ask, grant and return."""
    broker = broker_of(endpoints, members, waiting)
    counter = iter(range(10**9))

    def job() -> int:
        for _ in range(300):
            number = next(counter)
            now = 1.0 + number * 0.001
            work = make_work(f"x{number}", number % members, "c5", now)
            drain(broker.submit(work, now))
            grant = broker.grant_id_by_request.get(work.request_id)
            if grant:
                drain(broker.finish(FinishedGrant(grant, "completed", 0.1, 0.02), now))
        return 300

    return timed(job)


def fold_cost(endpoints: int) -> float:
    """Returns microseconds to fold one change of one row."""
    fold = ControlStateMachine()
    rows = tuple(rows_of(endpoints, 490))
    fold.apply(0, encode_control_record(TableChange("t0", {}, rows)))
    counter = iter(range(1, 10**9))

    def job() -> int:
        for _ in range(20):
            number = next(counter)
            row = MemberRow("m1", float(number), 100, f"{1:064x}", "c1")
            base = {"member/m1": fold.revision_of("member/m1")}
            fold.apply(number, encode_control_record(TableChange(f"t{number}", base, (row,))))
        return 20

    return timed(job)


def message_cost() -> dict[str, float]:
    """Returns microseconds to encode and decode each message, and its bytes."""
    vm = VmIdentity("vm-1", "0190a1b2c3d4e", "10.0.0.1:7000", "10.0.0.1:7001")
    ask = SlotRequest("0" * 32, 1, "model-1", "member-1", "class-1", 0.01, 5.0, "f" * 32)
    messages = {
        "ask": ask,
        "granted": SlotGranted("g" * 36, "0" * 32, 1, "endpoint-1", "10.0.0.1:80", 0.1),
        "seen": LatencyReport("g" * 36, "model-1", "first", 0.1),
        "returned": SlotReleased("g" * 36, "0" * 32, "model-1", "completed", 0.1, 0.02),
        "heartbeat": Heartbeat(vm, "z", "r", False, 1_000_000, 100),
        "loan request": LoanRequest("model-1", 100, 1.0),
    }
    return {name: one_message(message) for name, message in messages.items()}


def one_message(message) -> tuple[float, int]:
    """Returns microseconds and bytes of one message."""

    def job() -> int:
        for _ in range(5_000):
            decode_envelope(encode_envelope(Envelope("vm-1.0190a1b2c3d4e", 10**15, message)))
        return 5_000

    size = len(encode_envelope(Envelope("vm-1.0190a1b2c3d4e", 10**15, message)))
    return timed(job), size


async def bus_cost() -> float:
    """Returns microseconds of processor time a message, for both ends together."""
    received = 0
    done = asyncio.Event()
    count = 20_000

    def take(sender, message) -> None:
        nonlocal received
        received += 1
        if received == count:
            done.set()

    clock = HybridClock(time.time)
    here = PeerBus("a", clock, Metrics(), take)
    there = PeerBus("b", clock, Metrics(), take)
    address = free_address()
    here.bind(free_address())
    there.bind(address)
    here.register_address("b", address)
    task = asyncio.create_task(there.run())
    started = time.process_time()
    for number in range(count):
        here.send("b", LatencyReport("g" * 36, "model-1", "first", 0.1))
        if number % 50 == 0:
            await asyncio.sleep(0)
    async with asyncio.timeout(30):
        await done.wait()
    cost = (time.process_time() - started) / count * US
    task.cancel()
    here.close()
    there.close()
    return cost


def ring_cost() -> tuple[float, float]:
    """Returns microseconds and bytes of one event."""
    ring = EventRing("vm-1", HybridClock(time.time), 20_000)

    def job() -> int:
        for number in range(20_000):
            ring.record(
                EventKind.GRANTED, f"{number:032x}", "member-1", "class-1", "e1", f"w={number}"
            )
        return 20_000

    return timed(job), memory_of(lambda: filled_ring()) / 20_000


def filled_ring() -> EventRing:
    """Returns a full ring."""
    ring = EventRing("vm-1", HybridClock(time.time), 20_000)
    for number in range(20_000):
        ring.record(EventKind.GRANTED, f"{number:032x}", "member-1", "class-1", "e1", f"w={number}")
    return ring


def filled_claims(keys: int) -> ClaimsStateMachine:
    """Returns a fold of claims and outcomes."""
    fold = ClaimsStateMachine(1e9)
    for number in range(keys):
        claim = Claim(f"{number:032x}", f"member-1/{number}", "f" * 32, "vm-1.0190a", 0.0)
        fold.apply(2 * number, encode_claim_record(claim), 0.0)
        outcome = Outcome(
            "o", claim.key, claim.id, "ran", 200, "application/json", b"x" * 200, True, 0.0
        )
        fold.apply(2 * number + 1, encode_claim_record(outcome), 0.0)
    return fold


def report() -> Iterator[str]:
    """Yields the lines of the report, as measured."""
    yield "# Slopes\n"
    yield "`make capacity`: processor microseconds and bytes, best of three, one process.\n"
    yield "| what | size | measured |\n|---|---|---|"
    for endpoints in (16, 64, 105, 256):
        cost = broker_cost(endpoints, 490, 0)
        yield f"| broker, a request, slots free | {endpoints} endpoints | {cost:.0f} us |"
    for waiting in (100, 400, 1600):
        cost = broker_cost(105, 490, waiting)
        yield f"| broker, a request, all slots in use | {waiting} waiting | {cost:.0f} us |"
    for members in (10, 100, 490):
        cost = broker_cost(105, members, 800)
        yield f"| broker, a request, 800 waiting | {members} members | {cost:.0f} us |"
    points = [(n, fold_cost(n)) for n in (500, 3_000, 12_000)]
    for size, cost in points:
        yield f"| table, one change folded | {size} endpoints | {cost:.0f} us |"
    slope, start, error = fit(points)
    yield f"| table, fit | | {start:.0f} us + {slope * 1000:.1f} us / 1,000 rows, {error:.0%} off |"
    for endpoints in (3_000, 12_000):
        size = memory_of(lambda n=endpoints: table_of(n, 490))
        yield f"| table, memory | {endpoints} endpoints | {size / 1e6:.1f} MB |"
    yield f"| table, snapshot | 12000 endpoints | {snapshot_bytes() / 1e6:.2f} MB |"
    for name, (cost, size) in message_cost().items():
        yield f"| message, encode and decode | {name}, {size} bytes | {cost:.1f} us |"
    yield f"| message over the bus, both ends | | {asyncio.run(bus_cost()):.1f} us |"
    cost, size = ring_cost()
    yield f"| event in the ring | | {cost:.1f} us, {size:.0f} bytes |"
    for keys in (1_000, 10_000):
        size = memory_of(lambda n=keys: filled_claims(n)) / keys
        cost = timed(lambda n=keys: len(filled_claims(n)._states_by_key) * 2)
        yield f"| claims, one record | {keys} keys | {cost:.1f} us, {size:.0f} bytes a key |"
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    yield f"| this process, most resident | | {resident:.0f} MB |"


def snapshot_bytes() -> int:
    """Returns the size of a snapshot record at the target's size."""
    fold = ControlStateMachine()
    fold.apply(0, encode_control_record(TableChange("t0", {}, tuple(rows_of(12_000, 490)))))
    return len(encode_control_record(fold.create_snapshot()))


def main() -> int:
    """Measures, prints and writes the report."""
    lines = []
    for line in report():
        print(line, flush=True)
        lines.append(line)
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
