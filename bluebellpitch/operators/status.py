"""Status report of a VM, and its rendering as text for operators."""

from collections.abc import Iterator

import msgspec


class ClassStatus(msgspec.Struct, frozen=True):
    """Requests of a class at one broker."""

    name: str
    waiting: int
    running: int


class EndpointStatus(msgspec.Struct, frozen=True):
    """State of an endpoint as known to its broker."""

    name: str
    running: int
    slots: int
    slow: bool
    down: bool


class BrokerStatus(msgspec.Struct, frozen=True):
    """A pool that this VM is the broker of."""

    pool: str
    zone: str
    classes: tuple[ClassStatus, ...]
    endpoints: tuple[EndpointStatus, ...]


class UnresolvedStatus(msgspec.Struct, frozen=True):
    """A claim whose request may have run. ``made_at`` is in Unix seconds."""

    key: str
    vm: str
    made_at: float


class VmStatus(msgspec.Struct, frozen=True):
    """State of an entry VM. Times are in seconds."""

    vm: str
    zone: str
    region: str
    draining: bool
    control_offset: int
    epoch: int
    in_flight: int
    store_silence_s: float
    backlog: int
    live: tuple[str, ...]
    brokers: tuple[BrokerStatus, ...]
    unresolved: tuple[UnresolvedStatus, ...]


def render_status(statuses: list[VmStatus], unreachable: list[str]) -> Iterator[str]:
    """Yields the lines of ``bluebellpitch status``."""
    for status in sorted(statuses, key=lambda s: (s.zone, s.vm)):
        yield from render_vm(status)
    for status in statuses:
        for broker in status.brokers:
            yield from render_broker(status.vm, broker)
    unresolved_by_key = {claim.key: claim for status in statuses for claim in status.unresolved}
    for key, claim in sorted(unresolved_by_key.items()):
        yield f"UNRESOLVED key={key} vm={claim.vm} made_at={claim.made_at:.3f} may_have_run"
    for address in unreachable:
        yield f"UNREACHABLE {address}"


def render_vm(status: VmStatus) -> Iterator[str]:
    """Yields the line that describes one VM."""
    state = "draining" if status.draining else "live"
    yield (
        f"VM {status.vm} zone={status.zone} region={status.region} state={state}"
        f" epoch={status.epoch} offset={status.control_offset} in_flight={status.in_flight}"
        f" store_silence_s={status.store_silence_s:.1f} backlog={status.backlog}"
        f" sees={len(status.live)}"
    )


def render_broker(vm: str, broker: BrokerStatus) -> Iterator[str]:
    """Yields the lines that describe one broker."""
    yield f"BROKER {broker.zone}/{broker.pool} vm={vm}"
    for class_status in broker.classes:
        yield (
            f"  class {class_status.name} waiting={class_status.waiting}"
            f" running={class_status.running}"
        )
    for endpoint in broker.endpoints:
        flags = " slow" * endpoint.slow + " down" * endpoint.down
        yield f"  endpoint {endpoint.name} running={endpoint.running}/{endpoint.slots}{flags}"
