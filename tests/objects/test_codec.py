from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Refused
from guavapin.objects.codec import decode_directory
from guavapin.objects.codec import decode_path
from guavapin.objects.codec import decode_storage
from guavapin.objects.codec import decode_text
from guavapin.objects.codec import encode_storage
from guavapin.objects.codec import encode_text
from guavapin.objects.kinds import KINDS
from guavapin.objects.model import GrowthPlan
from guavapin.objects.model import MaintenanceWave
from guavapin.objects.model import ObjectSet
from guavapin_demo.sites import SITES
from guavapin_demo.sites import build_fleet
from guavapin_demo.sites import build_objects


@pytest.mark.parametrize("site", SITES.values(), ids=str)
def test_sites_survive_toml_and_storage(site):
    objects = build_objects(site)
    assert decode_text(encode_text(objects)) == objects
    assert decode_storage(encode_storage(objects)) == Ok(objects)


def test_waves_and_plans_survive_toml_and_storage():
    objects = ObjectSet(
        waves={"w": MaintenanceWave("w", pools=("a", "b"), after="v")},
        growth_plans={"g": GrowthPlan("g", "a", 3, 1_000, 2_000, 0.25)},
    )
    assert decode_text(encode_text(objects)) == objects
    assert decode_storage(encode_storage(objects)) == Ok(objects)


def test_rules_cover_every_field_of_every_kind():
    # A field without a rule could not be set by an operator.
    for kind in KINDS:
        assert set(kind.cls.__dataclass_fields__) - {"name"} == set(kind.rules)


def test_storage_form_does_not_depend_on_the_order_of_objects():
    # Different bytes for equal sets would rewrite unchanged chunks.
    fleet = build_fleet(50, 5, 5)
    reversed_fleet = ObjectSet(
        **{
            kind.attribute: dict(reversed(getattr(fleet, kind.attribute).items()))
            for kind in KINDS
        }
    )
    assert encode_storage(reversed_fleet) == encode_storage(fleet)


def test_all_faults_are_reported_at_once():
    faults = decode_text(
        """
        [pool.a]
        slots = "8"
        colour = "red"
        [pool."bad name"]
        budget = "b"
        [host.h]
        zone = "z"
        rack = "r"
        pool = "a"
        address = "example.com:80"
        cores = 0
        memory_gb = 1.5
        [quota.x]
        team = "t"
        """
    )
    assert isinstance(faults, tuple)
    places = {(fault.kind, fault.name, fault.field) for fault in faults}
    assert places == {
        ("pool", "a", "slots"),
        ("pool", "a", "colour"),
        ("pool", "a", "budget"),
        ("pool", "bad name", "name"),
        ("host", "h", "address"),
        ("host", "h", "cores"),
        ("host", "h", "memory_gb"),
        ("file", "quota", "table"),
    }


@pytest.mark.parametrize(
    "text",
    [
        "x = " + "[" * 5_000,
        "a" + ".a" * 3_000 + " = 1",
        "[pool.a]\nslots = 0x" + "f" * 20_000,
        "[pool.a]\nslots = " + "9" * 20_000,
        "[pool.a]\nbudget" + ".a" * 3_000 + " = 1",
        "[pool.a]\nmax_ejected_share = nan",
        "[pool." + "n" * 64 + "]\nbudget = 'b'",
        b"\xff\xfe",
    ],
    ids=range(8),
)
def test_hostile_text_is_a_fault(text):
    # Deep nesting and large integers exceed limits of the parser and of repr.
    faults = decode_text(text)
    assert isinstance(faults, tuple) and faults
    assert all(len(str(fault)) < 1_000 for fault in faults)


def test_directory_is_merged_and_a_duplicate_definition_is_a_fault(tmp_path):
    site = build_objects(SITES["gagnon"])
    whole = encode_text(site)
    cut = whole.index("[host.")
    (tmp_path / "a.toml").write_text(whole[:cut])
    (tmp_path / "b.toml").write_text(whole[cut:])
    assert decode_directory(tmp_path) == site == decode_path(tmp_path)
    name = next(iter(site.zones))
    (tmp_path / "c.toml").write_text(f'[availability_zone.{name}]\nregion = "r"')
    (tmp_path / "d.toml").write_text("pool = 3")
    faults = decode_path(tmp_path)
    assert isinstance(faults, tuple)
    assert {fault.kind for fault in faults} == {"availability_zone", "file"}


def test_missing_path_is_a_fault(tmp_path):
    assert isinstance(decode_path(tmp_path / "none"), tuple)
    assert isinstance(decode_directory(tmp_path), tuple)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_never_raise(data):
    decode_text(data)
    decode_text(b"[pool.a]\nbudget = " + data)
    assert isinstance(decode_storage(data), Ok | Refused)


def test_truncated_storage_is_refused():
    data = encode_storage(build_objects(SITES["gagnon"]))
    for end in range(0, len(data), 101):
        assert isinstance(decode_storage(data[:end]), Refused)
