"""Settings shared by `guavapin-entry` and `guavapin-control`, and their rules."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavapin.objects.fields import AddressRule
from guavapin.objects.fields import ChoiceRule
from guavapin.objects.fields import IntegerRule
from guavapin.objects.fields import NameRule
from guavapin.objects.fields import TextRule
from guavapin.objects.fields import split_address
from guavapin.settings.reader import TableRules

if TYPE_CHECKING:
    from guavapin.settings.reader import SettingsReader

LOG_LEVELS = ("debug", "info", "warning", "error")

_FILE_PATH = TextRule("a path of a file", 4_096)


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity of this process; `seat` numbers the entry processes of a zone from 0."""

    name: str
    zone: str
    seat: int
    log_level: str = "info"


@dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Operators' listener; loopback only unless certificate and key are given."""

    address: str
    token_file: str = ""
    tls_certificate_file: str = ""
    tls_key_file: str = ""
    tls_client_ca_file: str = ""


@dataclass(frozen=True, slots=True)
class CallersTls:
    """Certificate and key of the callers' listener; plain HTTP without them."""

    tls_certificate_file: str = ""
    tls_key_file: str = ""


PLAIN_HTTP = CallersTls()


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The platform's key-value service and the limits of the calls to it."""

    address: str
    timeout_ms: int = 2_000
    calls_per_second: int = 300
    calls_in_flight: int = 32


NODE_RULES = TableRules(
    {
        "name": NameRule(),
        "zone": NameRule(),
        "seat": IntegerRule(0, 63),
        "log_level": ChoiceRule(LOG_LEVELS),
    },
    frozenset({"name", "zone", "seat"}),
)

OPERATORS_RULES = TableRules(
    {
        "address": AddressRule(),
        "token_file": _FILE_PATH,
        "tls_certificate_file": _FILE_PATH,
        "tls_key_file": _FILE_PATH,
        "tls_client_ca_file": _FILE_PATH,
    },
    frozenset({"address"}),
)

PLATFORM_RULES = TableRules(
    {
        "address": AddressRule(),
        "timeout_ms": IntegerRule(10, 60_000),
        "calls_per_second": IntegerRule(1, 10_000),
        "calls_in_flight": IntegerRule(1, 1_000),
    },
    frozenset({"address"}),
)

CALLERS_RULES = TableRules(
    {
        "address": AddressRule(),
        "tls_certificate_file": _FILE_PATH,
        "tls_key_file": _FILE_PATH,
    },
    frozenset({"address"}),
)


def check_tls_pair(
    reader: SettingsReader, table: str, tls: ListenerSettings | CallersTls
) -> None:
    """Report a certificate without a key, or a key without a certificate."""
    if bool(tls.tls_certificate_file) != bool(tls.tls_key_file):
        has_certificate = bool(tls.tls_certificate_file)
        key = "tls_key_file" if has_certificate else "tls_certificate_file"
        expected = "tls_certificate_file and tls_key_file together"
        reader.fault(table, key, "missing", expected)


def check_operators_listener(
    reader: SettingsReader, operators: ListenerSettings
) -> None:
    """Report an operators' listener without authentication or, off loopback, TLS."""
    check_tls_pair(reader, "operators", operators)
    if operators.tls_client_ca_file and not operators.tls_certificate_file:
        expected = "tls_certificate_file and tls_key_file with tls_client_ca_file"
        reader.fault("operators", "tls_certificate_file", "missing", expected)
    if not (operators.token_file or operators.tls_client_ca_file):
        expected = "token_file or tls_client_ca_file"
        reader.fault("operators", "token_file", "missing", expected)
    if not operators.tls_certificate_file and not is_loopback(operators.address):
        expected = "a loopback address, or tls_certificate_file and tls_key_file"
        reader.fault("operators", "address", repr(operators.address), expected)


def is_loopback(address: str) -> bool:
    """Return whether ``IP:PORT`` is a loopback address."""
    parts = split_address(address)
    return parts is not None and ipaddress.ip_address(parts[0]).is_loopback
