"""Decodes the platform's settings file: lines of the form ``a.b=value``."""

from collections.abc import Callable
from dataclasses import dataclass

from bluebellpitch.errors import UsageError

SETTINGS_FILE_VARIABLE = "BLUEBELLPITCH_CONFIG"
DEFAULT_MEMORY_MB = 300.0


@dataclass(frozen=True, slots=True)
class DutySettings:
    """The platform's API, and what is asked of the one VM that calls it. Times are in seconds."""

    api_address: str
    # Duties that the platform asks for, by its names.
    names: frozenset[str]
    # Calls that the platform takes from all VMs together.
    calls_per_s: float
    # Two holders must not alternate within this time.
    lease_s: float
    # Length of a usage window, and how long after its end its report is due.
    usage_window_s: float
    usage_due_s: float


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of a VM. Addresses have the form ``IP:port``; times are in seconds."""

    vm_name: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    listen_address: str
    readiness_address: str
    bus_address: str
    store_address: str
    # Maximum time for which a revoked key may still be accepted.
    key_revocation_s: float
    # Maximum time until a new configuration must take effect.
    config_apply_s: float
    # Maximum time for which a process may run after SIGTERM.
    grace_s: float
    # Retry budget of all VMs together: a ratio of the requests in a window, plus a constant.
    retry_budget_ratio: float
    retry_budget_window_s: float
    retry_budget_burst: float
    endpoint_heartbeat_s: float
    # How long an endpoint serves after its notice that it is draining.
    drain_s: float
    # Memory of the process, in MiB; one that takes more is ended.
    memory_mb: float = DEFAULT_MEMORY_MB
    # None where the platform asks for no duty.
    duties: DutySettings | None = None


def parse_settings(text: str) -> VmSettings:
    """Parses the settings; raises UsageError that names the missing or malformed field."""
    values_by_name = dict(parse_assignments(text))

    def get_text(name: str, default: str | None = None) -> str:
        value = values_by_name.get(name, default)
        if value is None:
            raise UsageError(f"settings file has no field {name}")
        return value

    def get_number(name: str, default: float) -> float:
        try:
            return float(values_by_name.get(name, default))
        except ValueError as error:
            raise UsageError(f"settings file: {name} is not a number") from error

    ip, first_port = get_text("ip"), get_text("port_range").split(",")[0]
    prefix = "zones."
    return VmSettings(
        vm_name=get_text("node_name"),
        zone=get_text("zone"),
        region=get_text("region", ""),
        regions_by_zone={
            name.removeprefix(prefix): value
            for name, value in values_by_name.items()
            if name.startswith(prefix)
        },
        listen_address=get_text("listen.front"),
        readiness_address=get_text("listen.ready"),
        bus_address=f"{ip}:{first_port}",
        store_address=get_text("platform.address"),
        key_revocation_s=get_number("bounds.revoke_ms", 5000) / 1000,
        config_apply_s=get_number("bounds.config_apply_ms", 3000) / 1000,
        grace_s=get_number("bounds.grace_s", 8),
        retry_budget_ratio=get_number("bounds.retry_budget_ratio", 0.2),
        retry_budget_window_s=get_number("bounds.budget_window_s", 10),
        retry_budget_burst=get_number("bounds.budget_burst", 0),
        endpoint_heartbeat_s=get_number("heartbeat_ms", 1000) / 1000,
        drain_s=get_number("bounds.drain_ms", 3000) / 1000,
        memory_mb=get_number("limits.memory_mb", DEFAULT_MEMORY_MB),
        duties=parse_duties(get_text, get_number),
    )


def parse_duties(
    get_text: Callable[[str, str], str], get_number: Callable[[str, float], float]
) -> DutySettings | None:
    """Parses what concerns the platform's API; None without an address or duties."""
    address = get_text("cloud_api.address", "")
    names = frozenset(filter(None, get_text("cloud_api.duties", "").split(",")))
    if not address or not names:
        return None

    def get_positive(name: str, default: float) -> float:
        number = get_number(name, default)
        if not 0 < number < float("inf"):
            raise UsageError(f"settings file: {name} must be above 0")
        return number

    return DutySettings(
        api_address=address,
        names=names,
        calls_per_s=get_positive("cloud_api.duty_per_s", 10),
        lease_s=get_positive("bounds.lease_ms", 3000) / 1000,
        usage_window_s=get_positive("bounds.report_window_s", 5),
        usage_due_s=get_positive("bounds.usage_late_s", 10),
    )


def parse_assignments(text: str):
    """Yields names and values; other lines and comments are skipped."""
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            yield name.strip(), value.strip()
