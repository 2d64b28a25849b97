"""TLS on the callers' listener, from the settings file to an answer."""

from __future__ import annotations

import ssl
import subprocess
import urllib.error
import urllib.request

import pytest

from guavapin.composition import exchange_settings
from guavapin.settings.entry import EntrySettings
from guavapin.settings.entry import load_entry
from tests.daemons.test_daemons import TIMEOUT_S
from tests.daemons.test_daemons import Site
from tests.daemons.test_daemons import wait_until

OPENSSL = """\
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 2
-subj /CN=localhost -addext subjectAltName=IP:127.0.0.1
"""


class TlsSite(Site):
    """A site whose entry process has a certificate made for this run."""

    def __init__(self, folder) -> None:
        super().__init__(folder)
        self.certificate = folder / "certificate.pem"
        key = folder / "key.pem"
        files = ["-keyout", str(key), "-out", str(self.certificate)]
        subprocess.run([*OPENSSL.split(), *files], check=True, capture_output=True)
        path = folder / "entry.toml"
        tls = f'tls_certificate_file = "{self.certificate}"\ntls_key_file = "{key}"\n'
        path.write_text(path.read_text().replace("[callers]\n", f"[callers]\n{tls}"))

    def get(self, target: str) -> bytes:
        context = ssl.create_default_context(cafile=self.certificate)
        url = f"https://127.0.0.1:{self.ports['callers']}{target}"
        return urllib.request.urlopen(url, timeout=TIMEOUT_S, context=context).read()

    def wait_ready(self) -> None:
        wait_until(self.is_ready)

    def is_ready(self) -> bool:
        try:
            return self.get("/readyz") == b"ready\n"
        except OSError:
            return False


@pytest.fixture
def site(tmp_path):
    site = TlsSite(tmp_path)
    yield site
    site.stop_all()


def test_callers_are_served_over_tls_only(site):
    site.start_all()
    site.publish()
    assert site.get("/renewals/tls") == b"/renewals/tls"
    with pytest.raises(OSError) as refused:
        site.request("/renewals/plain", 10)
    assert not isinstance(refused.value, urllib.error.HTTPError)


def test_unusable_certificate_ends_the_daemon_at_its_start(site):
    site.certificate.write_text("no certificate\n")
    assert site.start_entry().wait(TIMEOUT_S) == 1


def test_other_zones_are_not_offered_a_listener_with_tls(site):
    # Guards against hops in plain HTTP to a TLS listener, whose outcome is unknown.
    path = site.folder / "entry.toml"
    cfg = load_entry(path)
    assert isinstance(cfg, EntrySettings)
    assert exchange_settings(cfg, 1).callers_address == ""
    lines = path.read_text().splitlines()
    path.write_text("\n".join(line for line in lines if not line.startswith("tls_")))
    plain = load_entry(path)
    assert isinstance(plain, EntrySettings)
    assert exchange_settings(plain, 1).callers_address == plain.callers_address
