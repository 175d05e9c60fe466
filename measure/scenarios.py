"""Measurement scenarios: each starts a deployment, runs workloads and yields measurements."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from statistics import median

from fakes.client import stream_completion
from fakes.fleet import is_ready, wait_until
from measure import deployment, workloads
from measure.analysis import (
    Measurement,
    attainment,
    count_priority_inversions,
    first_token_s,
    of_class,
    percentile,
    tokens_in_window,
)
from measure.deployment import CLASSES, Deployment, temporary_fleet
from measure.load_generator import RequestResult, run_workload

TIERS = {row.name: row.tier for row in CLASSES}
TIME_SCALE = 2.0
WARM_UP_S = 2.0
TRENTVALE_S = 10.0
DRAIN_TIMEOUT_S = 50.0
FAULT_RUN_S = 12.0
BASELINE_MODES = ("round-robin", "least-outstanding", "two-choices", "strict")


def bounded(
    workload: str, mode: str, name: str, value: float, bound: float, unit="", at_least=True
):
    """Returns a measurement with a lower bound, or an upper one without ``at_least``."""
    is_met = value >= bound if at_least else value <= bound
    comparison = "≥" if at_least else "≤"
    return Measurement(
        workload, mode, name, f"{value:.3f}{unit}", f"{comparison} {bound:.3f}{unit}", is_met
    )


def unbounded(workload: str, mode: str, name: str, value: float, unit: str = "") -> Measurement:
    """Returns a measurement without a bound."""
    return Measurement(workload, mode, name, f"{value:.3f}{unit}")


async def kushiro(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """Kushiro's load peak: attainment, goodput, shedding and starvation."""
    peak_s = 5.0 / TIME_SCALE
    workload = workloads.kushiro_peaks(TIME_SCALE, 2 if mode == "ours" else 1)
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.KUSHIRO_TOPOLOGY, mode, {})
        runs = [await run_workload(running, workload, seed, 25.0) for seed in seeds]
        tokens_per_s = running.topology.tokens_per_s
    for measurement in kushiro_measurements(mode, runs, peak_s, tokens_per_s):
        yield measurement


def kushiro_measurements(
    mode: str, runs: list[list[RequestResult]], peak_s: float, tokens_per_s: float
) -> Iterator[Measurement]:
    """Yields the measurements of the load peak, medians over seeds."""
    name, is_own_policy = "kushiro-crest", mode == "ours"
    attained = {
        row.name: median(attainment(of_class(results, row.name)) for results in runs)
        for row in workloads.KUSHIRO_CLASSES
    }
    if is_own_policy:
        yield bounded(name, mode, "explain in time", attained["explain"], 0.99)
        is_ordered = attained["draft"] >= attained["summary"]
        text = f"{attained['draft']:.3f} / {attained['summary']:.3f}"
        yield Measurement(
            name, mode, "draft / summary in time", text, "order of weights", is_ordered
        )
    else:
        text = " / ".join(f"{value:.3f}" for value in attained.values())
        yield Measurement(name, mode, "explain / draft / summary in time", text)
    window = (peak_s * 0.1, peak_s)
    goodput = median(
        tokens_in_window((r for r in results if r.meets_targets()), *window)
        / (tokens_per_s * (window[1] - window[0]))
        for results in runs
    )
    yield (bounded if is_own_policy else unbounded)(
        name, mode, "goodput of capacity", goodput, *([0.95] * is_own_policy)
    )
    throughput = median(
        tokens_in_window(results, *window) / (tokens_per_s * (window[1] - window[0]))
        for results in runs
    )
    yield unbounded(name, mode, "tokens of capacity", throughput)
    if is_own_policy:
        inversions = sum(count_priority_inversions(results, TIERS) for results in runs)
        yield bounded(name, mode, "higher shed while lower admitted", inversions, 0, at_least=False)
        yield unbounded(
            name, mode, "summaries finished in the crest", fewest_summaries(runs, peak_s)
        )
        period_s = 20.0 / TIME_SCALE
        yield bounded(
            name, mode, "summaries finished in each wave", fewest_summaries(runs, period_s), 1
        )


def fewest_summaries(runs: list[list[RequestResult]], before_s: float) -> int:
    """Returns the smallest number of summaries that any run finished before a time."""
    counts = (
        sum(r.is_correct and r.finished_s < before_s for r in of_class(results, "summary"))
        for results in runs
    )
    return min(counts)


async def trentvale_alone(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """Rewrites of the Trentvale workload without other classes, as a reference for latency."""
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        alone = []
        for seed in seeds:
            alone += await run_workload(running, workloads.trentvale(TRENTVALE_S, True), seed, 5.0)
    yield unbounded(
        "trentvale-alone", mode, "rewrites p99 first", first_token_s(alone, 0.99) * 1000, " ms"
    )
    yield unbounded(
        "trentvale-alone", mode, "rewrites p95 first", first_token_s(alone, 0.95) * 1000, " ms"
    )


async def trentvale(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """Head-of-line blocking: dossiers and stragglers saturate every endpoint."""
    name, is_own_policy = "trentvale-hol", mode == "ours"
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        runs, token_rates = [], []
        for seed in seeds:
            drains = is_own_policy and not runs
            rate_task = asyncio.create_task(measure_token_rate(running, WARM_UP_S, TRENTVALE_S))
            workload = workloads.trentvale(TRENTVALE_S)
            runs.append(
                await run_workload(running, workload, seed, DRAIN_TIMEOUT_S if drains else 3.0)
            )
            token_rates.append(await rate_task)
            if drains:
                stats = await running.read_stats()
        tokens_per_s = running.topology.tokens_per_s
    all_results = [result for results in runs for result in results]
    rewrites = of_class(all_results, "rewrite")
    yield unbounded(name, mode, "rewrites p99 first", first_token_s(rewrites, 0.99) * 1000, " ms")
    yield unbounded(name, mode, "rewrites p95 first", first_token_s(rewrites, 0.95) * 1000, " ms")
    yield unbounded(name, mode, "letters in time", attainment(of_class(all_results, "letter")))
    if is_own_policy:
        for measurement in dossier_measurements(mode, runs[0], median(token_rates), tokens_per_s):
            yield measurement
        wasted = stats["made"] - sum(r.arrival.tokens for r in runs[0] if r.is_correct)
        yield bounded("all", mode, "wasted tokens", wasted / stats["made"], 0.02, at_least=False)


def dossier_measurements(
    mode: str, results, token_rate: float, tokens_per_s: float
) -> Iterator[Measurement]:
    """Yields whether dossiers finish and how much of the remaining capacity they use."""
    dossiers = of_class(results, "dossier")
    finished_share = sum(r.is_correct for r in dossiers) / len(dossiers)
    yield bounded("trentvale-hol", mode, "dossiers finished", finished_share, 1.0)
    higher_rate = (
        workloads.REWRITE.capacity_share + workloads.LETTER.capacity_share
    ) * tokens_per_s
    used_share = (token_rate - higher_rate) / (tokens_per_s - higher_rate)
    yield bounded("trentvale-hol", mode, "dossier tokens of what is left", used_share, 0.90)


async def measure_token_rate(running: Deployment, start_s: float, end_s: float) -> float:
    """Returns the engines' tokens per second between two times, in seconds from now."""
    await asyncio.sleep(start_s)
    before = (await running.read_stats())["made"]
    await asyncio.sleep(end_s - start_s)
    after = (await running.read_stats())["made"]
    return (after - before) / (end_s - start_s)


async def slow_engine(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """One of six engines becomes ten times slower during the run; its load reports lag by 5 s."""
    name, is_own_policy = "slow-engine", mode == "ours"
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        normal_results, slow_results = [], []
        for seed in seeds:
            normal_results += await run_workload(running, workloads.normal(FAULT_RUN_S), seed, 3.0)
        for seed in seeds:
            fault = asyncio.create_task(slow_engine_after(running, FAULT_RUN_S / 4))
            slow_results += await run_workload(running, workloads.normal(FAULT_RUN_S), seed, 3.0)
            await fault
            await deployment.set_slowdown(running, running.engine_names()[2], 1.0)
    latencies_s = [
        first_token_s(of_class(results, "rewrite"), 0.99)
        for results in (slow_results, normal_results)
    ]
    ratio = latencies_s[0] / latencies_s[1]
    value = f"{latencies_s[0] * 1000:.0f} ms = {ratio:.2f} × {latencies_s[1] * 1000:.0f} ms"
    yield Measurement(
        name,
        mode,
        "rewrites p99 first",
        value,
        "≤ 1.5 ×" * is_own_policy,
        ratio <= 1.5 if is_own_policy else None,
    )
    yield unbounded(name, mode, "letters in time", attainment(of_class(slow_results, "letter")))


async def slow_engine_after(running: Deployment, delay_s: float) -> None:
    """Slows one engine down after a delay."""
    await asyncio.sleep(delay_s)
    await deployment.set_slowdown(running, running.engine_names()[2], 10.0)


async def crash(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """One engine crashes and restarts."""
    name = "engine-crash"
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        runs = []
        for seed in seeds:
            fault = asyncio.create_task(crash_engine_after(running, FAULT_RUN_S / 4))
            runs.append(await run_workload(running, workloads.normal(FAULT_RUN_S), seed, 30.0))
            await fault
    lost = sum(not r.is_correct for run in runs for r in run)
    yield bounded(name, mode, "requests lost", lost, 0, at_least=False)
    max_recovery_s = max(recovery_time_s(run, FAULT_RUN_S / 4) for run in runs)
    yield bounded(name, mode, "attainment back after", max_recovery_s, 5.0, " s", at_least=False)


async def crash_engine_after(running: Deployment, delay_s: float) -> None:
    """Kills an engine after a delay and restarts it a second later."""
    await asyncio.sleep(delay_s)
    victim = running.engine_names()[0]
    running.fleet.processes_by_name[victim].kill()
    await asyncio.sleep(1.0)
    deployment.start_engine(running.fleet, victim)
    await deployment.wait_for_engine(running, victim)


def recovery_time_s(results: list[RequestResult], fault_s: float) -> float:
    """Returns how long after a fault the last request that missed its targets was sent."""
    sent_times = [r.sent_s for r in results if r.sent_s >= fault_s and not r.meets_targets()]
    return max(sent_times, default=fault_s) - fault_s


async def zone_cut(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """All VMs of a zone are paused for two seconds."""
    name = "zone-frozen"
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        runs = []
        for seed in seeds:
            fault = asyncio.create_task(pause_zone_after(running, FAULT_RUN_S / 4, 2.0))
            runs.append(await run_workload(running, workloads.normal(FAULT_RUN_S), seed, 30.0))
            await fault
    lost = sum(not r.is_correct for run in runs for r in run)
    yield bounded(name, mode, "requests lost", lost, 0, at_least=False)
    max_recovery_s = max(recovery_time_s(run, FAULT_RUN_S / 4 + 2.0) for run in runs)
    yield bounded(name, mode, "attainment back after", max_recovery_s, 5.0, " s", at_least=False)


async def pause_zone_after(running: Deployment, delay_s: float, duration_s: float) -> None:
    """Pauses the VMs of the last zone after a delay, then resumes them."""
    await asyncio.sleep(delay_s)
    zone = running.topology.zones[-1]
    vms = [vm for vm in running.fleet.vms_by_name.values() if vm.zone == zone]
    for vm in vms:
        vm.process.pause()
    await asyncio.sleep(duration_s)
    for vm in vms:
        vm.process.resume()
        await wait_until(lambda v=vm: is_ready(v.admin), f"{vm.name} is ready")


async def burst(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """One member sends ten times its limit, which must not affect the other members."""
    name, limit, member = "member-burst", 8, "member-9"
    workload = workloads.normal(8.0, 0.5)
    with temporary_fleet() as fleet:
        running = await deployment.start(
            fleet, deployment.TRENTVALE_TOPOLOGY, mode, {member: limit}
        )
        quiet = await run_workload(running, workload, seeds[0], 30.0)
        usage_task = asyncio.create_task(sample_usage(running, member, 8.0))
        flood_task = asyncio.create_task(flood_requests(running, member, limit * 10, 8.0))
        noisy = await run_workload(running, workload, seeds[0], 30.0)
        usage = await usage_task
        await flood_task
    loss = attainment(of_other_members(quiet, member)) - attainment(of_other_members(noisy, member))
    yield bounded(name, mode, "others' attainment lost", loss, 0.01, at_least=False)
    yield bounded(name, mode, "most in use", max(usage), limit, at_least=False)
    steady = usage[len(usage) // 4 :]
    yield bounded(name, mode, "mean use of the limit", sum(steady) / len(steady) / limit, 0.90)


def of_other_members(results: list[RequestResult], member: str) -> list[RequestResult]:
    """Returns the results of the other members."""
    return [r for r in results if r.arrival.member != member]


async def flood_requests(running: Deployment, member: str, count: int, duration_s: float) -> None:
    """Keeps ``count`` requests of a member open at two VMs of one zone."""
    ends_at = asyncio.get_running_loop().time() + duration_s

    async def send_repeatedly(number: int) -> None:
        address = running.vm_addresses[number % 2]
        while asyncio.get_running_loop().time() < ends_at:
            prompt = f"flood {number} [len=60]"
            await stream_completion(address, f"{member}-secret", prompt, "letter")

    await asyncio.gather(*(send_repeatedly(number) for number in range(count)))


async def sample_usage(running: Deployment, member: str, duration_s: float) -> list[int]:
    """Returns samples, ten per second, of how many flood requests the engines hold."""
    samples = []
    ends_at = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < ends_at:
        samples.append(await running.count_requests_containing("flood"))
        await asyncio.sleep(0.1)
    return samples


async def normal(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Measurement]:
    """70% of capacity: first token within 0.67 s and 44 ms between tokens."""
    name = "normal-70%"
    with temporary_fleet() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE_TOPOLOGY, mode, {})
        results = [
            r for s in seeds for r in await run_workload(running, workloads.normal(8.0), s, 30.0)
        ]
        region_bytes = await running.sum_metric("region_bytes_total")
        stats = await running.read_stats()
    met = sum(
        r.is_correct and r.answer.first_token_s <= 0.67 and r.answer.token_interval_s <= 0.044
        for r in results
    )
    yield bounded(name, mode, "0.67 s and 44 ms", met / len(results), 0.95)
    yield unbounded(
        name, mode, "p95 first", percentile((r.answer.first_token_s for r in results), 0.95), " s"
    )
    yield unbounded(
        name, mode, "bytes between regions a token", region_bytes / max(1, stats["made"])
    )
