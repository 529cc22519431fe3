"""Resolves the client account, service and policy of a request."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import final

from result import Err
from result import Ok
from result import Result

from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._verdict import Refusal
from yuccafold.http import Headers
from yuccafold.http import first_value
from yuccafold.router._errors import bad_request
from yuccafold.settings import Policy
from yuccafold.settings import Service
from yuccafold.settings import SettingsTree

BEARER = "bearer "


@final
@dataclass(frozen=True, slots=True)
class Resolved:
    """The account, service and policy of a request, with the settings revision."""

    account: AccountId
    service: ServiceId
    settings: Service
    policy: Policy
    revision: int


def resolve(
    tree: SettingsTree, path: str, headers: Headers
) -> Result[Resolved, Refusal]:
    """Resolve a request in ``tree``, or return why it is refused."""
    account = _account(tree, headers)
    if account is None:
        reason = "expected 'Authorization: Bearer KEY' with a known key"
        return Err(bad_request(reason, 401, "unauthenticated"))
    service = _service(tree, path, headers)
    if service is None:
        reason = f"no service is reached by this host or path, got {path!r:.200}"
        return Err(bad_request(reason, 404, "no_such_service"))
    allowed = tree.accounts[account].services
    if allowed and service not in allowed:
        reason = f"client account {account!r} may not call service {service!r}"
        return Err(bad_request(reason, 403, "forbidden"))
    policy = tree.policy_for(service, account)
    settings = tree.services[service]
    return Ok(Resolved(account, service, settings, policy, tree.revision))


def _account(tree: SettingsTree, headers: Headers) -> AccountId | None:
    value = first_value(headers, b"authorization") or ""
    if not value.lower().startswith(BEARER):
        return None
    key = value[len(BEARER) :].strip()
    return tree.account_of(hashlib.sha256(key.encode("latin-1")).hexdigest())


def _service(tree: SettingsTree, path: str, headers: Headers) -> ServiceId | None:
    host = (first_value(headers, b"host") or "").lower().rsplit(":", 1)[0]
    plain_path = path.split("?", 1)[0]
    by_path = [
        (len(prefix), ServiceId(name))
        for name, service in tree.services.items()
        for prefix in service.paths
        if _covers(prefix, plain_path)
    ]
    if by_path:
        return max(by_path)[1]
    by_host = (name for name, service in tree.services.items() if host in service.hosts)
    return next((ServiceId(name) for name in by_host), None)


def _covers(prefix: str, path: str) -> bool:
    """Return whether ``path`` is ``prefix`` or a path below it."""
    stem = prefix.rstrip("/")
    return path == stem or path.startswith(stem + "/")
