"""Settings of `guavapin-entry`, frozen, from one TOML file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.fields import AddressRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.settings.parts import CALLERS_RULES
from guavapin.settings.parts import NODE_RULES
from guavapin.settings.parts import OPERATORS_RULES
from guavapin.settings.parts import PLAIN_HTTP
from guavapin.settings.parts import PLATFORM_RULES
from guavapin.settings.parts import CallersTls
from guavapin.settings.parts import ListenerSettings
from guavapin.settings.parts import NodeSettings
from guavapin.settings.parts import PlatformSettings
from guavapin.settings.parts import check_operators_listener
from guavapin.settings.parts import check_tls_pair
from guavapin.settings.reader import SettingsFault
from guavapin.settings.reader import SettingsReader
from guavapin.settings.reader import TableRules
from guavapin.settings.reader import read_file

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class SeedPeer:
    """A peer that is known before the records of the platform have been read."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True, slots=True)
class PeersSettings:
    """The peer listener; other peers connect to `advertised_address`."""

    address: str
    advertised_address: str = ""
    seeds: tuple[SeedPeer, ...] = ()


@dataclass(frozen=True, slots=True)
class EntryLimits:
    """Limits of one entry process.

    `callers` limits the open connections, `requests` the requests in progress and
    `buffered_bytes` the bodies buffered for them. Heads and unsent answers on callers'
    connections have at most `held_bytes`; 0 means the value of `buffered_bytes`. On a
    planned stop the process reports unready for `unready_notice_ms` before it closes
    the listener. Requests in progress then have `stop_timeout_ms` to finish.
    """

    callers: int = 4_096
    requests: int = 2_048
    buffered_bytes: int = 64 * 1024 * 1024
    held_bytes: int = 0
    header_bytes: int = 32 * 1024
    idle_timeout_ms: int = 60_000
    stop_timeout_ms: int = 60_000
    unready_notice_ms: int = 2_000


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """All settings of one entry process."""

    node: NodeSettings
    callers_address: str
    operators: ListenerSettings
    peers: PeersSettings
    platform: PlatformSettings
    limits: EntryLimits
    callers_tls: CallersTls = PLAIN_HTTP


_TABLES = ("node", "callers", "operators", "peers", "platform", "limits")

_PEERS_RULES = TableRules(
    {
        "address": AddressRule(),
        "advertised_address": AddressRule(),
    },
    frozenset({"address"}),
)

_SEED_RULES = TableRules(
    {"name": NameRule(), "zone": NameRule(), "address": AddressRule()},
    frozenset({"name", "zone", "address"}),
)

_LIMITS_RULES = TableRules(
    {
        "callers": IntegerRule(1, 100_000),
        "requests": IntegerRule(1, 100_000),
        "buffered_bytes": IntegerRule(1024 * 1024, 2**36),
        "held_bytes": IntegerRule(0, 2**36),
        "header_bytes": IntegerRule(1024, 1024 * 1024),
        "idle_timeout_ms": IntegerRule(100, 3_600_000),
        "stop_timeout_ms": IntegerRule(0, 3_600_000),
        "unready_notice_ms": IntegerRule(0, 600_000),
    }
)


def load_entry(path: Path) -> EntrySettings | tuple[SettingsFault, ...]:
    """Return the settings in the file `path`, or every error in it."""
    content = read_file(path)
    if isinstance(content, SettingsFault):
        return (content,)
    return parse_entry(content, str(path))


def parse_entry(
    text: str | bytes, file: str
) -> EntrySettings | tuple[SettingsFault, ...]:
    """Return the settings in `text`, or every error; `file` is named in errors."""
    reader = SettingsReader(file, text, _TABLES)
    node = reader.table("node", NODE_RULES)
    callers = reader.table("callers", CALLERS_RULES)
    operators = reader.table("operators", OPERATORS_RULES)
    seeds = reader.tables("peers", "seed", _SEED_RULES)
    peers = reader.table("peers", _PEERS_RULES, ignored=("seed",))
    platform = reader.table("platform", PLATFORM_RULES)
    limits = reader.table("limits", _LIMITS_RULES)
    if reader.faults:
        return tuple(reader.faults)
    settings = EntrySettings(
        node=NodeSettings(**node),
        callers_address=callers.pop("address"),
        operators=ListenerSettings(**operators),
        peers=PeersSettings(**peers, seeds=tuple(SeedPeer(**item) for item in seeds)),
        platform=PlatformSettings(**platform),
        limits=EntryLimits(**limits),
        callers_tls=CallersTls(**callers),
    )
    check_tls_pair(reader, "callers", settings.callers_tls)
    check_operators_listener(reader, settings.operators)
    _check_seeds(reader, settings.peers.seeds)
    return tuple(reader.faults) if reader.faults else settings


def _check_seeds(reader: SettingsReader, seeds: tuple[SeedPeer, ...]) -> None:
    names: set[str] = set()
    for index, seed in enumerate(seeds):
        if seed.name in names:
            table = f"peers.seed.{index}"
            reader.fault(table, "name", repr(seed.name), "a name used once")
        names.add(seed.name)
