"""Snapshots of the control fold, cut into pieces that fit a record of the store.

Each zone writes two sets of pieces in turn, so that a set which is being replaced never is the
last whole one.
"""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellpitch.decisions.control import Snapshot

CHUNK_BYTES = 128 * 1024
CHUNK_SETS = 2


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One piece of an encoded snapshot, ``index`` of ``count``."""

    id: str
    index: int
    count: int
    data: bytes


def split_snapshot(
    snapshot: Snapshot, zone: str, publish_count: int
) -> Iterator[tuple[str, bytes]]:
    """Yields the pieces of a snapshot, each with the key to keep it under."""
    data = msgspec.msgpack.encode(snapshot)
    starts = range(0, len(data), CHUNK_BYTES)
    for index, start in enumerate(starts):
        piece = data[start : start + CHUNK_BYTES]
        record = SnapshotChunk(snapshot.id, index, len(starts), piece)
        yield f"{zone}/{publish_count % CHUNK_SETS}/{index}", msgspec.msgpack.encode(record)


def assemble_snapshots(records: Iterable[bytes]) -> tuple[Snapshot, ...]:
    """Returns the whole snapshots among the pieces, the latest first."""
    pieces_by_id: dict[str, dict[int, SnapshotChunk]] = {}
    for record in records:
        if (piece := decode_chunk(record)) is not None:
            pieces_by_id.setdefault(piece.id, {})[piece.index] = piece
    joined = (assemble_chunks(pieces) for pieces in pieces_by_id.values())
    return tuple(sorted((s for s in joined if s), key=lambda s: s.offset, reverse=True))


def assemble_chunks(chunks_by_index: dict[int, SnapshotChunk]) -> Snapshot | None:
    """Returns the snapshot, or None when a piece is missing or spoilt."""
    count = next(iter(chunks_by_index.values())).count
    if sorted(chunks_by_index) != list(range(count)):
        return None
    data = b"".join(chunks_by_index[index].data for index in range(count))
    try:
        return msgspec.msgpack.decode(data, type=Snapshot)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def decode_chunk(data: bytes) -> SnapshotChunk | None:
    """Returns the piece, or None when it is not one of ours."""
    try:
        return msgspec.msgpack.decode(data, type=SnapshotChunk)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
