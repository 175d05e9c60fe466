"""Splits snapshots of the control state into chunks that fit into a record of the store.

Each zone alternates between two sets of chunks, so that the last complete set is never the one
being overwritten.
"""

from collections.abc import Iterable, Iterator

import msgspec

from bluebellpitch.decisions.control import Snapshot
from bluebellpitch.decoding import DECODE_ERRORS

CHUNK_BYTES = 128 * 1024
CHUNK_SETS = 2


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One chunk of an encoded snapshot: number ``index`` of ``count``, from 0."""

    id: str
    index: int
    count: int
    data: bytes


def split_snapshot(
    snapshot: Snapshot, zone: str, publish_count: int
) -> Iterator[tuple[str, bytes]]:
    """Yields the store key and encoded record of each chunk.

    ``publish_count`` selects the set to overwrite: successive snapshots of a zone alternate.
    """
    data = msgspec.msgpack.encode(snapshot)
    starts = range(0, len(data), CHUNK_BYTES)
    for index, start in enumerate(starts):
        chunk = data[start : start + CHUNK_BYTES]
        record = SnapshotChunk(snapshot.id, index, len(starts), chunk)
        yield f"{zone}/{publish_count % CHUNK_SETS}/{index}", msgspec.msgpack.encode(record)


def assemble_snapshots(records: Iterable[bytes]) -> tuple[Snapshot, ...]:
    """Returns the snapshots whose chunks are all present, newest first."""
    chunks_by_id: dict[str, dict[int, SnapshotChunk]] = {}
    for record in records:
        if (chunk := decode_chunk(record)) is not None:
            chunks_by_id.setdefault(chunk.id, {})[chunk.index] = chunk
    assembled = (assemble_chunks(chunks) for chunks in chunks_by_id.values())
    return tuple(sorted((s for s in assembled if s), key=lambda s: s.offset, reverse=True))


def assemble_chunks(chunks_by_index: dict[int, SnapshotChunk]) -> Snapshot | None:
    """Returns the snapshot, or None if a chunk is missing or corrupt."""
    count = next(iter(chunks_by_index.values())).count
    if sorted(chunks_by_index) != list(range(count)):
        return None
    data = b"".join(chunks_by_index[index].data for index in range(count))
    try:
        return msgspec.msgpack.decode(data, type=Snapshot)
    except DECODE_ERRORS:
        return None


def decode_chunk(data: bytes) -> SnapshotChunk | None:
    """Returns the chunk, or None if the record is malformed."""
    try:
        return msgspec.msgpack.decode(data, type=SnapshotChunk)
    except DECODE_ERRORS:
        return None
