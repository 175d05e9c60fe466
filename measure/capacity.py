"""Measures how time and memory of each role grow with its size, for docs/CAPACITY.md."""

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
US_PER_S = 1e6


def measure_us(run_operations: Callable[[], int]) -> float:
    """Returns microseconds per operation, best of three; the callable returns their number."""
    best = float("inf")
    for _ in range(3):
        started = time.process_time()
        count = run_operations()
        best = min(best, (time.process_time() - started) / count * US_PER_S)
    return best


def measure_bytes(build: Callable[[], object]) -> int:
    """Returns the bytes allocated for a value."""
    tracemalloc.start()
    value = build()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Returns slope, intercept and largest relative error of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares
    intercept = mean_y - slope * mean_x
    max_error = max(abs(intercept + slope * x - y) / max(abs(y), 1e-9) for x, y in points)
    return slope, intercept, max_error


def make_rows(endpoints: int, members: int) -> list:
    """Returns the rows of a table with 6 pools, 19 zones and 7 classes."""
    rows: list = [MemberRow(f"m{n}", 1.0, 100, f"{n:064x}", "c1") for n in range(members)]
    rows += [ClassRow(f"c{n}", n, 1.0 + n, 670.0, 44.0, 10_000.0) for n in range(1, 8)]
    rows += [PoolRow(f"p{n}", "model", ()) for n in range(6)]
    rows += [
        EndpointRow(f"e{n}", f"p{n % 6}", f"z{n % 19}", f"r{n % 7}", "10.0.0.1:80", 8, True)
        for n in range(endpoints)
    ]
    return rows


def make_table(endpoints: int, members: int) -> Table:
    """Returns an indexed table."""
    rows = make_rows(endpoints, members)
    return Table({row_key(row): VersionedRow(row, 0) for row in rows}, 0)


def make_broker(endpoints: int, members: int, waiting: int) -> SlotBroker:
    """Returns a broker; with ``waiting`` requests queued, all its slots are in use."""
    broker = SlotBroker("p0", "z0", lambda member, now: member.limit)
    rows = make_rows(endpoints * 114, members)
    broker_rows = [
        r for r in rows if not isinstance(r, EndpointRow) or (r.pool, r.zone) == ("p0", "z0")
    ]
    broker.set_table(Table({row_key(row): VersionedRow(row, 0) for row in broker_rows}, 0))
    request_count = broker.selector.total_slots + waiting if waiting else 0
    for number in range(request_count):
        consume(broker.submit(make_request(f"w{number}", number % members, "c6", 0.0), 0.0))
    return broker


def make_request(request: str, member: int, class_name: str, now: float) -> QueuedRequest:
    """Returns a queued request."""
    return QueuedRequest(
        request, 1, "vm", f"m{member}", class_name, now, now + 1e6, last_requested_at=now
    )


def consume(commands: Iterator) -> None:
    """Exhausts a generator of commands."""
    for _ in commands:
        pass


def measure_broker_us(endpoints: int, members: int, waiting: int) -> float:
    """Returns microseconds to submit, grant and finish one request."""
    broker = make_broker(endpoints, members, waiting)
    counter = iter(range(10**9))

    def run_operations() -> int:
        for _ in range(300):
            number = next(counter)
            now = 1.0 + number * 0.001
            request = make_request(f"x{number}", number % members, "c5", now)
            consume(broker.submit(request, now))
            grant_id = broker.grant_id_by_request.get(request.request_id)
            if grant_id:
                consume(broker.finish(FinishedGrant(grant_id, "completed", 0.1, 0.02), now))
        return 300

    return measure_us(run_operations)


def measure_table_change_us(endpoints: int) -> float:
    """Returns microseconds to apply a change of one row."""
    machine = ControlStateMachine()
    rows = tuple(make_rows(endpoints, 490))
    machine.apply(0, encode_control_record(TableChange("t0", {}, rows)))
    counter = iter(range(1, 10**9))

    def run_operations() -> int:
        for _ in range(20):
            number = next(counter)
            row = MemberRow("m1", float(number), 100, f"{1:064x}", "c1")
            base = {"member/m1": machine.revision_of("member/m1")}
            machine.apply(number, encode_control_record(TableChange(f"t{number}", base, (row,))))
        return 20

    return measure_us(run_operations)


def measure_messages() -> dict[str, float]:
    """Returns, for each message, microseconds to encode and decode it, and its bytes."""
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
    return {name: measure_message(message) for name, message in messages.items()}


def measure_message(message) -> tuple[float, int]:
    """Returns microseconds to encode and decode a message, and its bytes."""

    def run_operations() -> int:
        for _ in range(5_000):
            decode_envelope(encode_envelope(Envelope("vm-1.0190a1b2c3d4e", 10**15, message)))
        return 5_000

    size = len(encode_envelope(Envelope("vm-1.0190a1b2c3d4e", 10**15, message)))
    return measure_us(run_operations), size


async def measure_bus_us() -> float:
    """Returns microseconds of processor time per message, for both ends together."""
    received = 0
    done = asyncio.Event()
    count = 20_000

    def receive(sender, message) -> None:
        nonlocal received
        received += 1
        if received == count:
            done.set()

    clock = HybridClock(time.time)
    sending_bus = PeerBus("a", clock, Metrics(), receive)
    receiving_bus = PeerBus("b", clock, Metrics(), receive)
    address = free_address()
    sending_bus.bind(free_address())
    receiving_bus.bind(address)
    sending_bus.register_address("b", address)
    task = asyncio.create_task(receiving_bus.run())
    started = time.process_time()
    for number in range(count):
        sending_bus.send("b", LatencyReport("g" * 36, "model-1", "first", 0.1))
        if number % 50 == 0:
            await asyncio.sleep(0)
    async with asyncio.timeout(30):
        await done.wait()
    cost = (time.process_time() - started) / count * US_PER_S
    task.cancel()
    sending_bus.close()
    receiving_bus.close()
    return cost


def measure_event_ring() -> tuple[float, float]:
    """Returns microseconds and bytes per event."""
    ring = EventRing("vm-1", HybridClock(time.time), 20_000)

    def run_operations() -> int:
        for number in range(20_000):
            ring.record(
                EventKind.GRANTED, f"{number:032x}", "member-1", "class-1", "e1", f"w={number}"
            )
        return 20_000

    return measure_us(run_operations), measure_bytes(lambda: make_full_ring()) / 20_000


def make_full_ring() -> EventRing:
    """Returns an event ring filled to its capacity."""
    ring = EventRing("vm-1", HybridClock(time.time), 20_000)
    for number in range(20_000):
        ring.record(EventKind.GRANTED, f"{number:032x}", "member-1", "class-1", "e1", f"w={number}")
    return ring


def make_claims_state(keys: int) -> ClaimsStateMachine:
    """Returns the state after a claim and an outcome for each key."""
    machine = ClaimsStateMachine(1e9)
    for number in range(keys):
        claim = Claim(f"{number:032x}", f"member-1/{number}", "f" * 32, "vm-1.0190a", 0.0)
        machine.apply(2 * number, encode_claim_record(claim), 0.0)
        outcome = Outcome(
            "o", claim.key, claim.id, "ran", 200, "application/json", b"x" * 200, True, 0.0
        )
        machine.apply(2 * number + 1, encode_claim_record(outcome), 0.0)
    return machine


def report_lines() -> Iterator[str]:
    """Yields the lines of the report as they are measured."""
    yield "# Slopes\n"
    yield "`make capacity`: processor microseconds and bytes, best of three, one process.\n"
    yield "| what | size | measured |\n|---|---|---|"
    for endpoints in (16, 64, 105, 256):
        cost = measure_broker_us(endpoints, 490, 0)
        yield f"| broker, a request, slots free | {endpoints} endpoints | {cost:.0f} us |"
    for waiting in (100, 400, 1600):
        cost = measure_broker_us(105, 490, waiting)
        yield f"| broker, a request, all slots in use | {waiting} waiting | {cost:.0f} us |"
    for members in (10, 100, 490):
        cost = measure_broker_us(105, members, 800)
        yield f"| broker, a request, 800 waiting | {members} members | {cost:.0f} us |"
    points = [(n, measure_table_change_us(n)) for n in (500, 3_000, 12_000)]
    for size, cost in points:
        yield f"| table, one change folded | {size} endpoints | {cost:.0f} us |"
    slope, fixed, error = fit_line(points)
    yield f"| table, fit | | {fixed:.0f} us + {slope * 1000:.1f} us / 1,000 rows, {error:.0%} off |"
    for endpoints in (3_000, 12_000):
        size = measure_bytes(lambda n=endpoints: make_table(n, 490))
        yield f"| table, memory | {endpoints} endpoints | {size / 1e6:.1f} MB |"
    yield f"| table, snapshot | 12000 endpoints | {measure_snapshot_bytes() / 1e6:.2f} MB |"
    for name, (cost, size) in measure_messages().items():
        yield f"| message, encode and decode | {name}, {size} bytes | {cost:.1f} us |"
    yield f"| message over the bus, both ends | | {asyncio.run(measure_bus_us()):.1f} us |"
    cost, size = measure_event_ring()
    yield f"| event in the ring | | {cost:.1f} us, {size:.0f} bytes |"
    for keys in (1_000, 10_000):
        size = measure_bytes(lambda n=keys: make_claims_state(n)) / keys
        cost = measure_us(lambda n=keys: len(make_claims_state(n)._states_by_key) * 2)
        yield f"| claims, one record | {keys} keys | {cost:.1f} us, {size:.0f} bytes a key |"
    resident = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    yield f"| this process, most resident | | {resident:.0f} MB |"


def measure_snapshot_bytes() -> int:
    """Returns the bytes of a snapshot record with 12,000 endpoints and 490 members."""
    machine = ControlStateMachine()
    machine.apply(0, encode_control_record(TableChange("t0", {}, tuple(make_rows(12_000, 490)))))
    return len(encode_control_record(machine.create_snapshot()))


def main() -> int:
    """Measures, prints and writes the report."""
    lines = []
    for line in report_lines():
        print(line, flush=True)
        lines.append(line)
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
