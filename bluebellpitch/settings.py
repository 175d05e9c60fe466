"""Settings of an entry VM run by ``serve``, validated at startup."""

from dataclasses import dataclass, field

from bluebellpitch.constants import HORIZON_S
from bluebellpitch.errors import ProtocolError, UsageError
from bluebellpitch.http1 import HttpLimits, parse_address


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings from options and environment variables. Addresses are ``IP:port``, times seconds.

    Other VMs connect to ``bus``; this VM listens for them on ``bus_bind``.
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
    grace_s: float = 30.0
    incarnation: str = ""
    memory_mb: float = 300.0
    http: HttpLimits = field(default_factory=HttpLimits)


def check_settings(settings: Settings) -> Settings:
    """Returns the settings unchanged; raises UsageError naming the option that is invalid."""
    for name in ("vm", "zone", "region"):
        check_identifier(name, getattr(settings, name))
    for name in ("listen", "admin", "bus", "bus_bind", "store_address"):
        check_address(name, getattr(settings, name))
    for peer in settings.peers:
        check_address("peer", peer)
    for name in (
        *("stall_s", "service_timeout_s", "horizon_s", "snapshot_every_s", "grace_s"),
        "memory_mb",
    ):
        check_positive(name, getattr(settings, name))
    if not 0 <= settings.drain_notice_s < settings.grace_s:
        raise UsageError(
            f"--drain-notice-s: {settings.drain_notice_s} must be at least 0 and below --grace-s"
        )
    for name in ("header_bytes", "body_bytes", "receive_s", "connections"):
        check_positive(name, getattr(settings.http, name))
    return settings


def check_identifier(setting: str, value: str) -> None:
    """Raises UsageError unless ``value`` is safe to use in names and logs."""
    if not value or not all(c.isalnum() or c in "-_." for c in value):
        raise UsageError(
            f"--{setting}: {value!r} may only contain letters, digits, '-', '_' and '.'"
        )


def check_address(setting: str, value: str) -> None:
    """Raises UsageError unless ``value`` is a valid address."""
    try:
        parse_address(value)
    except ProtocolError as error:
        raise UsageError(f"--{setting.replace('_', '-')}: {error}") from error


def check_positive(setting: str, value: float) -> None:
    """Raises UsageError unless ``value`` is positive."""
    if value <= 0:
        raise UsageError(f"--{setting.replace('_', '-')}: {value} must be greater than zero")
