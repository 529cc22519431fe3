"""Checks of a settings tree that involve more than one value."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from result import Err
from result import Ok
from result import Result

from yuccafold.settings._document import Document
from yuccafold.settings._document import LineIndex
from yuccafold.settings._document import Path
from yuccafold.settings._tree import SettingsTree
from yuccafold.settings._yaml import SettingsFault
from yuccafold.settings._yaml import check
from yuccafold.settings._yaml import check_json
from yuccafold.settings._yaml import fault_at
from yuccafold.settings._yaml import read_text

Finding = tuple[Path, str]


def parse_tree(text: str) -> Result[SettingsTree, list[SettingsFault]]:
    """Return the settings tree that ``text`` holds, or all its faults."""
    document = read_text(text)
    if isinstance(document, Err):
        return document
    return check_tree(document.ok_value)


def check_tree(document: Document) -> Result[SettingsTree, list[SettingsFault]]:
    """Return the settings tree that ``document`` holds, or all its faults."""
    return _check_references(check(document, SettingsTree), document.lines)


def check_tree_json(text: bytes) -> Result[SettingsTree, list[SettingsFault]]:
    """Return the settings tree that a JSON text holds, or all its faults.

    The rules are those of ``check_tree``; the faults have no lines.
    """
    lines = LineIndex(None)
    return _check_references(check_json(text, lines, SettingsTree), lines)


def _check_references(
    checked: Result[SettingsTree, list[SettingsFault]], lines: LineIndex
) -> Result[SettingsTree, list[SettingsFault]]:
    """Check the references of a tree whose single values are valid."""
    if isinstance(checked, Err):
        return checked
    faults = [
        fault_at(path, reason, lines) for path, reason in find_faults(checked.ok_value)
    ]
    return Err(faults) if faults else Ok(checked.ok_value)


def find_faults(tree: SettingsTree) -> Iterator[Finding]:
    """Yield every dangling reference and every conflict in ``tree``.

    Keys, targets, hosts and path prefixes may belong to one owner only, and a
    service needs a host or path to be reachable.
    """
    return chain(
        _dangling_in_accounts(tree),
        _dangling_in_policies(tree),
        _shared_keys(tree),
        _shared_targets(tree),
        _shared_entries(tree),
        _unreachable_services(tree),
    )


def _dangling_in_accounts(tree: SettingsTree) -> Iterator[Finding]:
    for name, account in tree.accounts.items():
        for index, service in enumerate(account.services):
            if service not in tree.services:
                path = ("accounts", name, "services", index)
                yield path, f"no service is named {service!r}"


def _dangling_in_policies(tree: SettingsTree) -> Iterator[Finding]:
    for name, policy in tree.policies.items():
        for index, service in enumerate(policy.services):
            if service not in tree.services:
                path = ("policies", name, "services", index)
                yield path, f"no service is named {service!r}"
        for index, account in enumerate(policy.accounts):
            if account not in tree.accounts:
                path = ("policies", name, "accounts", index)
                yield path, f"no client account is named {account!r}"


def _shared_keys(tree: SettingsTree) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, account in tree.accounts.items():
        for index, digest in enumerate(account.keys):
            first_owner = owners.setdefault(digest, name)
            if first_owner != name:
                yield (
                    ("accounts", name, "keys", index),
                    f"also a key of {first_owner!r}",
                )


def _shared_targets(tree: SettingsTree) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, service in tree.services.items():
        for index, target in enumerate(service.targets):
            path = ("services", name, "targets", index)
            if target.id in owners:
                yield (
                    (*path, "id"),
                    f"{target.id!r} is also a target of {owners[target.id]!r}",
                )
            owners[target.id] = name


def _shared_entries(tree: SettingsTree) -> Iterator[Finding]:
    owners: dict[tuple[str, str], str] = {}
    for name, service in tree.services.items():
        entries = list(
            chain(
                (("hosts", host) for host in service.hosts),
                (("paths", prefix) for prefix in service.paths),
            )
        )
        for field, entry in entries:
            first_owner = owners.setdefault((field, entry), name)
            if first_owner != name:
                yield (
                    ("services", name, field),
                    f"{entry!r} already leads to {first_owner!r}",
                )


def _unreachable_services(tree: SettingsTree) -> Iterator[Finding]:
    for name, service in tree.services.items():
        if not service.hosts and not service.paths:
            yield ("services", name), "expected a host or a path, got neither"
