"""The operators' table as one CSV sheet: a row for each member, class, pool and endpoint."""

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
    """A cell that does not read; ``hint`` says what would."""

    requirement: str


def parse_name(text: str) -> str | CellError:
    """Reads a name."""
    if text and all(c.isalnum() or c in "-_." for c in text):
        return text
    return CellError("must be letters, digits, '-', '_' or '.'")


def parse_positive_number(text: str) -> float | CellError:
    """Reads a number above zero."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    return value if 0 < value < 1e12 else CellError("must be a number above 0")


def integer_parser(minimum: int) -> Callable[[str], int | CellError]:
    """Returns a reader of whole numbers from ``lowest`` on."""

    def parse(text: str) -> int | CellError:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) < minimum:
            return CellError(f"must be a whole number from {minimum} on")
        return int(text)

    return parse


def parse_limit(text: str) -> int | CellError:
    """Reads a limit; empty or 0 means none."""
    return integer_parser(0)(text or "0")


def parse_sha256(text: str) -> str | CellError:
    """Reads a SHA-256 digest."""
    if len(text) == 64 and all(c in "0123456789abcdef" for c in text.lower()):
        return text.lower()
    return CellError("must be the SHA-256 of the credential: 64 hexadecimal digits")


def choice_parser(*choices: str) -> Callable[[str], str | CellError]:
    """Returns a reader of one of some words."""

    def parse(text: str) -> str | CellError:
        return text if text in choices else CellError(f"must be one of: {', '.join(choices)}")

    return parse


def parse_yes_no(text: str) -> bool | CellError:
    """Reads yes or no."""
    return text == "yes" if text in ("yes", "no") else CellError("must be yes or no")


def parse_methods(text: str) -> tuple[str, ...] | CellError:
    """Reads HTTP methods, separated by blanks."""
    methods = tuple(text.split())
    good = all(m.isascii() and m.isalpha() and m.isupper() for m in methods)
    return methods if good else CellError("must be HTTP methods such as GET HEAD, split by blanks")


def parse_address_cell(text: str) -> str | CellError:
    """Reads an address."""
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
    """What ``table show`` wrote about a row: its revision, and a digest of what it held."""

    revision: int
    digest: str

    def matches(self, row: Row) -> bool:
        """Tells whether a row still is as it was shown."""
        return self.digest == digest_row(row)


@dataclass(frozen=True, slots=True)
class SheetLine:
    """One line of the sheet that reads. ``origin`` is None in a line that a person added."""

    line_number: int
    row: Row
    baseline: RowBaseline | None


@dataclass(frozen=True, slots=True)
class Sheet:
    """A sheet that reads. ``offset`` is of the table that it was made from; -1: unknown."""

    rows: tuple[Row, ...]
    baselines_by_key: dict[str, RowBaseline]
    table_offset: int


def parse_sheet(text: str) -> Sheet:
    """Returns the sheet; raises SheetError with all problems at once."""
    problems: list[str] = []
    lines = list(parse_lines(text, problems))
    problems.extend(validate_lines(lines))
    if problems:
        raise SheetError(tuple(problems))
    origins_by_key = {row_key(line.row): line.baseline for line in lines if line.baseline}
    return Sheet(tuple(line.row for line in lines), origins_by_key, parse_offset(text))


def parse_offset(text: str) -> int:
    """Returns the offset that ``table show`` wrote into the sheet; -1 when there is none."""
    marks = (line for line in text.splitlines() if line.startswith(OFFSET_PREFIX))
    digits = next(marks, "").removeprefix(OFFSET_PREFIX).strip(", ")
    offset = integer_parser(0)(digits)
    return -1 if isinstance(offset, CellError) else offset


def parse_lines(text: str, problems: list[str]) -> Iterator[SheetLine]:
    """Yields the lines that read, and adds what is wrong with the others."""
    if len(text) > MAX_SHEET_BYTES:
        problems.append(f"the sheet is larger than {MAX_SHEET_BYTES} bytes")
        return
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")), restkey="", restval="")
    try:
        header = [name.strip() for name in reader.fieldnames or ()]
        reader.fieldnames = header
        if unknown := [name for name in header if name not in COLUMNS]:
            problems.append(f"row 1: unknown columns {unknown}; known: {' '.join(COLUMNS)}")
            return
        if "kind" not in header or "name" not in header:
            problems.append("row 1: the columns kind and name are needed")
            return
        for cells in reader:
            if line := parse_line(reader.line_num, cells, problems):
                yield line
    except csv.Error as error:
        problems.append(f"row {reader.line_num}: not CSV: {error}")


def parse_line(line_number: int, cells: dict, problems: list[str]) -> SheetLine | None:
    """Returns one line, or None after adding its problems."""
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
    wrong = {name: value for name, value in values.items() if isinstance(value, CellError)}
    for name, value in wrong.items():
        problems.append(f"row {line_number}, column {name}: {texts[name]!r} {value.requirement}")
    origin = parse_baseline(texts["revision"])
    if isinstance(origin, CellError):
        problems.append(f"row {line_number}, column revision: {origin.requirement}")
        return None
    return None if wrong else SheetLine(line_number, build_row(kind, values), origin)


def parse_baseline(text: str) -> RowBaseline | CellError | None:
    """Reads a revision as ``table show`` wrote it; None when it is empty."""
    if not text:
        return None
    number, _, digest = text.partition(".")
    revision = integer_parser(0)(number)
    if isinstance(revision, CellError) or len(digest) != DIGEST_LENGTH:
        return CellError("leave it as 'table show' wrote it, and empty in new rows")
    return RowBaseline(revision, digest)


def digest_row(row: Row) -> str:
    """Returns a short digest of a row's values."""
    return digest_text(msgspec.json.encode(row))[:DIGEST_LENGTH]


def build_row(kind: str, values: dict) -> Row:
    """Returns the typed row."""
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
    """Yields what is wrong between rows."""
    names_by_kind: dict[type, set[str]] = {}
    credentials: dict[str, int] = {}
    for number, row in ((line.line_number, line.row) for line in lines):
        names = names_by_kind.setdefault(type(row), set())
        if row.name in names:
            yield f"row {number}, column name: {row.name!r} stands twice among its kind"
        names.add(row.name)
        if isinstance(row, MemberRow) and (first := credentials.get(row.credential)):
            yield f"row {number}, column credential_sha256: the same as in row {first}"
        if isinstance(row, MemberRow):
            credentials.setdefault(row.credential, number)
    for number, row in ((line.line_number, line.row) for line in lines):
        match row:
            case MemberRow(default_class=name) if name not in names_by_kind.get(ClassRow, ()):
                yield f"row {number}, column default_class: there is no class {name!r}"
            case EndpointRow(pool=name) if name not in names_by_kind.get(PoolRow, ()):
                yield f"row {number}, column pool: there is no pool {name!r}"


def format_sheet(rows: Iterable[VersionedRow], offset: int | None = None) -> str:
    """Returns the sheet of a table at an offset; parse_sheet reads it back.

    A row whose revision is below 0 is written as a new one.
    """
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, lineterminator="\n")
    writer.writeheader()
    for versioned in sorted(rows, key=lambda v: row_key(v.row)):
        row, revision = versioned.row, versioned.revision
        mark = f"{revision}.{digest_row(row)}" if revision >= 0 else ""
        writer.writerow(format_cells(row) | {"revision": mark})
    if offset is not None:
        out.write(f"{OFFSET_PREFIX}{offset}\n")
    return out.getvalue()


def format_cells(row: Row) -> dict[str, object]:
    """Returns the cells of one row."""
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
