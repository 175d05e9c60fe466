"""Tests that incremental updates keep the table's indexes consistent, and that quotas add up."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from bluebellpitch.decisions.member_quotas import compute_zone_quota, split_evenly
from bluebellpitch.decisions.rows import (
    EndpointRow,
    MemberRow,
    PoolRow,
    Table,
    VersionedRow,
    row_key,
)

NAMES = st.sampled_from("abcd")
ROWS = st.one_of(
    st.builds(
        MemberRow,
        name=NAMES,
        weight=st.just(1.0),
        limit=st.integers(0, 3),
        credential=NAMES,
        default_class=st.just("c"),
    ),
    st.builds(PoolRow, name=NAMES, kind=st.just("model"), repeatable=st.just(())),
    st.builds(
        EndpointRow,
        name=NAMES,
        pool=st.sampled_from("pq"),
        zone=st.sampled_from("yz"),
        region=st.just("r"),
        address=st.just("127.0.0.1:1"),
        slots=st.integers(1, 3),
        fencing=st.booleans(),
        state=st.sampled_from(("live", "leaving")),
    ),
)
CHANGES = st.lists(st.tuples(st.lists(ROWS, max_size=3, unique_by=row_key), st.sets(NAMES)))


def comparable_indexes(table: Table) -> dict:
    indexes = dict(vars(table))
    indexes.pop("members_by_credential")
    return indexes


@given(CHANGES)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_updated_table_equals_a_rebuilt_one(changes):
    table, expected_rows = Table({}), {}
    for offset, (rows, deleted_names) in enumerate(changes):
        new = {row_key(row): VersionedRow(row, offset) for row in rows}
        deleted = tuple(
            f"endpoint/{name}" for name in deleted_names if f"endpoint/{name}" not in new
        )
        before = comparable_indexes(table)
        after = table.with_changes(new, deleted, offset)
        assert_that(comparable_indexes(table), Equals(before))
        expected_rows = {k: v for k, v in expected_rows.items() if k not in deleted} | new
        assert_that(
            comparable_indexes(after),
            Equals(comparable_indexes(Table(expected_rows, offset))),
        )
        table = after


@given(st.integers(0, 500), st.dictionaries(NAMES, st.integers(1, 40), min_size=1))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_zone_quotas_and_vm_quotas_sum_to_the_limit(limit, slots_by_zone):
    zone_quotas = [
        compute_zone_quota(limit, "m", "p", zone, slots_by_zone) for zone in slots_by_zone
    ]
    assert_that(sum(zone_quotas), Equals(limit))
    assert_that(sum(split_evenly(limit, "key", slots_by_zone).values()), Equals(limit))
