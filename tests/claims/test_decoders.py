from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.claims.log_batch import decode_batch
from guavapin.claims.outcome_page import decode_page
from guavapin.claims.outcome_page import encode_page
from guavapin.claims.record import ClaimRecord
from guavapin.claims.record import ClaimState
from guavapin.claims.record import decode_record
from guavapin.claims.record import encode_record

RECORDS = st.builds(
    ClaimRecord,
    state=st.sampled_from(ClaimState),
    claim_id=st.text(),
    digest=st.binary(),
    status=st.integers(100, 599),
    headers=st.lists(st.tuples(st.binary(), st.binary())).map(tuple),
    body=st.binary(),
    detail=st.text(),
)


@settings(derandomize=True, max_examples=500)
@given(st.binary())
def test_arbitrary_values_never_raise(value: bytes) -> None:
    # Guards against a stored value that ends the process with an exception.
    for decode in (decode_record, decode_page, decode_batch):
        decode(value)
        decode(b"\x91" * 200 + value)


def test_deep_nesting_does_not_raise() -> None:
    # Guards against a nested value that exceeds the decoder's recursion limit.
    for decode in (decode_record, decode_page, decode_batch):
        assert decode(b"\x91" * 500_000) is None
        assert decode(b"\x81\xa1z" + b"\x91" * 500_000) is None


@settings(derandomize=True, max_examples=300)
@given(RECORDS, st.integers(0, 200), st.binary(min_size=1, max_size=3))
def test_records_survive_and_damaged_ones_do_not_raise(
    record: ClaimRecord, position: int, damage: bytes
) -> None:
    # Guards against an encoding that loses a part of an answer.
    value = encode_record(record)
    assert decode_record(value) == record
    position %= len(value)
    decode_record(value[:position] + damage + value[position + len(damage) :])
    assert decode_record(value[:-1]) is None
    page = encode_page((record,))
    assert decode_page(page) == {record.claim_id: record}
    decode_page(page[:position] + damage + page[position + len(damage) :])
