"""Rows and sheets of the operators' table for small federations."""

from bluebellpitch.decisions.rows import (
    ClassRow,
    EndpointRow,
    MemberRow,
    PoolRow,
    Row,
    VersionedRow,
)
from bluebellpitch.operators.sheet import format_sheet
from fakes.fleet import Fleet, credential_digest

MODEL_POOL = PoolRow("drafter", "model", ())
FILING_POOL = PoolRow("filing", "service", ("GET", "HEAD"))
CLASSES = (
    ClassRow("explain", 1, 8.0, 670.0, 44.0, 5_000.0),
    ClassRow("rewrite", 1, 8.0, 670.0, 44.0, 5_000.0),
    ClassRow("draft", 2, 4.0, 1_500.0, 60.0, 20_000.0),
    ClassRow("dossier", 3, 1.0, 10_000.0, 200.0, 600_000.0),
)


def member_row(name: str, default_class: str = "draft", limit: int = 0, weight: float = 1.0):
    """Returns the row of a member whose credential is its name followed by ``-secret``."""
    return MemberRow(name, weight, limit, credential_digest(f"{name}-secret"), default_class)


def endpoint_row(fleet: Fleet, name: str, pool: str, zone: str, region: str, slots: int = 8):
    """Returns the row of a fake server that the fleet has started."""
    address = fleet.processes_by_name[name].address
    return EndpointRow(name, pool, zone, region, address, slots, True)


def new_sheet(*rows: Row) -> str:
    """Returns a sheet whose rows are all new."""
    return format_sheet(VersionedRow(row, -1) for row in rows)
