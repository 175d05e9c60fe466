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
OFFSET_MARK = "#offset="
DIGEST_CHARACTERS = 8
SHEET_MAX_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class Wrong:
    """A cell that does not read; ``hint`` says what would."""

    hint: str


def read_name(text: str) -> str | Wrong:
    """Reads a name."""
    if text and all(c.isalnum() or c in "-_." for c in text):
        return text
    return Wrong("must be letters, digits, '-', '_' or '.'")


def read_positive(text: str) -> float | Wrong:
    """Reads a number above zero."""
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    return value if 0 < value < 1e12 else Wrong("must be a number above 0")


def read_count(lowest: int) -> Callable[[str], int | Wrong]:
    """Returns a reader of whole numbers from ``lowest`` on."""

    def read(text: str) -> int | Wrong:
        if not text.isascii() or not text.isdigit() or len(text) > 12 or int(text) < lowest:
            return Wrong(f"must be a whole number from {lowest} on")
        return int(text)

    return read


def read_limit(text: str) -> int | Wrong:
    """Reads a limit; empty or 0 means none."""
    return read_count(0)(text or "0")


def read_digest(text: str) -> str | Wrong:
    """Reads a SHA-256 digest."""
    if len(text) == 64 and all(c in "0123456789abcdef" for c in text.lower()):
        return text.lower()
    return Wrong("must be the SHA-256 of the credential: 64 hexadecimal digits")


def read_choice(*choices: str) -> Callable[[str], str | Wrong]:
    """Returns a reader of one of some words."""

    def read(text: str) -> str | Wrong:
        return text if text in choices else Wrong(f"must be one of: {', '.join(choices)}")

    return read


def read_flag(text: str) -> bool | Wrong:
    """Reads yes or no."""
    return text == "yes" if text in ("yes", "no") else Wrong("must be yes or no")


def read_methods(text: str) -> tuple[str, ...] | Wrong:
    """Reads HTTP methods, separated by blanks."""
    methods = tuple(text.split())
    good = all(m.isascii() and m.isalpha() and m.isupper() for m in methods)
    return methods if good else Wrong("must be HTTP methods such as GET HEAD, split by blanks")


def read_address(text: str) -> str | Wrong:
    """Reads an address."""
    try:
        parse_address(text)
    except ProtocolError:
        return Wrong("must be IP:port, such as 10.0.0.1:8000")
    return text


READERS: dict[str, Callable[[str], object]] = {
    "name": read_name,
    "weight": read_positive,
    "limit": read_limit,
    "credential_sha256": read_digest,
    "default_class": read_name,
    "tier": read_count(1),
    "first_token_ms": read_positive,
    "between_tokens_ms": read_positive,
    "max_wait_ms": read_positive,
    "serves": read_choice("model", "service"),
    "repeatable": read_methods,
    "pool": read_name,
    "zone": read_name,
    "region": read_name,
    "address": read_address,
    "slots": read_count(1),
    "fencing": read_flag,
    "state": read_choice("live", "leaving"),
}


@dataclass(frozen=True, slots=True)
class Origin:
    """What ``table show`` wrote about a row: its revision, and a digest of what it held."""

    revision: int
    digest: str

    def is_of(self, row: Row) -> bool:
        """Tells whether a row still is as it was shown."""
        return self.digest == digest_row(row)


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the sheet that reads. ``origin`` is None in a line that a person added."""

    number: int
    row: Row
    origin: Origin | None


@dataclass(frozen=True, slots=True)
class Sheet:
    """A sheet that reads. ``offset`` is of the table that it was made from; -1: unknown."""

    rows: tuple[Row, ...]
    origins_by_key: dict[str, Origin]
    offset: int


def parse_sheet(text: str) -> Sheet:
    """Returns the sheet; raises SheetError with all problems at once."""
    problems: list[str] = []
    lines = list(parse_lines(text, problems))
    problems.extend(check_references(lines))
    if problems:
        raise SheetError(tuple(problems))
    origins_by_key = {row_key(line.row): line.origin for line in lines if line.origin}
    return Sheet(tuple(line.row for line in lines), origins_by_key, find_offset(text))


def find_offset(text: str) -> int:
    """Returns the offset that ``table show`` wrote into the sheet; -1 when there is none."""
    marks = (line for line in text.splitlines() if line.startswith(OFFSET_MARK))
    digits = next(marks, "").removeprefix(OFFSET_MARK).strip(", ")
    offset = read_count(0)(digits)
    return -1 if isinstance(offset, Wrong) else offset


def parse_lines(text: str, problems: list[str]) -> Iterator[Line]:
    """Yields the lines that read, and adds what is wrong with the others."""
    if len(text) > SHEET_MAX_BYTES:
        problems.append(f"the sheet is larger than {SHEET_MAX_BYTES} bytes")
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
            if line := parse_cells(reader.line_num, cells, problems):
                yield line
    except csv.Error as error:
        problems.append(f"row {reader.line_num}: not CSV: {error}")


def parse_cells(number: int, cells: dict, problems: list[str]) -> Line | None:
    """Returns one line, or None after adding its problems."""
    texts = {name: (cells.get(name) or "").strip() for name in COLUMNS}
    kind = texts["kind"]
    if not any(texts.values()) or kind.startswith("#"):
        return None
    if kind not in COLUMNS_BY_KIND:
        known = ", ".join(COLUMNS_BY_KIND)
        problems.append(f"row {number}, column kind: {kind!r} must be one of: {known}")
        return None
    if cells.get(""):
        problems.append(f"row {number}: more cells than columns")
        return None
    values = {name: READERS[name](texts[name]) for name in COLUMNS_BY_KIND[kind]}
    wrong = {name: value for name, value in values.items() if isinstance(value, Wrong)}
    for name, value in wrong.items():
        problems.append(f"row {number}, column {name}: {texts[name]!r} {value.hint}")
    origin = read_origin(texts["revision"])
    if isinstance(origin, Wrong):
        problems.append(f"row {number}, column revision: {origin.hint}")
        return None
    return None if wrong else Line(number, build_row(kind, values), origin)


def read_origin(text: str) -> Origin | Wrong | None:
    """Reads a revision as ``table show`` wrote it; None when it is empty."""
    if not text:
        return None
    number, _, digest = text.partition(".")
    revision = read_count(0)(number)
    if isinstance(revision, Wrong) or len(digest) != DIGEST_CHARACTERS:
        return Wrong("leave it as 'table show' wrote it, and empty in new rows")
    return Origin(revision, digest)


def digest_row(row: Row) -> str:
    """Returns a short digest of a row's values."""
    return digest_text(msgspec.json.encode(row))[:DIGEST_CHARACTERS]


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


def check_references(lines: list[Line]) -> Iterator[str]:
    """Yields what is wrong between rows."""
    names_by_kind: dict[type, set[str]] = {}
    credentials: dict[str, int] = {}
    for number, row in ((line.number, line.row) for line in lines):
        names = names_by_kind.setdefault(type(row), set())
        if row.name in names:
            yield f"row {number}, column name: {row.name!r} stands twice among its kind"
        names.add(row.name)
        if isinstance(row, MemberRow) and (first := credentials.get(row.credential)):
            yield f"row {number}, column credential_sha256: the same as in row {first}"
        if isinstance(row, MemberRow):
            credentials.setdefault(row.credential, number)
    for number, row in ((line.number, line.row) for line in lines):
        match row:
            case MemberRow(default_class=name) if name not in names_by_kind.get(ClassRow, ()):
                yield f"row {number}, column default_class: there is no class {name!r}"
            case EndpointRow(pool=name) if name not in names_by_kind.get(PoolRow, ()):
                yield f"row {number}, column pool: there is no pool {name!r}"


def write_sheet(rows: Iterable[VersionedRow], offset: int | None = None) -> str:
    """Returns the sheet of a table at an offset; parse_sheet reads it back.

    A row whose revision is below 0 is written as a new one.
    """
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, lineterminator="\n")
    writer.writeheader()
    for versioned in sorted(rows, key=lambda v: row_key(v.row)):
        row, revision = versioned.row, versioned.revision
        mark = f"{revision}.{digest_row(row)}" if revision >= 0 else ""
        writer.writerow(write_cells(row) | {"revision": mark})
    if offset is not None:
        out.write(f"{OFFSET_MARK}{offset}\n")
    return out.getvalue()


def write_cells(row: Row) -> dict[str, object]:
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
