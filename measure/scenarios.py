"""The runs: each starts a deployment, sends loads, and yields figures."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from statistics import median

from fakes.caller import stream
from fakes.fleet import is_ready, wait_until
from measure import deployment, workloads
from measure.analysis import (
    Figure,
    attainment,
    first_token,
    of_class,
    percentile,
    shed_before_lower,
    tokens_between,
)
from measure.deployment import CLASSES, Deployment, fleet_of_processes
from measure.load_generator import Result, drive

TIERS = {row.name: row.tier for row in CLASSES}
SCALE = 2.0
WARM_S = 2.0
TRENTVALE_S = 10.0
DRAIN_S = 50.0
FAULT_S = 12.0
BASELINES = ("round-robin", "least-outstanding", "two-choices", "strict")


def judge(load: str, mode: str, name: str, value: float, bound: float, unit="", at_least=True):
    """Returns a figure set against its bound."""
    met = value >= bound if at_least else value <= bound
    sign = "≥" if at_least else "≤"
    return Figure(load, mode, name, f"{value:.3f}{unit}", f"{sign} {bound:.3f}{unit}", met)


def tell(load: str, mode: str, name: str, value: float, unit: str = "") -> Figure:
    """Returns a figure without a bound."""
    return Figure(load, mode, name, f"{value:.3f}{unit}")


async def kushiro(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """The crest: attainment, goodput, shedding and starvation."""
    crest_s = 5.0 / SCALE
    load = workloads.kushiro_crest(SCALE, 2 if mode == "ours" else 1)
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.KUSHIRO, mode, {})
        runs = [await drive(running, load, seed, 25.0) for seed in seeds]
        capacity = running.shape.capacity
    for figure in kushiro_figures(mode, runs, crest_s, capacity):
        yield figure


def kushiro_figures(
    mode: str, runs: list[list[Result]], crest_s: float, capacity: float
) -> Iterator[Figure]:
    """Yields the figures of the crest, medians over seeds."""
    name, ours = "kushiro-crest", mode == "ours"
    attained = {
        row.name: median(attainment(of_class(results, row.name)) for results in runs)
        for row in workloads.KUSHIRO
    }
    if ours:
        yield judge(name, mode, "explain in time", attained["explain"], 0.99)
        ordered = attained["draft"] >= attained["summary"]
        text = f"{attained['draft']:.3f} / {attained['summary']:.3f}"
        yield Figure(name, mode, "draft / summary in time", text, "order of weights", ordered)
    else:
        text = " / ".join(f"{value:.3f}" for value in attained.values())
        yield Figure(name, mode, "explain / draft / summary in time", text)
    window = (crest_s * 0.1, crest_s)
    good = median(
        tokens_between((r for r in results if r.in_time()), *window)
        / (capacity * (window[1] - window[0]))
        for results in runs
    )
    yield (judge if ours else tell)(name, mode, "goodput of capacity", good, *([0.95] * ours))
    made = median(
        tokens_between(results, *window) / (capacity * (window[1] - window[0])) for results in runs
    )
    yield tell(name, mode, "tokens of capacity", made)
    if ours:
        shed = sum(shed_before_lower(results, TIERS) for results in runs)
        yield judge(name, mode, "higher shed while lower admitted", shed, 0, at_least=False)
        yield tell(name, mode, "summaries finished in the crest", finished(runs, crest_s))
        wave_s = 20.0 / SCALE
        yield judge(name, mode, "summaries finished in each wave", finished(runs, wave_s), 1)


def finished(runs: list[list[Result]], before_s: float) -> int:
    """Returns the fewest summaries that a run's first wave finished by then."""
    counts = (
        sum(r.right and r.ended_s < before_s for r in of_class(results, "summary"))
        for results in runs
    )
    return min(counts)


async def trentvale_alone(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """The rewrites of the Trentvale mix with nothing else: what the others are set against."""
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        alone = []
        for seed in seeds:
            alone += await drive(running, workloads.trentvale(TRENTVALE_S, True), seed, 5.0)
    yield tell(
        "trentvale-alone", mode, "rewrites p99 first", first_token(alone, 0.99) * 1000, " ms"
    )
    yield tell(
        "trentvale-alone", mode, "rewrites p95 first", first_token(alone, 0.95) * 1000, " ms"
    )


async def trentvale(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """Head-of-line blocking: dossiers and stragglers saturate every endpoint."""
    name, ours = "trentvale-hol", mode == "ours"
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        runs, made = [], []
        for seed in seeds:
            whole = ours and not runs
            sampler = asyncio.create_task(sample(running, WARM_S, TRENTVALE_S))
            load = workloads.trentvale(TRENTVALE_S)
            runs.append(await drive(running, load, seed, DRAIN_S if whole else 3.0))
            made.append(await sampler)
            if whole:
                stats = await running.read_stats()
        capacity = running.shape.capacity
    mixed = [result for results in runs for result in results]
    rewrites = of_class(mixed, "rewrite")
    yield tell(name, mode, "rewrites p99 first", first_token(rewrites, 0.99) * 1000, " ms")
    yield tell(name, mode, "rewrites p95 first", first_token(rewrites, 0.95) * 1000, " ms")
    yield tell(name, mode, "letters in time", attainment(of_class(mixed, "letter")))
    if ours:
        for figure in dossier_figures(mode, runs[0], median(made), capacity):
            yield figure
        wasted = stats["made"] - sum(r.arrival.tokens for r in runs[0] if r.right)
        yield judge("all", mode, "wasted tokens", wasted / stats["made"], 0.02, at_least=False)


def dossier_figures(mode: str, mixed, made: float, capacity: float) -> Iterator[Figure]:
    """Dossiers finish, and use what the higher tiers leave."""
    dossiers = of_class(mixed, "dossier")
    finished = sum(r.right for r in dossiers) / len(dossiers)
    yield judge("trentvale-hol", mode, "dossiers finished", finished, 1.0)
    higher = (workloads.REWRITE.share + workloads.LETTER.share) * capacity
    used = (made - higher) / (capacity - higher)
    yield judge("trentvale-hol", mode, "dossier tokens of what is left", used, 0.90)


async def sample(running: Deployment, begin_s: float, end_s: float) -> float:
    """Returns tokens a second that the engines made between two times from now."""
    await asyncio.sleep(begin_s)
    before = (await running.read_stats())["made"]
    await asyncio.sleep(end_s - begin_s)
    after = (await running.read_stats())["made"]
    return (after - before) / (end_s - begin_s)


async def slow_engine(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """One of six engines ten times slower from the middle on, its report 5 s late."""
    name, ours = "slow-engine", mode == "ours"
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        sound, slowed = [], []
        for seed in seeds:
            sound += await drive(running, workloads.normal(FAULT_S), seed, 3.0)
        for seed in seeds:
            fault = asyncio.create_task(slow_later(running, FAULT_S / 4))
            slowed += await drive(running, workloads.normal(FAULT_S), seed, 3.0)
            await fault
            await deployment.set_slow(running, running.engines()[2], 1.0)
    pair = [first_token(of_class(x, "rewrite"), 0.99) for x in (slowed, sound)]
    ratio = pair[0] / pair[1]
    value = f"{pair[0] * 1000:.0f} ms = {ratio:.2f} × {pair[1] * 1000:.0f} ms"
    yield Figure(
        name, mode, "rewrites p99 first", value, "≤ 1.5 ×" * ours, ratio <= 1.5 if ours else None
    )
    yield tell(name, mode, "letters in time", attainment(of_class(slowed, "letter")))


async def slow_later(running: Deployment, delay_s: float) -> None:
    """Slows one engine down after a while."""
    await asyncio.sleep(delay_s)
    await deployment.set_slow(running, running.engines()[2], 10.0)


async def crash(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """One engine crashes and comes back."""
    name = "engine-crash"
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        results = []
        for seed in seeds:
            fault = asyncio.create_task(crash_later(running, FAULT_S / 4))
            results.append(await drive(running, workloads.normal(FAULT_S), seed, 30.0))
            await fault
    lost = sum(not r.right for run in results for r in run)
    yield judge(name, mode, "requests lost", lost, 0, at_least=False)
    back = max(recovery_s(run, FAULT_S / 4) for run in results)
    yield judge(name, mode, "attainment back after", back, 5.0, " s", at_least=False)


async def crash_later(running: Deployment, delay_s: float) -> None:
    """Ends an engine, and starts it again a second later."""
    await asyncio.sleep(delay_s)
    victim = running.engines()[0]
    running.fleet.processes_by_name[victim].kill()
    await asyncio.sleep(1.0)
    deployment.start_engine(running.fleet, victim)
    await deployment.wait_engine(running, victim)


def recovery_s(results: list[Result], fault_s: float) -> float:
    """Returns how long after a fault the last request was sent that missed its target."""
    missed = [r.sent_s for r in results if r.sent_s >= fault_s and not r.in_time()]
    return max(missed, default=fault_s) - fault_s


async def zone_cut(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """All VMs of a zone are frozen for two seconds, and go on."""
    name = "zone-frozen"
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        results = []
        for seed in seeds:
            fault = asyncio.create_task(freeze_later(running, FAULT_S / 4, 2.0))
            results.append(await drive(running, workloads.normal(FAULT_S), seed, 30.0))
            await fault
    lost = sum(not r.right for run in results for r in run)
    yield judge(name, mode, "requests lost", lost, 0, at_least=False)
    back = max(recovery_s(run, FAULT_S / 4 + 2.0) for run in results)
    yield judge(name, mode, "attainment back after", back, 5.0, " s", at_least=False)


async def freeze_later(running: Deployment, delay_s: float, for_s: float) -> None:
    """Freezes the last zone's VMs for a while."""
    await asyncio.sleep(delay_s)
    zone = running.shape.zones[-1]
    vms = [vm for vm in running.fleet.vms_by_name.values() if vm.zone == zone]
    for vm in vms:
        vm.process.pause()
    await asyncio.sleep(for_s)
    for vm in vms:
        vm.process.resume()
        await wait_until(lambda v=vm: is_ready(v.admin), f"{vm.name} is ready")


async def burst(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """One member bursts to ten times its limit; the others must not notice."""
    name, limit, member = "member-burst", 8, "member-9"
    quiet_load = workloads.normal(8.0, 0.5)
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {member: limit})
        quiet = await drive(running, quiet_load, seeds[0], 30.0)
        watch = asyncio.create_task(watch_use(running, member, 8.0))
        flood = asyncio.create_task(flood_with(running, member, limit * 10, 8.0))
        noisy = await drive(running, quiet_load, seeds[0], 30.0)
        used = await watch
        await flood
    change = attainment(others(quiet, member)) - attainment(others(noisy, member))
    yield judge(name, mode, "others' attainment lost", change, 0.01, at_least=False)
    yield judge(name, mode, "most in use", max(used), limit, at_least=False)
    steady = used[len(used) // 4 :]
    yield judge(name, mode, "mean use of the limit", sum(steady) / len(steady) / limit, 0.90)


def others(results: list[Result], member: str) -> list[Result]:
    """Returns the results of the other members."""
    return [r for r in results if r.arrival.member != member]


async def flood_with(running: Deployment, member: str, count: int, for_s: float) -> None:
    """Keeps so many requests of a member open at two VMs of one zone."""
    stop = asyncio.get_running_loop().time() + for_s

    async def one(number: int) -> None:
        address = running.addresses[number % 2]
        while asyncio.get_running_loop().time() < stop:
            prompt = f"flood {number} [len=60]"
            await stream(address, f"{member}-secret", prompt, "letter")

    await asyncio.gather(*(one(number) for number in range(count)))


async def watch_use(running: Deployment, member: str, for_s: float) -> list[int]:
    """Returns what the engines ran of a member's flood, many times a second."""
    samples = []
    stop = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < stop:
        samples.append(await running.count_prompts("flood"))
        await asyncio.sleep(0.1)
    return samples


async def normal(mode: str, seeds: tuple[int, ...]) -> AsyncIterator[Figure]:
    """70% of capacity: the letter's 0.67 s and 44 ms."""
    name = "normal-70%"
    with fleet_of_processes() as fleet:
        running = await deployment.start(fleet, deployment.TRENTVALE, mode, {})
        results = [r for s in seeds for r in await drive(running, workloads.normal(8.0), s, 30.0)]
        crossed = await running.read_metric("region_bytes_total")
        stats = await running.read_stats()
    met = sum(r.right and r.answer.first_s <= 0.67 and r.answer.between_s <= 0.044 for r in results)
    yield judge(name, mode, "0.67 s and 44 ms", met / len(results), 0.95)
    yield tell(name, mode, "p95 first", percentile((r.answer.first_s for r in results), 0.95), " s")
    yield tell(name, mode, "bytes between regions a token", crossed / max(1, stats["made"]))
