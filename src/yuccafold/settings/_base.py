"""The common base of every settings model."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class SettingsModel(BaseModel):
    """A frozen settings object that refuses unknown keys and coerced types."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)
