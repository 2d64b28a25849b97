"""Objects as TOML for operators and as MessagePack for storage.

In TOML each object is a table named by kind and object::

    [pool.renewals]
    budget = "renewals-budget"
    slots = 8

Decoding reports all faults at once and never raises on any input.
"""

from __future__ import annotations

import dataclasses
import tomllib
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import tomli_w

from guavapin.kernel.outcome import Ok
from guavapin.kernel.outcome import Outcome
from guavapin.kernel.outcome import Reason
from guavapin.kernel.outcome import Refused
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import format_value
from guavapin.objects.fields import is_name
from guavapin.objects.fields import read_fields
from guavapin.objects.kinds import KINDS
from guavapin.objects.kinds import KINDS_BY_CLASS
from guavapin.objects.kinds import KINDS_BY_WORD
from guavapin.objects.kinds import Kind
from guavapin.objects.kinds import objects_of
from guavapin.objects.model import Fault
from guavapin.objects.model import ObjectSet

if TYPE_CHECKING:
    from pathlib import Path

    from guavapin.objects.kinds import NamedObject

# About 30 times the text of the two-year fleet.
MAX_TEXT_BYTES = 16 * 1024 * 1024
MAX_FILES = 1_000

_STORAGE_ENCODER = msgspec.msgpack.Encoder(order="sorted")
_STORAGE_DECODER = msgspec.msgpack.Decoder(ObjectSet)


def decode_text(text: str | bytes, source: str = "") -> ObjectSet | tuple[Fault, ...]:
    """Return the objects of a TOML text, or every fault in it.

    `source` names the file in faults that concern no single object.
    """
    tables = _parse(text, source)
    return tables if isinstance(tables, tuple) else _build_set(tables)


def decode_directory(path: Path) -> ObjectSet | tuple[Fault, ...]:
    """Return the objects of all ``*.toml`` files directly in `path`.

    An object that is defined in two files is a fault.
    """
    faults: list[Fault] = []
    merged: dict[str, Any] = {}
    try:
        files = sorted(path.glob("*.toml"))[: MAX_FILES + 1]
    except OSError as exc:
        return (Fault("directory", str(path), "read", str(exc), "a directory"),)
    if not files or len(files) > MAX_FILES:
        expected = f"1 to {MAX_FILES} files named *.toml"
        return (Fault("directory", str(path), "files", str(len(files)), expected),)
    for file in files:
        tables = _read_file(file)
        if isinstance(tables, tuple):
            faults.extend(tables)
        else:
            faults.extend(_merge_tables(merged, tables, file.name))
    built = _build_set(merged)
    if isinstance(built, tuple):
        faults.extend(built)
    return tuple(faults) if faults or isinstance(built, tuple) else built


def decode_path(path: Path) -> ObjectSet | tuple[Fault, ...]:
    """Return the objects of a TOML file or of a directory of them."""
    if path.is_dir():
        return decode_directory(path)
    tables = _read_file(path)
    return tables if isinstance(tables, tuple) else _build_set(tables)


def encode_text(objects: ObjectSet) -> str:
    """Return the objects as TOML, sorted by kind and name, without defaults."""
    tables = {
        kind.word: {
            name: object_table(obj)
            for name, obj in sorted(objects_of(objects, kind).items())
        }
        for kind in KINDS
        if objects_of(objects, kind)
    }
    return tomli_w.dumps(tables)


def object_table(obj: NamedObject) -> dict[str, Any]:
    """Return the fields of an object as a TOML table, without defaults and name."""
    return {
        item.name: list(value) if isinstance(value, tuple) else value
        for item in dataclasses.fields(obj)
        if item.name != "name" and (value := getattr(obj, item.name)) != item.default
    }


def decode_object(kind: Kind, name: str, table: object) -> NamedObject | list[Fault]:
    """Return the object of one table, or its faults."""
    if not is_name(name):
        return [
            Fault(
                kind.word,
                format_value(name)[1:-1],
                "name",
                format_value(name),
                _NAME_EXPECTED,
            )
        ]
    if not isinstance(table, dict):
        return [
            Fault(
                kind.word, name, "table", format_value(table), f"[{kind.word}.{name}]"
            )
        ]
    values, problems = read_fields(table, kind.rules, kind.required)
    if problems:
        return [
            Fault(kind.word, name, item.field, item.found, item.expected)
            for item in problems
        ]
    obj: NamedObject = kind.cls(name=name, **values)
    return obj


def encode_storage(objects: ObjectSet) -> bytes:
    """Return the objects as MessagePack; equal sets give equal bytes."""
    return _STORAGE_ENCODER.encode(objects)


def decode_storage(data: bytes) -> Outcome[ObjectSet]:
    """Return the objects of `encode_storage`; `Refused(BAD_INPUT)` if malformed.

    Types are checked; ranges are not, since the publisher has checked them.
    """
    try:
        return Ok(_STORAGE_DECODER.decode(data))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Refused(Reason.BAD_INPUT, f"stored objects are malformed: {exc}")


def kind_of(obj: NamedObject) -> Kind:
    """Return the kind of an object."""
    return KINDS_BY_CLASS[type(obj)]


_NAME_EXPECTED = NameRule().expected


def _parse(text: str | bytes, source: str) -> dict[str, Any] | tuple[Fault, ...]:
    if len(text) > MAX_TEXT_BYTES:
        expected = f"at most {MAX_TEXT_BYTES} bytes"
        return (Fault("file", source, "size", str(len(text)), expected),)
    try:
        return tomllib.loads(text if isinstance(text, str) else text.decode())
    # tomllib recurses on nested arrays, so deep nesting raises RecursionError.
    except (ValueError, RecursionError) as exc:
        detail = str(exc)[:200] or type(exc).__name__
        return (Fault("file", source, "syntax", detail, "TOML in UTF-8"),)


def _read_file(path: Path) -> dict[str, Any] | tuple[Fault, ...]:
    try:
        if path.stat().st_size > MAX_TEXT_BYTES:
            expected = f"at most {MAX_TEXT_BYTES} bytes"
            return (Fault("file", str(path), "size", "too large", expected),)
        return _parse(path.read_bytes(), str(path))
    except OSError as exc:
        return (Fault("file", str(path), "read", str(exc), "a readable file"),)


def _merge_tables(
    merged: dict[str, Any], tables: dict[str, Any], source: str
) -> list[Fault]:
    faults = []
    for word, table in tables.items():
        known = merged.setdefault(word, table if not isinstance(table, dict) else {})
        if not isinstance(table, dict) or not isinstance(known, dict):
            # `_build_set` reports a key that is not a table.
            merged[word] = known if isinstance(table, dict) else table
            continue
        for name, fields in table.items():
            if name in known:
                found = f"a second definition in {source}"
                faults.append(Fault(word, name, "table", found, "one definition"))
            else:
                known[name] = fields
    return faults


def _build_set(tables: dict[str, Any]) -> ObjectSet | tuple[Fault, ...]:
    faults: list[Fault] = []
    found: dict[str, dict[str, Any]] = {kind.attribute: {} for kind in KINDS}
    for word, table in tables.items():
        kind = KINDS_BY_WORD.get(word)
        if kind is None or not isinstance(table, dict):
            expected = "tables named [KIND.NAME], KIND one of " + ", ".join(
                KINDS_BY_WORD
            )
            shown = format_value(word)[1:-1]
            faults.append(Fault("file", shown, "table", format_value(table), expected))
        elif len(table) > kind.limit:
            expected = f"at most {kind.limit} objects of this kind"
            faults.append(Fault(word, "*", "count", str(len(table)), expected))
        else:
            faults.extend(_decode_objects(found[kind.attribute], kind, table))
    return tuple(faults) if faults else ObjectSet(**found)


def _decode_objects(
    target: dict[str, Any], kind: Kind, table: dict[str, Any]
) -> list[Fault]:
    faults: list[Fault] = []
    for name, fields in table.items():
        obj = decode_object(kind, name, fields)
        if isinstance(obj, list):
            faults.extend(obj)
        else:
            target[name] = obj
    return faults
