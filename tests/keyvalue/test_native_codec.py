from __future__ import annotations

from typing import get_args

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.keyvalue.messages import Delete
from guavapin.keyvalue.messages import Get
from guavapin.keyvalue.messages import LeaseGrant
from guavapin.keyvalue.messages import LeaseRenew
from guavapin.keyvalue.messages import LeaseRevoke
from guavapin.keyvalue.messages import ListHosts
from guavapin.keyvalue.messages import ListPrefix
from guavapin.keyvalue.messages import PlatformOutcome
from guavapin.keyvalue.messages import PlatformRequest
from guavapin.keyvalue.messages import Put
from guavapin.keyvalue.messages import Unknown
from guavapin.keyvalue.messages import Watch
from guavapin.keyvalue.native_codec import decode_answer
from guavapin.keyvalue.native_codec import encode_call

REQUESTS: list[PlatformRequest] = [
    Get("", 1, "k"),
    Put("", 1, "k", b"", 0),
    Delete("", 1, "k", 3),
    ListPrefix("", 1, "p"),
    Watch("", 1, "p", 0, 10),
    LeaseGrant("", 1, 10),
    LeaseRenew("", 1, "l"),
    LeaseRevoke("", 1, "l"),
    ListHosts("", 1),
]
BODIES = st.binary() | st.sampled_from(
    [
        b"[" * 100_000,
        b'[{"key":"a","revision":1e99}]',
        b'[{"key":"\xff","revision":1}]',
        b'[{"key":"a"}]',
        b'{"lease_id":1,"ttl_ms":1}',
        b"null",
    ]
)


@pytest.mark.parametrize("req", REQUESTS, ids=lambda req: type(req).__name__)
@settings(derandomize=True, max_examples=300)
@given(
    status=st.sampled_from([200, 204, 404, 409, 413, 429, 500]) | st.integers(0, 999),
    revision=st.binary(max_size=30) | st.integers().map(lambda n: b"%d" % n),
    body=BODIES,
)
def test_arbitrary_answers_never_raise(
    req: PlatformRequest, status: int, revision: bytes, body: bytes
) -> None:
    # Guards against an answer outside the protocol that crashes the process.
    outcome = decode_answer(req, status, revision, body)
    assert isinstance(outcome, get_args(PlatformOutcome))


def test_write_without_a_valid_revision_is_unknown() -> None:
    # Guards against treating the answer of another server as a success.
    put = Put("", 1, "k", b"", 0)
    for revision in (b"", b"-1", b"x", b"9" * 40):
        assert isinstance(decode_answer(put, 200, revision, b""), Unknown)
        assert isinstance(decode_answer(put, 409, revision, b""), Unknown)


def test_keys_are_quoted() -> None:
    # Guards against a key that alters the path or query of a call.
    path = encode_call(Put("", 1, "a?b#c/d e&f", b"", 7, "l&x=1")).path
    assert path == "/v1/kv/a%3Fb%23c/d%20e%26f?expect=7&lease=l%26x%3D1"
