"""Write docs/reference/settings.md from the settings models.

``--check`` writes nothing and exits with 1 if the page is outdated.
"""

from __future__ import annotations

import ast
import inspect
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import BaseModel

from yuccafold.settings import Policy
from yuccafold.settings import ProcessSettings
from yuccafold.settings import SettingsTree

PAGE = Path(__file__).resolve().parent.parent / "docs" / "reference" / "settings.md"

HEAD = """\
# Settings

Made from the models by `tools/settings_reference.py`; don't edit it by hand.

Two YAML files hold settings. The **settings tree** is one revision of what
operators set for the whole fleet; the settings service publishes it. The
**process settings** are what one router must know before it can reach anything.
Unknown keys, wrong types, values out of range and dangling references are
refused, each with its path and line. Anchors, aliases and tags are not taken; a
tree is at most 1 MB and 32 levels deep. `yuccafold settings check FILE` checks
a tree, with `--type=process` process settings.
"""


def main(arguments: list[str]) -> int:
    """Write or check the page."""
    page = reference()
    if arguments == ["--check"]:
        return int(not PAGE.exists() or PAGE.read_text() != page)
    PAGE.write_text(page)
    return 0


def reference() -> str:
    """Return the text of the page."""
    parts = [HEAD]
    for title, model in (
        ("Settings tree", SettingsTree),
        ("Built-in policy", Policy),
        ("Process settings", ProcessSettings),
    ):
        parts.append(f"## {title}\n")
        parts += [section(entry) for entry in models_below(model)]
    return "\n".join(parts)


def models_below(model: type[BaseModel]) -> list[type[BaseModel]]:
    """Return ``model`` and all models nested in its fields, each once."""
    found = [model]
    for name in model.model_fields:
        for nested in nested_models(model.model_fields[name].annotation):
            found += [below for below in models_below(nested) if below not in found]
    return found


def nested_models(annotation: Any) -> Iterator[type[BaseModel]]:
    """Yield the models that a type annotation contains."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for argument in getattr(annotation, "__args__", ()):
        yield from nested_models(argument)


def section(model: type[BaseModel]) -> str:
    """Return the section of one model: its summary and the table of its keys."""
    schema = model.model_json_schema()
    required = schema.get("required", [])
    docs = field_docs(model)
    summary = inspect.cleandoc(model.__doc__ or "")
    lines = [f"### {model.__name__}", "", summary, ""]
    lines += ["| Key | Value | Default | |", "|---|---|---|---|"]
    for key, value in schema.get("properties", {}).items():
        default = "required" if key in required else default_of(value)
        meaning = docs.get(key, "")
        lines.append(f"| `{key}` | {value_of(value)} | {default} | {meaning} |")
    return "\n".join(lines) + "\n"


def default_of(value: dict[str, Any]) -> str:
    """Return the text of a default value."""
    default = value.get("default")
    if default in (None, [], {}) or isinstance(default, dict):
        return ""
    return f"`{default}`".replace("True", "true").replace("False", "false")


def value_of(value: dict[str, Any]) -> str:
    """Return the text of the type and bounds of a key's value."""
    if "anyOf" in value:
        return " or ".join(
            value_of(entry) for entry in value["anyOf"] if entry.get("type") != "null"
        )
    if "$ref" in value:
        name = value["$ref"].rpartition("/")[2]
        return f"[{name}](#{name.lower()})"
    if "enum" in value:
        return ", ".join(f"`{entry}`" for entry in value["enum"])
    if value.get("type") == "array":
        return f"list of {value_of(value.get('items', {}))}"
    if value.get("type") == "object":
        nested = value.get("additionalProperties") or next(
            iter(value.get("patternProperties", {}).values()), {}
        )
        return f"mapping of names to {value_of(nested)}"
    return f"{value.get('type', 'any')}{bounds_of(value)}"


def bounds_of(value: dict[str, Any]) -> str:
    """Return the text of the bounds of a number or string."""
    words = {
        "minimum": "at least",
        "exclusiveMinimum": "above",
        "maximum": "at most",
        "pattern": "matching",
    }
    bounds = [
        f"{word} `{value[key]}`".replace("|", "\\|")
        for key, word in words.items()
        if key in value
    ]
    return f", {' and '.join(bounds)}" if bounds else ""


def field_docs(model: type[BaseModel]) -> dict[str, str]:
    """Return the doc strings that follow the fields of ``model``."""
    try:
        tree = ast.parse(inspect.getsource(model))
    except (OSError, TypeError):
        return {}
    body = tree.body[0].body if isinstance(tree.body[0], ast.ClassDef) else []
    return {
        field.target.id: " ".join(str(doc.value.value).split())
        for field, doc in zip(body, body[1:], strict=False)
        if isinstance(field, ast.AnnAssign)
        and isinstance(field.target, ast.Name)
        and isinstance(doc, ast.Expr)
        and isinstance(doc.value, ast.Constant)
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
