"""The settings tree: defaults, services, client accounts and routing policies."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from functools import cached_property
from typing import Annotated
from typing import Literal
from typing import final

from pydantic import Field

from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._ids import ZoneId
from yuccafold.settings._base import SettingsModel
from yuccafold.settings._policy import Duration
from yuccafold.settings._policy import Policy
from yuccafold.settings._policy import PolicyMerger
from yuccafold.settings._policy import PolicyOverride

Address = Annotated[str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$")]
"""An IP address and port, such as ``127.0.0.1:8080``."""

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]

KeyDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
"""The SHA-256 of a client account's bearer key, in hexadecimal."""


MAX_REVISION = 2_147_483_647
"""A revision fits into 31 bits, so that the number of a fence fits into 63 bits."""


MAX_CACHED_POLICIES = 4_096
"""How many merged policies one tree caches; a full cache is cleared."""

EngineRole = Literal["both", "prefill", "decode"]


class ServiceKind(Enum):
    """What a service's targets are: model engines or instances of a plain service."""

    MODEL = "model"
    PLAIN = "plain"


@final
class Target(SettingsModel):
    """One model engine or instance of a plain service."""

    id: Name
    address: Address
    zone: Name
    capacity: Annotated[float, Field(gt=0.0, le=1_000.0, strict=False)] = 1.0
    draining: bool = False
    role: EngineRole = "both"


@final
class EngineTraits(SettingsModel):
    """What the targets of one service are known to support."""

    resume: bool = False
    expect_continue: bool = True
    fencing: bool = False
    kv_transfer: bool = False
    callers_carry_hints: bool = False
    """Whether callers send the hint of a chat's last answer with its next turn.

    New chats then start on the least loaded of their candidate engines.
    """
    trusted_not_run: bool = False
    """Whether a target's header ``Yuccafold-Verdict: not-run`` is trusted.

    It is read from answers with status 502, 503 or 504.
    """


@final
class Route(SettingsModel):
    """Whether calls of one method and path prefix may be repeated."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: Annotated[str, Field(pattern=r"^/")]
    idempotent: bool


@final
class Orders(SettingsModel):
    """The desired state of a model service's engines."""

    model: Name
    version: Name
    adapters: tuple[Name, ...] = ()
    weight_loads_per_minute: Annotated[int, Field(ge=1, le=10_000)] = 2
    """The weight store's limit on model loads per minute.

    The lowest limit of all services applies to the whole fleet.
    """
    min_serving_share: Annotated[float, Field(ge=0.0, le=1.0, strict=False)] = 0.5
    """The share of the engines that must keep serving while others are changed."""
    drain_limit_ms: Duration = 60_000
    """How long an engine may finish its requests before its model or role changes."""


@final
class Service(SettingsModel):
    """One service: how callers reach it and where it runs."""

    kind: Literal["model", "plain"]
    hosts: tuple[str, ...] = ()
    paths: tuple[Annotated[str, Field(pattern=r"^/")], ...] = ()
    targets: tuple[Target, ...] = ()
    routes: tuple[Route, ...] = ()
    traits: EngineTraits = EngineTraits()
    orders: Orders | None = None
    policy: PolicyOverride = PolicyOverride()

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call may be repeated.

        Of the routes that match, the one with the longest path prefix decides.
        Without a matching route, only GET and HEAD calls of a plain service are
        idempotent. Chat turns of a model service are always idempotent.
        """
        if self.kind == ServiceKind.MODEL.value:
            return True
        matches = [
            route
            for route in self.routes
            if route.method == method and path.startswith(route.path)
        ]
        if not matches:
            return method in ("GET", "HEAD")
        return max(matches, key=lambda route: len(route.path)).idempotent


@final
class Account(SettingsModel):
    """One client account: its keys and the services that it may call."""

    keys: tuple[KeyDigest, ...] = ()
    services: tuple[Name, ...] = ()
    """The services that the account may call; empty means all."""
    policy: PolicyOverride = PolicyOverride()


@final
class RoutingPolicy(SettingsModel):
    """Policy overrides for services and client accounts; an empty list means all."""

    services: tuple[Name, ...] = ()
    accounts: tuple[Name, ...] = ()
    policy: PolicyOverride

    def matches(self, service: ServiceId, account: AccountId) -> bool:
        """Return whether the overrides apply to ``service`` and ``account``."""
        return (not self.services or service in self.services) and (
            not self.accounts or account in self.accounts
        )


@final
class SettingsTree(SettingsModel):
    """One revision of everything that operators set for the fleet."""

    revision: Annotated[int, Field(ge=1, le=MAX_REVISION)]
    defaults: PolicyOverride = PolicyOverride()
    services: dict[Name, Service] = {}
    accounts: dict[Name, Account] = {}
    policies: dict[Name, RoutingPolicy] = {}

    @cached_property
    def _accounts_by_key(self) -> dict[str, AccountId]:
        return {
            digest: AccountId(name)
            for name, account in self.accounts.items()
            for digest in account.keys
        }

    def account_of(self, digest: str) -> AccountId | None:
        """Return the account that has a key with the SHA-256 ``digest``, if any."""
        return self._accounts_by_key.get(digest)

    @cached_property
    def _policy_cache(self) -> dict[tuple[ServiceId, AccountId], Policy]:
        return {}

    def policy_for(self, service: ServiceId, account: AccountId) -> Policy:
        """Return the policy in force, in which later levels override earlier ones."""
        cached = self._policy_cache.get((service, account))
        if cached is not None:
            return cached
        overrides = (override for _, override in self.policy_levels(service, account))
        policy = PolicyMerger(Policy()).merge(*overrides)
        if len(self._policy_cache) >= MAX_CACHED_POLICIES:
            self._policy_cache.clear()
        self._policy_cache[service, account] = policy
        return policy

    def policy_levels(
        self, service: ServiceId, account: AccountId
    ) -> Iterator[tuple[str, SettingsModel]]:
        """Yield the path and the overrides of each level, the most general first.

        The levels are the defaults, the service, the client account and the
        matching routing policies in the order of their names.
        """
        yield "defaults", self.defaults
        yield f"services.{service}", self.services[service].policy
        yield f"accounts.{account}", self.accounts[account].policy
        for name in sorted(self.policies):
            if self.policies[name].matches(service, account):
                yield f"policies.{name}", self.policies[name].policy

    def target(self, service: ServiceId, target: TargetId) -> Target | None:
        """Return a target of ``service`` by its id, if it is listed."""
        listed = self.services[service].targets
        return next((entry for entry in listed if entry.id == target), None)

    def zones(self) -> frozenset[ZoneId]:
        """Return the availability zones that have targets."""
        return frozenset(
            ZoneId(target.zone)
            for service in self.services.values()
            for target in service.targets
        )
