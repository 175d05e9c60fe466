"""Settings of an entry VM, from flags and environment variables, checked at start."""

from dataclasses import dataclass, field

from bluebellpitch.constants import HORIZON_S
from bluebellpitch.errors import ProtocolError, UsageError
from bluebellpitch.http1 import HttpLimits, parse_address


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings. Addresses are ``IP:port``; times are in seconds.

    ``bus`` is the address that other VMs reach; ``bus_bind`` is where this VM listens for them.
    """

    vm: str
    zone: str
    region: str
    listen: str
    admin: str
    bus: str
    store_address: str
    bus_bind: str
    peers: tuple[str, ...] = ()
    stall_s: float = 2.0
    service_timeout_s: float = 30.0
    horizon_s: float = HORIZON_S
    snapshot_every_s: float = 120.0
    drain_notice_s: float = 3.0
    incarnation: str = ""
    http: HttpLimits = field(default_factory=HttpLimits)


def check_settings(settings: Settings) -> Settings:
    """Returns the settings unchanged; raises UsageError that names the flag."""
    for name in ("vm", "zone", "region"):
        check_name(name, getattr(settings, name))
    for name in ("listen", "admin", "bus", "bus_bind", "store_address"):
        check_address(name, getattr(settings, name))
    for peer in settings.peers:
        check_address("peer", peer)
    for name in ("stall_s", "service_timeout_s", "horizon_s", "snapshot_every_s"):
        check_positive(name, getattr(settings, name))
    for name in ("header_bytes", "body_bytes", "receive_s", "connections"):
        check_positive(name, getattr(settings.http, name))
    return settings


def check_name(flag: str, value: str) -> None:
    """Raises UsageError unless ``value`` can stand in names and logs."""
    if not value or not all(c.isalnum() or c in "-_." for c in value):
        raise UsageError(f"--{flag}: {value!r} must be letters, digits, '-', '_' or '.'")


def check_address(flag: str, value: str) -> None:
    """Raises UsageError unless ``value`` is an address."""
    try:
        parse_address(value)
    except ProtocolError as error:
        raise UsageError(f"--{flag.replace('_', '-')}: {error}") from error


def check_positive(flag: str, value: float) -> None:
    """Raises UsageError unless ``value`` is above zero."""
    if value <= 0:
        raise UsageError(f"--{flag.replace('_', '-')}: {value} must be above zero")
