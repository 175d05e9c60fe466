"""Which routed requests count as usage, each once, and the way of the counts to the platform."""

import time
from dataclasses import replace

from fakes.duty_api import FakeDutyApi
from fakes.prepared_deployment import MEMBER, build_route, wait_until
from tests.prepared_helpers import in_deployment, start_deployment


def record_runs(deployment) -> list[str]:
    """Returns a list to which the member of each counted request is added."""
    vm, members = deployment.vms[0], []

    def record(member: str, began_at: float) -> None:
        assert time.monotonic() - 5 < began_at <= time.monotonic()
        members.append(member)

    vm.context = replace(vm.context, record_run=record)
    return members


@in_deployment
async def test_answered_requests_count_and_refused_ones_do_not(deployment):
    (app,), client = await start_deployment(deployment, "app")
    members = record_runs(deployment)
    await client.call("GET", "/look/7", "r1")
    assert members == [MEMBER]
    app.mode = "refuse"
    await client.call("POST", "/file/7", "r2", b"case")
    assert members == [MEMBER]


@in_deployment
async def test_a_stream_that_is_resumed_counts_once(deployment):
    engines, client = await start_deployment(deployment, "engines", "engines")
    members = record_runs(deployment)
    engines[0].mode = "cut"
    for number in range(4):
        await client.stream("/draft/7", f"r{number}")
    assert len(engines[0].ran) + len(engines[1].ran) > 4
    assert members == [MEMBER] * 4


@in_deployment
async def test_requests_without_a_member_do_not_count(deployment):
    deployment.configure(2, routes=[build_route("look", "safe", "app", public=True)])
    _, client = await start_deployment(deployment, "app")
    members = record_runs(deployment)
    assert (await client.call("GET", "/look/7", "r1")).status == 200
    assert members == []


@in_deployment
async def test_counts_of_all_vms_reach_the_platform(deployment):
    api = FakeDutyApi()
    port = await api.start("127.0.0.1", 0)
    settings = f"""cloud_api.address=127.0.0.1:{port}
cloud_api.duties=metering
bounds.report_window_s=1
bounds.usage_late_s=10
"""
    await deployment.add_endpoint("i-0", "app")
    vms = [await deployment.add_vm(more_settings=settings) for _ in range(2)]
    await wait_until(lambda: all(vm.directory.entries_by_id for vm in vms))
    for number, vm in enumerate(vms):
        await deployment.add_client(vm).call("GET", "/look/7", f"r{number}")

    def reported() -> int:
        return sum(call.body["counts"].get(MEMBER, 0) for call in api.calls)

    try:
        await wait_until(lambda: reported() >= 2, timeout_s=15.0)
        assert reported() == 2
        assert len({(call.holder, call.token) for call in api.calls}) == 1
        windows = [call.body["window_index"] for call in api.calls]
        assert windows == list(range(windows[0], windows[0] + len(windows)))
    finally:
        api.http.stop_listening()
