from __future__ import annotations

import copy
import inspect
import pickle
from dataclasses import FrozenInstanceError
from dataclasses import InitVar
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

import pytest

from guavapin.kernel.fast_init import fast_init


@dataclass(frozen=True, slots=True)
class Plain:
    name: str
    count: int = 3
    parts: list[int] = field(default_factory=list)
    label: str = field(default="x", compare=False, repr=False)


@fast_init
@dataclass(frozen=True, slots=True)
class Fast:
    name: str
    count: int = 3
    parts: list[int] = field(default_factory=list)
    label: str = field(default="x", compare=False, repr=False)


@pytest.mark.parametrize(
    ("args", "kwargs"),
    [
        (("a",), {}),
        (("a", 4), {"label": "y"}),
        ((), {"name": "b", "parts": [1]}),
        (("a", 4, [2], "z"), {}),
    ],
)
def test_constructs_the_same_record(args: Any, kwargs: Any) -> None:
    """A field that is set to another argument would corrupt every record."""
    plain, fast = Plain(*args, **kwargs), Fast(*args, **kwargs)
    for name in Plain.__slots__:
        assert getattr(fast, name) == getattr(plain, name)
    assert repr(fast) == repr(plain).replace("Plain", "Fast")
    assert fast == Fast(*args, **kwargs)
    for twin in (copy.deepcopy(fast), pickle.loads(pickle.dumps(fast)), replace(fast)):
        assert twin == fast


@pytest.mark.parametrize(
    ("args", "kwargs"),
    [((), {}), (("a",), {"other": 1}), (("a",), {"name": "b"}), ((1, 2, 3, 4, 5), {})],
)
def test_refuses_wrong_arguments(args: Any, kwargs: Any) -> None:
    """A wrong call must fail at once, as with the generated constructor."""
    with pytest.raises(TypeError):
        Plain(*args, **kwargs)
    with pytest.raises(TypeError):
        Fast(*args, **kwargs)


def test_stays_frozen_and_keeps_its_signature() -> None:
    """Records are shared between tasks, so nobody may change one."""
    record = Fast("a")
    with pytest.raises(FrozenInstanceError):
        record.name = "b"  # type: ignore[misc]
    with pytest.raises(FrozenInstanceError):
        del record.name
    fast, plain = inspect.signature(Fast), inspect.signature(Plain)
    assert list(fast.parameters) == list(plain.parameters)
    assert Fast.__init__.__annotations__ == Plain.__init__.__annotations__


def test_each_record_gets_its_own_value_of_a_factory() -> None:
    """A shared list would leak the parts of one request into another."""
    assert Fast("a").parts is not Fast("a").parts


def test_a_class_of_no_fields_is_left_alone() -> None:
    """Messages without content need no constructor."""

    @fast_init
    @dataclass(frozen=True, slots=True)
    class Empty:
        pass

    assert Empty() == Empty()


def test_refuses_classes_that_it_cannot_serve() -> None:
    """A constructor that leaves out a step would make wrong records silently."""

    @dataclass(frozen=True)
    class NoSlots:
        name: str

    @dataclass(frozen=True, slots=True)
    class Checked:
        name: str

        def __post_init__(self) -> None:
            raise AssertionError

    @dataclass(frozen=True, slots=True, kw_only=True)
    class KeywordOnly:
        name: str

    @dataclass(frozen=True, slots=True)
    class Derived:
        name: str = field(default="", init=False)

    @dataclass(frozen=True, slots=True)
    class WithInitVar:
        name: str
        scale: InitVar[int]

    for cls in (NoSlots, Checked, KeywordOnly, Derived, WithInitVar):
        with pytest.raises(TypeError):
            fast_init(cls)
