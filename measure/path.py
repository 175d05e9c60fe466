"""Measures the path of one entry VM: latency added, tokens a second, start-up time and memory."""

import asyncio
import os
import sys
import time
from pathlib import Path

from fakes.caller import Answer, stream
from fakes.federations import CLASSES, MODEL, endpoint, member, sheet
from fakes.fleet import Fleet
from measure.analysis import percentile

REPORT = Path(__file__).resolve().parent.parent / "docs" / "measurements" / "path.md"
TICKS = os.sysconf("SC_CLK_TCK")
TOKEN = "office-secret"
STREAMS = 150
PAIRS = 60


def cpu_s(pid: int) -> float:
    """Returns the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def start(fleet: Fleet) -> float:
    """Starts two engines and one entry VM; returns how long the VM took to be ready."""
    fleet.start_platform()
    for name in ("engine-0", "engine-1", "engine-2"):
        fleet.start_fake("engine", name, slots=80, step_s=0.02, stream_s=0.0, prefill_s=0.02)
    await fleet.wait_listening(*fleet.processes_by_name.values())
    rows = [member("office"), *CLASSES, MODEL]
    names = ("engine-0", "engine-1", "engine-2")
    rows += [endpoint(fleet, name, "drafter", "z", "r", 80) for name in names]
    status, output = await fleet.apply_sheet(sheet(*rows))
    if status:
        raise RuntimeError(output)
    started = time.monotonic()
    vm = fleet.add_vm("vm-0", "z", "r")
    await fleet.wait_ready(vm)
    took_s = time.monotonic() - started
    await fleet.wait_settled()
    return took_s


async def paired_latency(direct: str, routed: str) -> tuple[list[Answer], list[Answer]]:
    """Sends the same requests in turn to the engine and through the VM, one at a time."""
    near, far = [], []
    for number in range(PAIRS):
        prompt = f"[len=20] pair {number} "
        near.append(await stream(direct, TOKEN, prompt + "d", "explain"))
        far.append(await stream(routed, TOKEN, prompt + "r", "explain"))
    return near, far


async def throughput(address: str, pid: int) -> tuple[float, float, float]:
    """Returns tokens a second, the VM's share of a core, and tokens a second of a whole core."""
    prompts = [f"[len=400] stream {number}" for number in range(STREAMS)]
    tasks = [asyncio.create_task(stream(address, TOKEN, p, "draft")) for p in prompts]
    await asyncio.sleep(1.5)
    used, started = cpu_s(pid), time.monotonic()
    await asyncio.sleep(5.0)
    used, passed = cpu_s(pid) - used, time.monotonic() - started
    answers = await asyncio.gather(*tasks)
    if not all(answer.whole for answer in answers):
        raise RuntimeError("a stream was cut")
    rate = sum(answer.tokens / (answer.last_s - answer.first_s) for answer in answers)
    return rate, used / passed, rate / (used / passed)


async def measure() -> list[str]:
    """Runs all, and returns the lines of the report."""
    with Fleet(log_level="WARNING") as fleet:
        ready_s = await start(fleet)
        vm = fleet.vms_by_name["vm-0"]
        pid = vm.process.popen.pid
        idle_mb = resident_mb(pid)
        idle = cpu_s(pid)
        await asyncio.sleep(3.0)
        idle = (cpu_s(pid) - idle) / 3.0
        engine = fleet.processes_by_name["engine-0"].address
        near, far = await paired_latency(engine, vm.listen)
        rate, share, per_core = await throughput(vm.listen, pid)
        busy_mb = resident_mb(pid)
    first = [far[n].first_s - near[n].first_s for n in range(PAIRS)]
    between = [far[n].between_s - near[n].between_s for n in range(PAIRS)]
    return [
        "# The path through one entry VM\n",
        "`make path`: one VM, three engines, loopback; latency in pairs, one request at a time.\n",
        "| what | measured |\n|---|---|",
        f"| first token, added, median | {percentile(first, 0.5) * 1000:.2f} ms |",
        f"| first token, added, p95 | {percentile(first, 0.95) * 1000:.2f} ms |",
        f"| between tokens, added, median | {percentile(between, 0.5) * 1000:.3f} ms |",
        f"| {STREAMS} streams | {rate:.0f} tokens/s at {share:.0%} of a core |",
        f"| tokens a second of a whole core, worked out | {per_core:.0f} |",
        f"| ready after start | {ready_s:.2f} s |",
        f"| resident, idle and after the streams | {idle_mb:.0f} MB, {busy_mb:.0f} MB |",
        f"| idle, of a core | {idle:.1%} |",
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
