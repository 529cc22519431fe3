"""The base class of all settings models."""

from __future__ import annotations

from pydantic import BaseModel
from pydantic import ConfigDict


class SettingsModel(BaseModel):
    """A frozen settings object; unknown keys and values of other types are faults."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)
