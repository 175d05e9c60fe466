"""Demo: starts a small federation, sends one request of each kind, and stops it gracefully."""

import asyncio
import sys
from dataclasses import dataclass

import msgspec

from bluebellpitch.http1 import fetch
from fakes.client import StreamedResponse, look_up_case, stream_completion, submit_case
from fakes.engine import expected_completion
from fakes.fleet import Fleet
from fakes.tables import CLASSES, FILING_POOL, MODEL_POOL, endpoint_row, member_row, new_sheet

MEMBERS = ("kushiro-office", "trentvale-agency")
CREDENTIALS = {name: f"{name}-secret" for name in MEMBERS}


def demo_sheet(fleet: Fleet) -> str:
    """Returns a sheet with a member each like Kushiro's and Trentvale's, and four endpoints."""
    return new_sheet(
        *(member_row(name, limit=8) for name in MEMBERS),
        *CLASSES,
        MODEL_POOL,
        FILING_POOL,
        endpoint_row(fleet, "engine-a", "drafter", "doto-1", "doto"),
        endpoint_row(fleet, "engine-b", "drafter", "doo-1", "doo"),
        endpoint_row(fleet, "filing-a", "filing", "doto-1", "doto"),
        endpoint_row(fleet, "filing-b", "filing", "doo-1", "doo"),
    )


@dataclass
class Report:
    """Prints the result of each check; ``passed`` is whether all checks passed so far."""

    passed: bool = True

    def add(self, name: str, passed: bool, detail: str) -> None:
        """Adds the result of one check."""
        self.passed &= passed
        print(f"{'ok    ' if passed else 'FAILED'} {name:<44} {detail}", flush=True)


def describe_server(headers: dict[str, str]) -> str:
    """Returns which VM and endpoint served a response, and whether it was replayed."""
    names = ("x-bluebellpitch-vm", "x-bluebellpitch-endpoint", "x-bluebellpitch-replayed")
    return " ".join(
        f"{name.removeprefix('x-bluebellpitch-')}={headers[name]}"
        for name in names
        if name in headers
    )


async def start_processes(fleet: Fleet) -> None:
    """Starts fake servers and three entry VMs in two availability zones."""
    fleet.start_store()
    for name in ("engine-a", "engine-b"):
        fleet.start_fake("engine", name, slots=8)
    for name in ("filing-a", "filing-b"):
        fleet.start_fake("service", name)
    await fleet.wait_listening(*fleet.processes_by_name.values())
    fleet.add_vm("vm-1", "doto-1", "doto")
    fleet.add_vm("vm-2", "doto-1", "doto")
    fleet.add_vm("vm-3", "doo-1", "doo")


async def check_stream(
    report: Report, address: str, credential: str, name: str, prompt: str, class_name: str
):
    """Requests a completion and checks every token of it."""
    response: StreamedResponse = await stream_completion(address, credential, prompt, class_name)
    passed = (
        response.status == 200
        and response.complete
        and response.text == expected_completion(prompt)
    )
    times = (
        f"first={response.first_token_s * 1000:.0f}ms "
        f"between={response.token_interval_s * 1000:.1f}ms"
    )
    report.add(
        name, passed, f"tokens={response.tokens} {times} {describe_server(response.headers)}"
    )


async def check_submission(report: Report, fleet: Fleet, addresses: list[str]) -> None:
    """Submits a case with one idempotency key through each address; it must run once."""
    for number, address in enumerate(addresses, 1):
        response = await submit_case(address, CREDENTIALS["kushiro-office"], "case-7", "key-7")
        passed = response is not None and response.status == 200
        detail = "no response" if response is None else f"{response.body.decode()} "
        detail += "" if response is None else describe_server(dict(response.headers))
        report.add(f"non-idempotent submission, attempt {number}", passed, detail)
    runs = 0
    for name in ("filing-a", "filing-b"):
        counts = await fetch(fleet.processes_by_name[name].address, "GET", "/counts")
        runs += msgspec.json.decode(counts.body).get("case-7", 0)
    report.add("the submission ran once", runs == 1, f"runs={runs}")


async def check_stop(report: Report, fleet: Fleet) -> None:
    """Stops all VMs gracefully while a stream runs, which must finish."""
    vm = fleet.vms_by_name["vm-1"]
    prompt = "[len=120] an explanation read aloud while the VM leaves"
    running = asyncio.create_task(
        stream_completion(vm.listen, CREDENTIALS["kushiro-office"], prompt, "explain")
    )
    await asyncio.sleep(0.3)
    for stopping_vm in fleet.vms_by_name.values():
        stopping_vm.process.send_signal(15)
    response = await running
    passed = response.complete and response.text == expected_completion(prompt)
    report.add("stream finishes while its VM stops", passed, f"tokens={response.tokens}")
    for stopping_vm in fleet.vms_by_name.values():
        status = await asyncio.to_thread(stopping_vm.process.popen.wait, 30)
        report.add(f"{stopping_vm.name} stopped gracefully", status == 0, f"exit status={status}")


async def main() -> int:
    """Runs the demo; returns its exit status."""
    report = Report()
    with Fleet() as fleet:
        await start_processes(fleet)
        status, output = await fleet.apply_sheet(demo_sheet(fleet))
        report.add("table published", status == 0, output.strip())
        await fleet.wait_ready()
        await fleet.wait_converged()
        addresses = [vm.listen for vm in fleet.vms_by_name.values()]
        kushiro, trentvale = CREDENTIALS.values()
        draft = "[len=60] draft answers from the resident's earlier filings"
        await check_stream(
            report, addresses[0], kushiro, "streamed draft (Kushiro)", draft, "draft"
        )
        rewrite = "[len=20] make this sentence friendlier"
        await check_stream(
            report, addresses[2], trentvale, "quick rewrite (Trentvale)", rewrite, "rewrite"
        )
        response = await look_up_case(addresses[1], kushiro, "case-1")
        passed = response is not None and response.status == 200
        detail = describe_server(dict(response.headers)) if response else "no response"
        report.add("idempotent look-up", passed, detail)
        await check_submission(report, fleet, [addresses[0], addresses[2]])
        await check_stop(report, fleet)
        if not report.passed:
            for process in fleet.processes_by_name.values():
                print(f"--- {process.name}\n{process.read_log()[-3000:]}")
    print("demo: all checks passed" if report.passed else "demo: some checks FAILED")
    return 0 if report.passed else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
