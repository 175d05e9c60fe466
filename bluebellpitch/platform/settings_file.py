"""Decodes the platform's settings file: lines of the form ``a.b=value``."""

from dataclasses import dataclass

from bluebellpitch.errors import UsageError

SETTINGS_FILE_VARIABLE = "BLUEBELLPITCH_CONFIG"


@dataclass(frozen=True, slots=True)
class VmSettings:
    """What the platform tells a VM. Addresses are ``IP:port``; times are in seconds."""

    vm_name: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    listen_address: str
    readiness_address: str
    bus_address: str
    store_address: str
    # How long a key that was taken away may still be honoured.
    key_revocation_s: float
    # How soon a new configuration has to be in force.
    config_apply_s: float
    # How long a process may go on after SIGTERM.
    grace_s: float
    # Repeats of all VMs together: a share of the requests in a window, and a fixed part.
    retry_budget_ratio: float
    retry_budget_window_s: float
    retry_budget_burst: float
    endpoint_heartbeat_s: float


def parse_settings(text: str) -> VmSettings:
    """Returns the settings; raises UsageError that names the missing or wrong field."""
    fields = dict(parse_assignments(text))

    def take(name: str, default: str | None = None) -> str:
        value = fields.get(name, default)
        if value is None:
            raise UsageError(f"the settings file lacks {name}")
        return value

    def number(name: str, default: float) -> float:
        try:
            return float(fields.get(name, default))
        except ValueError as error:
            raise UsageError(f"the settings file: {name} is not a number") from error

    ip, first_port = take("ip"), take("port_range").split(",")[0]
    prefix = "zones."
    return VmSettings(
        vm_name=take("node_name"),
        zone=take("zone"),
        region=take("region", ""),
        regions_by_zone={
            name.removeprefix(prefix): value
            for name, value in fields.items()
            if name.startswith(prefix)
        },
        listen_address=take("listen.front"),
        readiness_address=take("listen.ready"),
        bus_address=f"{ip}:{first_port}",
        store_address=take("platform.address"),
        key_revocation_s=number("bounds.revoke_ms", 5000) / 1000,
        config_apply_s=number("bounds.config_apply_ms", 3000) / 1000,
        grace_s=number("bounds.grace_s", 8),
        retry_budget_ratio=number("bounds.retry_budget_ratio", 0.2),
        retry_budget_window_s=number("bounds.budget_window_s", 10),
        retry_budget_burst=number("bounds.budget_burst", 0),
        endpoint_heartbeat_s=number("heartbeat_ms", 1000) / 1000,
    )


def parse_assignments(text: str):
    """Yields names and values; blank lines and comments are passed over."""
    for line in text.splitlines():
        name, mark, value = line.strip().partition("=")
        if mark and not name.startswith("#"):
            yield name.strip(), value.strip()
