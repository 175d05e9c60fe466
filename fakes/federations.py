"""Tables of the two deployments, as sheets."""

from bluebellpitch.decisions.rows import (
    ClassRow,
    EndpointRow,
    MemberRow,
    PoolRow,
    Row,
    VersionedRow,
)
from bluebellpitch.operators.sheet import format_sheet
from fakes.fleet import Fleet, digest

MODEL = PoolRow("drafter", "model", ())
FILING = PoolRow("filing", "service", ("GET", "HEAD"))
CLASSES = (
    ClassRow("explain", 1, 8.0, 670.0, 44.0, 5_000.0),
    ClassRow("rewrite", 1, 8.0, 670.0, 44.0, 5_000.0),
    ClassRow("draft", 2, 4.0, 1_500.0, 60.0, 20_000.0),
    ClassRow("dossier", 3, 1.0, 10_000.0, 200.0, 600_000.0),
)


def member(name: str, default_class: str = "draft", limit: int = 0, weight: float = 1.0):
    """Returns a member whose credential is its name with ``-secret``."""
    return MemberRow(name, weight, limit, digest(f"{name}-secret"), default_class)


def endpoint(fleet: Fleet, name: str, pool: str, zone: str, region: str, slots: int = 8):
    """Returns the row of a stand-in that runs already."""
    address = fleet.processes_by_name[name].address
    return EndpointRow(name, pool, zone, region, address, slots, True)


def sheet(*rows: Row) -> str:
    """Returns a sheet of new rows."""
    return format_sheet(VersionedRow(row, -1) for row in rows)
