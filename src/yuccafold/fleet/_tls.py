"""TLS between VMs: contexts from files that may change, and the ids of peers."""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import final

import xxhash
from result import Err
from result import Ok
from result import Result

from yuccafold._ids import VmId
from yuccafold.settings import TlsFiles


@final
@dataclass(frozen=True, slots=True)
class TlsContexts:
    """The contexts of both ends, and a digest of the files they were loaded from."""

    server: ssl.SSLContext
    client: ssl.SSLContext
    digest: int


@final
@dataclass(frozen=True, slots=True)
class TlsFault:
    """Why the certificate files cannot be used."""

    reason: str


def files_digest(files: TlsFiles) -> int:
    """Return a digest of the contents of ``files``; raises ``OSError``."""
    digest = xxhash.xxh64()
    for path in (files.ca, files.certificate, files.key):
        digest.update(Path(path).read_bytes())
        digest.update(b"\0")
    return digest.intdigest()


def load_contexts(files: TlsFiles) -> Result[TlsContexts, TlsFault]:
    """Load contexts that require a certificate signed by the CA of ``files``."""
    try:
        digest = files_digest(files)
        server = _build_context(ssl.PROTOCOL_TLS_SERVER, files)
        client = _build_context(ssl.PROTOCOL_TLS_CLIENT, files)
    except (OSError, ValueError) as error:
        return Err(TlsFault(str(error)))
    return Ok(TlsContexts(server, client, digest))


@final
class TlsReloader:
    """Holds the contexts in use and reloads them; no ``files`` means no TLS."""

    def __init__(self, files: TlsFiles | None) -> None:
        self._files = files
        self._contexts: TlsContexts | None = None

    @property
    def contexts(self) -> TlsContexts | None:
        """The contexts for new links; ``None`` without TLS."""
        return self._contexts

    def load(self) -> Result[None, TlsFault]:
        """Load the files for the first time."""
        if self._files is None:
            return Ok(None)
        loaded = load_contexts(self._files)
        if isinstance(loaded, Ok):
            self._contexts = loaded.ok_value
        return loaded.map(lambda _: None)

    def reload(self) -> Result[bool, TlsFault]:
        """Load the files again if they changed; return whether they did.

        Files that do not match each other, as may happen while they are being
        replaced, are a fault, and the contexts in use stay.
        """
        if self._files is None or self._contexts is None:
            return Ok(False)
        try:
            if files_digest(self._files) == self._contexts.digest:
                return Ok(False)
        except OSError as error:
            return Err(TlsFault(str(error)))
        return self.load().map(lambda _: True)


def peer_ids(certificate: dict[str, Any] | None) -> frozenset[VmId]:
    """Return the VM ids for which ``certificate`` is valid.

    They are its DNS alternative names, or its common names if it has none.
    """
    if not certificate:
        return frozenset()
    names = certificate.get("subjectAltName", ())
    alternative = [value for kind, value in names if kind == "DNS"]
    return frozenset(map(VmId, alternative or _common_names(certificate)))


def _common_names(certificate: dict[str, Any]) -> Iterable[str]:
    parts = (part for group in certificate.get("subject", ()) for part in group)
    return [value for name, value in parts if name == "commonName"]


def _build_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # ``exchange_hello`` checks the VM id in the certificate instead of a host name.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(files.ca)
    context.load_cert_chain(files.certificate, files.key)
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        context.num_tickets = 0
    return context
