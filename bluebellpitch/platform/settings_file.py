"""Decodes the platform's settings file: lines of the form ``a.b=value``."""

from dataclasses import dataclass

from bluebellpitch.errors import UsageError

SETTINGS_VARIABLE = "BLUEBELLPITCH_CONFIG"


@dataclass(frozen=True, slots=True)
class VmSettings:
    """What the platform tells a VM. Addresses are ``IP:port``; times are in seconds."""

    vm: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    listen: str
    ready: str
    bus: str
    store: str
    # How long a key that was taken away may still be honoured.
    revoke_s: float
    # How soon a new configuration has to be in force.
    apply_s: float
    # How long a process may go on after SIGTERM.
    grace_s: float
    # Repeats of all VMs together: a share of the requests in a window, and a fixed part.
    repeat_share: float
    repeat_window_s: float
    repeat_burst: float
    endpoint_heartbeat_s: float


def parse_settings(text: str) -> VmSettings:
    """Returns the settings; raises UsageError that names the missing or wrong field."""
    fields = dict(split_lines(text))

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
        vm=take("node_name"),
        zone=take("zone"),
        region=take("region", ""),
        regions_by_zone={
            name.removeprefix(prefix): value
            for name, value in fields.items()
            if name.startswith(prefix)
        },
        listen=take("listen.front"),
        ready=take("listen.ready"),
        bus=f"{ip}:{first_port}",
        store=take("platform.address"),
        revoke_s=number("bounds.revoke_ms", 5000) / 1000,
        apply_s=number("bounds.config_apply_ms", 3000) / 1000,
        grace_s=number("bounds.grace_s", 8),
        repeat_share=number("bounds.retry_budget_ratio", 0.2),
        repeat_window_s=number("bounds.budget_window_s", 10),
        repeat_burst=number("bounds.budget_burst", 0),
        endpoint_heartbeat_s=number("heartbeat_ms", 1000) / 1000,
    )


def split_lines(text: str):
    """Yields names and values; blank lines and comments are passed over."""
    for line in text.splitlines():
        name, mark, value = line.strip().partition("=")
        if mark and not name.startswith("#"):
            yield name.strip(), value.strip()
