"""Parses and formats the operators' table as a CSV sheet.

The sheet has a row for each member, class, pool and endpoint.
"""

import csv
import io
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import msgspec

from bluebellpitch.decisions.hashing import digest_text
from bluebellpitch.decisions.rows import (
    ClassRow,
    EndpointRow,
    MemberRow,
    PoolRow,
    Row,
    VersionedRow,
    row_key,
)
from bluebellpitch.errors import ProtocolError, SheetError
from bluebellpitch.http1 import parse_address

COLUMNS = (
    "kind name weight limit credential_sha256 default_class tier first_token_ms between_tokens_ms"
    " max_wait_ms serves repeatable pool zone region address slots fencing state revision"
).split()
COLUMNS_BY_KIND = {
    "member": "name weight limit credential_sha256 default_class".split(),
    "class": "name tier weight first_token_ms between_tokens_ms max_wait_ms".split(),
    "pool": "name serves repeatable".split(),
    "endpoint": "name pool zone region address slots fencing state".split(),
}
OFFSET_PREFIX = "#offset="
DIGEST_LENGTH = 8
MAX_SHEET_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class CellError:
    """An invalid cell; ``requirement`` says what a valid one looks like."""

    requirement: str


def parse_name(text: str) -> str | CellError:
    """Parses a name."""
    if text and all(c.isalnum() or c in "-_." for c in text):
        return text
    return CellError("must be letters, digits, '-', '_' or '.'")


def parse_positive_number(text: str) -> float | CellError:
    """Parses a number above zero."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    return value if 0 < value < 1e12 else CellError("must be a number above 0")


def integer_parser(minimum: int) -> Callable[[str], int | CellError]:
    """Returns a parser of integers that are at least ``minimum``."""

    def parse(text: str) -> int | CellError:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) < minimum:
            return CellError(f"must be an integer of at least {minimum}")
        return int(text)

    return parse


def parse_limit(text: str) -> int | CellError:
    """Parses a limit; empty or 0 means unlimited."""
    return integer_parser(0)(text or "0")


def parse_sha256(text: str) -> str | CellError:
    """Parses a hexadecimal SHA-256 digest."""
    if len(text) == 64 and all(c in "0123456789abcdef" for c in text.lower()):
        return text.lower()
    return CellError("must be the SHA-256 of the credential: 64 hexadecimal digits")


def choice_parser(*choices: str) -> Callable[[str], str | CellError]:
    """Returns a parser that accepts only ``choices``."""

    def parse(text: str) -> str | CellError:
        return text if text in choices else CellError(f"must be one of: {', '.join(choices)}")

    return parse


def parse_yes_no(text: str) -> bool | CellError:
    """Parses yes or no."""
    return text == "yes" if text in ("yes", "no") else CellError("must be yes or no")


def parse_methods(text: str) -> tuple[str, ...] | CellError:
    """Parses HTTP methods separated by spaces."""
    methods = tuple(text.split())
    is_valid = all(m.isascii() and m.isalpha() and m.isupper() for m in methods)
    return methods if is_valid else CellError("must be space-separated HTTP methods, e.g. GET HEAD")


def parse_address_cell(text: str) -> str | CellError:
    """Parses an address."""
    try:
        parse_address(text)
    except ProtocolError:
        return CellError("must be IP:port, such as 10.0.0.1:8000")
    return text


CELL_PARSERS: dict[str, Callable[[str], object]] = {
    "name": parse_name,
    "weight": parse_positive_number,
    "limit": parse_limit,
    "credential_sha256": parse_sha256,
    "default_class": parse_name,
    "tier": integer_parser(1),
    "first_token_ms": parse_positive_number,
    "between_tokens_ms": parse_positive_number,
    "max_wait_ms": parse_positive_number,
    "serves": choice_parser("model", "service"),
    "repeatable": parse_methods,
    "pool": parse_name,
    "zone": parse_name,
    "region": parse_name,
    "address": parse_address_cell,
    "slots": integer_parser(1),
    "fencing": parse_yes_no,
    "state": choice_parser("live", "leaving"),
}


@dataclass(frozen=True, slots=True)
class RowBaseline:
    """The version of a row that ``table show`` wrote: its revision and a digest of its values."""

    revision: int
    digest: str

    def matches(self, row: Row) -> bool:
        """Returns whether a row has the same values as the baseline."""
        return self.digest == digest_row(row)


@dataclass(frozen=True, slots=True)
class SheetLine:
    """A valid line of the sheet. ``baseline`` is None if the operator added the line."""

    line_number: int
    row: Row
    baseline: RowBaseline | None


@dataclass(frozen=True, slots=True)
class Sheet:
    """A valid sheet. ``table_offset`` is that of the table it was made from, or -1 if unknown."""

    rows: tuple[Row, ...]
    baselines_by_key: dict[str, RowBaseline]
    table_offset: int


def parse_sheet(text: str) -> Sheet:
    """Parses a sheet; raises SheetError with all problems found."""
    problems: list[str] = []
    lines = list(parse_lines(text, problems))
    problems.extend(validate_lines(lines))
    if problems:
        raise SheetError(tuple(problems))
    baselines_by_key = {row_key(line.row): line.baseline for line in lines if line.baseline}
    return Sheet(tuple(line.row for line in lines), baselines_by_key, parse_offset(text))


def parse_offset(text: str) -> int:
    """Returns the offset that ``table show`` wrote into the sheet, or -1 without one."""
    offset_lines = (line for line in text.splitlines() if line.startswith(OFFSET_PREFIX))
    digits = next(offset_lines, "").removeprefix(OFFSET_PREFIX).strip(", ")
    offset = integer_parser(0)(digits)
    return -1 if isinstance(offset, CellError) else offset


def parse_lines(text: str, problems: list[str]) -> Iterator[SheetLine]:
    """Yields the valid lines and adds the problems of the others to ``problems``."""
    if len(text) > MAX_SHEET_BYTES:
        problems.append(f"the sheet is larger than {MAX_SHEET_BYTES} bytes")
        return
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")), restkey="", restval="")
    try:
        header = [name.strip() for name in reader.fieldnames or ()]
        reader.fieldnames = header
        if unknown := [name for name in header if name not in COLUMNS]:
            problems.append(f"row 1: unknown columns {unknown}; known columns: {' '.join(COLUMNS)}")
            return
        if "kind" not in header or "name" not in header:
            problems.append("row 1: the columns kind and name are required")
            return
        for cells in reader:
            if line := parse_line(reader.line_num, cells, problems):
                yield line
    except csv.Error as error:
        problems.append(f"row {reader.line_num}: invalid CSV: {error}")


def parse_line(line_number: int, cells: dict, problems: list[str]) -> SheetLine | None:
    """Parses one line; returns None for comments and blank lines, and after adding problems."""
    texts = {name: (cells.get(name) or "").strip() for name in COLUMNS}
    kind = texts["kind"]
    if not any(texts.values()) or kind.startswith("#"):
        return None
    if kind not in COLUMNS_BY_KIND:
        known = ", ".join(COLUMNS_BY_KIND)
        problems.append(f"row {line_number}, column kind: {kind!r} must be one of: {known}")
        return None
    if cells.get(""):
        problems.append(f"row {line_number}: more cells than columns")
        return None
    values = {name: CELL_PARSERS[name](texts[name]) for name in COLUMNS_BY_KIND[kind]}
    errors = {name: value for name, value in values.items() if isinstance(value, CellError)}
    for name, error in errors.items():
        problems.append(f"row {line_number}, column {name}: {texts[name]!r} {error.requirement}")
    baseline = parse_baseline(texts["revision"])
    if isinstance(baseline, CellError):
        problems.append(f"row {line_number}, column revision: {baseline.requirement}")
        return None
    return None if errors else SheetLine(line_number, build_row(kind, values), baseline)


def parse_baseline(text: str) -> RowBaseline | CellError | None:
    """Parses a revision cell as written by ``table show``; returns None if it is empty."""
    if not text:
        return None
    revision_text, _, digest = text.partition(".")
    revision = integer_parser(0)(revision_text)
    if isinstance(revision, CellError) or len(digest) != DIGEST_LENGTH:
        return CellError("must be as 'table show' wrote it, and empty in new rows")
    return RowBaseline(revision, digest)


def digest_row(row: Row) -> str:
    """Returns a short digest of a row's values."""
    return digest_text(msgspec.json.encode(row))[:DIGEST_LENGTH]


def build_row(kind: str, values: dict) -> Row:
    """Builds the typed row from its parsed cells."""
    match kind:
        case "member":
            return MemberRow(
                values["name"],
                values["weight"],
                values["limit"],
                values["credential_sha256"],
                values["default_class"],
            )
        case "class":
            return ClassRow(**values)
        case "pool":
            return PoolRow(values["name"], values["serves"], values["repeatable"])
        case _:
            return EndpointRow(**values)


def validate_lines(lines: list[SheetLine]) -> Iterator[str]:
    """Yields duplicates and unresolved references among the rows."""
    names_by_type: dict[type, set[str]] = {}
    line_number_by_credential: dict[str, int] = {}
    for line_number, row in ((line.line_number, line.row) for line in lines):
        names = names_by_type.setdefault(type(row), set())
        if row.name in names:
            yield f"row {line_number}, column name: {row.name!r} is not unique within its kind"
        names.add(row.name)
        if isinstance(row, MemberRow) and (
            first_line := line_number_by_credential.get(row.credential)
        ):
            yield f"row {line_number}, column credential_sha256: the same as in row {first_line}"
        if isinstance(row, MemberRow):
            line_number_by_credential.setdefault(row.credential, line_number)
    for line_number, row in ((line.line_number, line.row) for line in lines):
        match row:
            case MemberRow(default_class=name) if name not in names_by_type.get(ClassRow, ()):
                yield f"row {line_number}, column default_class: there is no class {name!r}"
            case EndpointRow(pool=name) if name not in names_by_type.get(PoolRow, ()):
                yield f"row {line_number}, column pool: there is no pool {name!r}"


def format_sheet(rows: Iterable[VersionedRow], offset: int | None = None) -> str:
    """Formats the rows of a table at ``offset`` as a sheet that parse_sheet accepts.

    A row with a negative revision is written as a new one.
    """
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, lineterminator="\n")
    writer.writeheader()
    for versioned in sorted(rows, key=lambda v: row_key(v.row)):
        row, revision = versioned.row, versioned.revision
        baseline = f"{revision}.{digest_row(row)}" if revision >= 0 else ""
        writer.writerow(format_cells(row) | {"revision": baseline})
    if offset is not None:
        out.write(f"{OFFSET_PREFIX}{offset}\n")
    return out.getvalue()


def format_cells(row: Row) -> dict[str, object]:
    """Returns the cells of one row by column."""
    match row:
        case MemberRow():
            cells = {
                "kind": "member",
                "limit": row.limit,
                "weight": row.weight,
                "credential_sha256": row.credential,
                "default_class": row.default_class,
            }
        case ClassRow():
            cells = {"kind": "class"} | {name: getattr(row, name) for name in row.__struct_fields__}
        case PoolRow():
            cells = {"kind": "pool", "serves": row.kind, "repeatable": " ".join(row.repeatable)}
        case EndpointRow():
            cells = {"kind": "endpoint"} | {n: getattr(row, n) for n in row.__struct_fields__}
            cells["fencing"] = "yes" if row.fencing else "no"
    return cells | {"name": row.name}
