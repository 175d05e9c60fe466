"""Places in a configuration file: where it is malformed, and how the file calls its fields."""

import re
from collections.abc import Iterator

import msgspec

from bluebellpitch.decoding import DECODE_ERRORS
from bluebellpitch.platform.configuration import CONFIGURATION_TYPE, ENTRY_TYPES_BY_SECTION

FILE_NAMES = {
    "pools": "services",
    "pool": "service",
    "members": "tenants",
    "keys": "api_keys",
    "weighted_pools": "split",
    "timeout_s": "timeout_ms",
    "target_s": "goal_ms",
    "gap_target_s": "gap_target_ms",
    "max_connections": "max_conns",
    "kv_capacity_tokens": "kv_capacity",
    "min_count": "min",
    "max_count": "max",
    "prices_by_zone": "zone_prices",
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
}
PLACE_IN_ERROR = re.compile(r"(?P<message>.*) - at `\$\.?(?P<place>.*)`", re.DOTALL)
BYTE_IN_ERROR = re.compile(r"(?P<message>.*) \(byte (?P<offset>\d+)\)", re.DOTALL)


class _Outline(msgspec.Struct, frozen=True):
    routes: tuple[msgspec.Raw, ...] = ()
    services: tuple[msgspec.Raw, ...] = ()
    tenants: tuple[msgspec.Raw, ...] | None = None


def format_place(place: tuple[str | int, ...]) -> str:
    """Returns a place in the parsed entries as the path in the file, ``routes[3].timeout_ms``."""
    parts = (
        f"[{part}]" if isinstance(part, int) else f".{FILE_NAMES.get(part, part)}" for part in place
    )
    return "".join(parts).removeprefix(".")


def locate_errors(data: bytes) -> dict[str, str]:
    """Returns what is malformed in a configuration, by place; empty if it can be decoded."""
    whole = decode_part(data, CONFIGURATION_TYPE)
    if whole is None:
        return {}
    place, message = whole
    errors = {place or describe_position(data, message): message}
    return errors | dict(locate_entry_errors(data))


def locate_entry_errors(data: bytes) -> Iterator[tuple[str, str]]:
    """Yields the first error of each entry, as a decoder stops at the first of the file."""
    try:
        outline = msgspec.json.decode(data, type=_Outline)
    except DECODE_ERRORS:
        return
    for section, entry_type in ENTRY_TYPES_BY_SECTION.items():
        for index, raw in enumerate(getattr(outline, section) or ()):
            if error := decode_part(raw, entry_type):
                place, message = error
                yield f"{section}[{index}]" + (f".{place}" if place else ""), message


def decode_part(data: bytes | msgspec.Raw, entry_type: type) -> tuple[str, str] | None:
    """Returns the place inside a part of the file, and the message, of its first error if any."""
    try:
        msgspec.json.decode(data, type=entry_type)
    except DECODE_ERRORS as error:
        if found := PLACE_IN_ERROR.fullmatch(str(error)):
            return found["place"], found["message"]
        return "", str(error)
    return None


def describe_position(data: bytes, message: str) -> str:
    """Returns the line and column that an error of the syntax names, or else the whole file."""
    if found := BYTE_IN_ERROR.fullmatch(message):
        lines = data[: int(found["offset"])].split(b"\n")
        return f"line {len(lines)}, column {len(lines[-1]) + 1}"
    return "the whole file"
