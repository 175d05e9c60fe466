"""The record of orders for endpoints, which the holder of the duty keeps beside its lease."""

from collections.abc import Mapping

import msgspec

from bluebellpitch.decisions.scaling.supply import EndpointGroup, PlacedOrder
from bluebellpitch.decoding import DECODE_ERRORS, WholeNumber
from bluebellpitch.logs import log
from bluebellpitch.platform.records import KeyedRecord

ORDERS_KEY = "orders"

PlacedByGroup = Mapping[EndpointGroup, PlacedOrder]


class _Record(msgspec.Struct, frozen=True):
    pool: str
    zone: str
    is_spot: bool
    ordered: WholeNumber
    accepted: WholeNumber
    is_doubtful: bool


_decoder = msgspec.json.Decoder(tuple[_Record, ...])


def encode_orders(placed_by_pool: Mapping[str, PlacedByGroup]) -> KeyedRecord:
    """Encodes the orders of all pools for the store."""
    records = [
        _Record(pool, group.zone, group.is_spot, order.ordered, order.accepted, order.is_doubtful)
        for pool, placed_by_group in placed_by_pool.items()
        for group, order in placed_by_group.items()
    ]
    return KeyedRecord(ORDERS_KEY, msgspec.json.encode(records))


def decode_orders(
    values_by_key: Mapping[str, bytes],
) -> dict[str, dict[EndpointGroup, PlacedOrder]]:
    """Decodes the orders among the values beside a lease; a malformed record names none."""
    placed_by_pool: dict[str, dict[EndpointGroup, PlacedOrder]] = {}
    try:
        records = _decoder.decode(values_by_key.get(ORDERS_KEY, b"[]"))
    except DECODE_ERRORS as error:
        log("WARNING", "scaling_orders_malformed", error=error)
        return placed_by_pool
    for record in records:
        group = EndpointGroup(record.zone, record.is_spot)
        order = PlacedOrder(record.ordered, record.accepted, record.is_doubtful)
        placed_by_pool.setdefault(record.pool, {})[group] = order
    return placed_by_pool
