"""Measures one entry VM: added latency, throughput, start-up time, processor time and memory."""

import asyncio
import os
import sys
import time
from pathlib import Path

from fakes.client import StreamedResponse, stream_completion
from fakes.fleet import Fleet
from fakes.tables import CLASSES, MODEL_POOL, endpoint_row, member_row, new_sheet
from measure.analysis import percentile

REPORT = Path(__file__).resolve().parent.parent / "docs" / "measurements" / "path.md"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CREDENTIAL = "office-secret"
STREAM_COUNT = 150
PAIR_COUNT = 60


def read_cpu_s(pid: int) -> float:
    """Returns the processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def start_deployment(fleet: Fleet) -> float:
    """Starts three engines and one entry VM; returns the seconds until the VM was ready."""
    fleet.start_store()
    for name in ("engine-0", "engine-1", "engine-2"):
        fleet.start_fake("engine", name, slots=80, step_s=0.02, stream_s=0.0, prefill_s=0.02)
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [member_row("office"), *CLASSES, MODEL_POOL]
    names = ("engine-0", "engine-1", "engine-2")
    rows += [endpoint_row(fleet, name, "drafter", "z", "r", 80) for name in names]
    status, output = await fleet.apply_sheet(new_sheet(*rows))
    if status:
        raise RuntimeError(output)
    started = time.monotonic()
    vm = fleet.add_vm("vm-0", "z", "r")
    await fleet.wait_ready(vm)
    took_s = time.monotonic() - started
    await fleet.wait_converged()
    return took_s


async def measure_latency_pairs(
    engine_address: str, vm_address: str
) -> tuple[list[StreamedResponse], list[StreamedResponse]]:
    """Sends like requests alternately to the engine and through the VM, one at a time."""
    direct_answers, routed_answers = [], []
    for number in range(PAIR_COUNT):
        prompt = f"[len=20] pair {number} "
        direct_answers.append(
            await stream_completion(engine_address, CREDENTIAL, prompt + "d", "explain")
        )
        routed_answers.append(
            await stream_completion(vm_address, CREDENTIAL, prompt + "r", "explain")
        )
    return direct_answers, routed_answers


async def measure_throughput(address: str, pid: int) -> tuple[float, float, float]:
    """Returns tokens per second, the VM's share of a core, and tokens per second per core."""
    prompts = [f"[len=400] stream {number}" for number in range(STREAM_COUNT)]
    tasks = [
        asyncio.create_task(stream_completion(address, CREDENTIAL, p, "draft")) for p in prompts
    ]
    await asyncio.sleep(1.5)
    cpu_s, started = read_cpu_s(pid), time.monotonic()
    await asyncio.sleep(5.0)
    cpu_s, elapsed_s = read_cpu_s(pid) - cpu_s, time.monotonic() - started
    answers = await asyncio.gather(*tasks)
    if not all(answer.complete for answer in answers):
        raise RuntimeError("a stream ended early")
    tokens_per_s = sum(
        answer.tokens / (answer.last_token_s - answer.first_token_s) for answer in answers
    )
    return tokens_per_s, cpu_s / elapsed_s, tokens_per_s / (cpu_s / elapsed_s)


async def measure() -> list[str]:
    """Runs all measurements and returns the lines of the report."""
    with Fleet(log_level="WARNING") as fleet:
        ready_s = await start_deployment(fleet)
        vm = fleet.vms_by_name["vm-0"]
        pid = vm.process.popen.pid
        idle_mb = read_resident_mb(pid)
        idle_cpu = read_cpu_s(pid)
        await asyncio.sleep(3.0)
        idle_cpu = (read_cpu_s(pid) - idle_cpu) / 3.0
        engine_address = fleet.processes_by_name["engine-0"].address
        direct_answers, routed_answers = await measure_latency_pairs(engine_address, vm.listen)
        tokens_per_s, core_share, per_core = await measure_throughput(vm.listen, pid)
        busy_mb = read_resident_mb(pid)
    first_token_s = [
        routed_answers[n].first_token_s - direct_answers[n].first_token_s for n in range(PAIR_COUNT)
    ]
    between_tokens_s = [
        routed_answers[n].token_interval_s - direct_answers[n].token_interval_s
        for n in range(PAIR_COUNT)
    ]
    return [
        "# The path through one entry VM\n",
        "`make path`: one VM, three engines, loopback; latency in pairs, one request at a time.\n",
        "| what | measured |\n|---|---|",
        f"| first token, added, median | {percentile(first_token_s, 0.5) * 1000:.2f} ms |",
        f"| first token, added, p95 | {percentile(first_token_s, 0.95) * 1000:.2f} ms |",
        f"| between tokens, added, median | {percentile(between_tokens_s, 0.5) * 1000:.3f} ms |",
        f"| {STREAM_COUNT} streams | {tokens_per_s:.0f} tokens/s at {core_share:.0%} of a core |",
        f"| tokens a second of a whole core, worked out | {per_core:.0f} |",
        f"| ready after start | {ready_s:.2f} s |",
        f"| resident, idle and after the streams | {idle_mb:.0f} MB, {busy_mb:.0f} MB |",
        f"| idle, of a core | {idle_cpu:.1%} |",
    ]


def main() -> int:
    """Measures, prints and writes the report."""
    lines = asyncio.run(measure())
    print("\n".join(lines))
    REPORT.parent.mkdir(parents=True, exist_ok=True)
    REPORT.write_text("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
