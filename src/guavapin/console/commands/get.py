"""``guavapin get``: print the objects in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavapin.console import base_generation
from guavapin.console.render import render_json
from guavapin.objects.codec import decode_text
from guavapin.objects.codec import encode_text
from guavapin.objects.kinds import KINDS
from guavapin.objects.kinds import objects_of
from guavapin.objects.model import ObjectSet

if TYPE_CHECKING:
    import argparse
    from typing import Any

    from guavapin.console.command import Console
    from guavapin.console.exit_codes import ExitCode


class GetCommand:
    """Print all objects, those of a kind, or one object."""

    name = "get"
    summary = "print the objects in force as TOML"
    description = """\
Print the objects in force as TOML, with the generation that they belong to, so that
the output can be edited and published. A kind and a name narrow the output; what is
narrowed is for reading, since a publication is of the whole set.
"""

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Declare kind and name."""
        words = [kind.word for kind in KINDS]
        parser.add_argument("kind", nargs="?", choices=words, help="kind of object")
        parser.add_argument("name", nargs="?", help="name of one object")

    def run(self, args: argparse.Namespace, console: Console) -> ExitCode:
        """Read the objects and print the selected ones."""
        outcome = console.client.get("/operator/v1/objects")
        return console.finish(outcome, lambda body: _render_objects(body, args))


def _render_objects(body: Any, args: argparse.Namespace) -> str:
    generation, text = int(body["generation"]), str(body["objects"])
    if args.kind is None:
        return base_generation.add_generation(text, generation)
    objects = decode_text(text)
    if not isinstance(objects, ObjectSet):
        return render_json([str(fault) for fault in objects])
    return encode_text(_filter_objects(objects, args.kind, args.name))


def _filter_objects(objects: ObjectSet, word: str, name: str | None) -> ObjectSet:
    kind = next(kind for kind in KINDS if kind.word == word)
    members = objects_of(objects, kind)
    selected = {key: obj for key, obj in members.items() if name in (None, key)}
    return ObjectSet(**{kind.attribute: selected})
