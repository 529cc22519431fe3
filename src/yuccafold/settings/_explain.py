"""Finds which level sets each value of a policy, and how two trees differ."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import zip_longest
from typing import Any
from typing import final

from yuccafold._ids import AccountId
from yuccafold._ids import ServiceId
from yuccafold.settings._policy import Policy
from yuccafold.settings._tree import SettingsTree
from yuccafold.settings._yaml import Path
from yuccafold.settings._yaml import dotted

BUILT_IN = "built in"


@final
@dataclass(frozen=True, slots=True)
class PolicyOrigin:
    """One value of a policy in force and the level of the tree that set it."""

    name: str
    value: Any
    level: str


@final
@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between two trees; ``None`` if a tree lacks it."""

    path: str
    old: Any
    new: Any


def explain_policy(
    tree: SettingsTree, service: ServiceId, account: AccountId
) -> list[PolicyOrigin]:
    """Return each value of the policy in force and the level that set it."""
    origins = dict.fromkeys(Policy.model_fields, BUILT_IN)
    for level, override in tree.policy_levels(service, account):
        names = override.model_dump(exclude_none=True)
        origins.update(dict.fromkeys(names, level))
    in_force = tree.policy_for(service, account)
    return [
        PolicyOrigin(name, getattr(in_force, name), level)
        for name, level in origins.items()
    ]


def tree_differences(old: SettingsTree, new: SettingsTree) -> Iterator[Difference]:
    """Yield the values that differ between two trees, in the order of their paths."""
    before = old.model_dump(mode="json", exclude_defaults=True)
    after = new.model_dump(mode="json", exclude_defaults=True)
    return _differences(before, after, ())


def _differences(old: Any, new: Any, path: Path) -> Iterator[Difference]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            yield from _differences(old.get(key), new.get(key), (*path, key))
    elif isinstance(old, list) and isinstance(new, list):
        for index, (before, after) in enumerate(zip_longest(old, new)):
            yield from _differences(before, after, (*path, index))
    elif old != new:
        yield Difference(dotted(path), old, new)
