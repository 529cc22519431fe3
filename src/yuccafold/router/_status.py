"""What the operators' port answers."""

from __future__ import annotations

import json
from typing import Any
from typing import final

from yuccafold.router._operator import Handler
from yuccafold.router._operator import OperatorAnswer
from yuccafold.router._operator import OperatorRequest
from yuccafold.router._state import RouterState
from yuccafold.settings import ProcessSettings
from yuccafold.telemetry import Telemetry


@final
class StatusPages:
    """Pages about one router process."""

    def __init__(
        self, settings: ProcessSettings, state: RouterState, telemetry: Telemetry
    ) -> None:
        self._settings = settings
        self._state = state
        self._telemetry = telemetry

    def handlers(self) -> dict[tuple[str, str], Handler]:
        """Return the pages by method and path."""
        return {
            ("GET", "/livez"): self._live,
            ("GET", "/readyz"): self._ready,
            ("GET", "/status"): self._status,
            ("GET", "/metrics"): self._metrics,
        }

    async def _live(self, request: OperatorRequest) -> OperatorAnswer:
        return OperatorAnswer(200, {"phase": self._state.phase.value})

    async def _ready(self, request: OperatorRequest) -> OperatorAnswer:
        ready = self._state.ready
        value = {"ready": ready, "phase": self._state.phase.value}
        return OperatorAnswer(200 if ready else 503, value)

    async def _status(self, request: OperatorRequest) -> OperatorAnswer:
        value = {
            "vm": self._settings.vm,
            "zone": self._settings.zone,
            "region": self._settings.region,
            "phase": self._state.phase.value,
            "ready": self._state.ready,
            "revision": self._state.revision,
            "calls": self._state.calls,
        }
        return OperatorAnswer(200, value)

    async def _metrics(self, request: OperatorRequest) -> OperatorAnswer:
        data = self._telemetry.reader.get_metrics_data()
        value: Any = {} if data is None else json.loads(data.to_json())
        return OperatorAnswer(200, value)
