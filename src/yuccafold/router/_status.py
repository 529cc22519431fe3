"""The pages of the operators' port."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any
from typing import final

from yuccafold._clock import Clock
from yuccafold._clock import Milliseconds
from yuccafold._ids import ChatId
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold.control import ControlTask
from yuccafold.control import LiftQuarantine
from yuccafold.delivery import Fingerprint
from yuccafold.delivery import Suspect
from yuccafold.fleet import PeerNetwork
from yuccafold.orders import OrderController
from yuccafold.router._operator import Handler
from yuccafold.router._operator import OperatorAnswer
from yuccafold.router._operator import OperatorRequest
from yuccafold.router._recent import RecentChats
from yuccafold.router._refusals import RefusalCount
from yuccafold.router._refusals import RefusalLog
from yuccafold.router._state import RouterState
from yuccafold.settings import ProcessSettings
from yuccafold.telemetry import Telemetry


@final
class StatusPages:
    """Handlers of the pages about one router process."""

    def __init__(
        self,
        settings: ProcessSettings,
        state: RouterState,
        telemetry: Telemetry,
        control: ControlTask,
        network: PeerNetwork,
        clock: Clock,
        refusals: RefusalLog,
        recent: RecentChats,
        orders: OrderController,
    ) -> None:
        self._settings = settings
        self._state = state
        self._telemetry = telemetry
        self._control = control
        self._network = network
        self._clock = clock
        self._refusals = refusals
        self._recent = recent
        self._orders = orders

    def handlers(self) -> dict[tuple[str, str], Handler]:
        """Return the handlers by method and path."""
        return {
            ("GET", "/livez"): self._live,
            ("GET", "/readyz"): self._ready,
            ("GET", "/status"): self._status,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/targets"): self._targets,
            ("GET", "/peers"): self._peers,
            ("GET", "/settings/status"): self._settings_status,
            ("GET", "/quarantine"): self._quarantine,
            ("POST", "/quarantine/lift"): self._lift,
            ("GET", "/explain"): self._explain,
            ("GET", "/chats"): self._chats,
            ("GET", "/orders"): self._engine_orders,
        }

    async def _live(self, request: OperatorRequest) -> OperatorAnswer:
        return OperatorAnswer(200, {"phase": self._state.phase.value})

    async def _ready(self, request: OperatorRequest) -> OperatorAnswer:
        ready = self._state.ready
        value = {"ready": ready, "phase": self._state.phase.value}
        return OperatorAnswer(200 if ready else 503, value)

    async def _status(self, request: OperatorRequest) -> OperatorAnswer:
        now = self._clock.now()
        plane = self._control.plane
        value = {
            "vm": self._settings.vm,
            "zone": self._settings.zone,
            "region": self._settings.region,
            "phase": self._state.phase.value,
            "ready": self._state.ready,
            "settings": plane.readiness(now).value,
            "revision": self._state.revision,
            "calls": self._state.calls,
            "claims_held": plane.once.held,
            "claims_recovering": plane.once.is_recovering(now),
            "pauses": plane.pauses,
            "superseded_by": plane.membership.superseded_by,
            "refusing": [_refusal_row(row, now) for row in self._refusals.recent(now)],
        }
        return OperatorAnswer(200, value)

    async def _targets(self, request: OperatorRequest) -> OperatorAnswer:
        now = self._clock.now()
        plane = self._control.plane
        tree = self._state.tree
        owners = plane.placer.ledger.owner.owners
        rows = [
            {
                "service": name,
                "target": target.id,
                "zone": target.zone,
                "state": "draining"
                if target.draining
                else plane.target_health(TargetId(target.id), now).value,
                "owner": owners.owner(TargetId(target.id)),
                "in_flight_here": plane.placer.ledger.owner.slots.count(
                    TargetId(target.id)
                ),
            }
            for name, service in ({} if tree is None else tree.services).items()
            for target in service.targets
        ]
        return OperatorAnswer(200, rows)

    async def _peers(self, request: OperatorRequest) -> OperatorAnswer:
        now = self._clock.now()
        stats = self._network.stats()
        rows = [
            {
                "vm": member.vm,
                "status": member.status.name.lower(),
                "leaving": member.leaving,
                "incarnation": member.incarnation,
                "since_ms": now - member.since,
                "links": stats.peers[member.vm].links
                if member.vm in stats.peers
                else 0,
            }
            for member in self._control.plane.membership.view.members.values()
        ]
        counts = {
            "bytes_sent": {
                kind.value: count for kind, count in stats.total.sent.items()
            },
            "bytes_received": {
                kind.value: count for kind, count in stats.total.received.items()
            },
            "wire_sent": stats.total.wire_sent,
            "wire_received": stats.total.wire_received,
            "counters": asdict(stats.counters),
            "dropped": [
                {
                    "class": drop.byte_class.value,
                    "cause": drop.cause.value,
                    "count": drop.messages,
                }
                for drop in stats.dropped
            ],
        }
        return OperatorAnswer(200, {"peers": rows, "links": counts})

    async def _settings_status(self, request: OperatorRequest) -> OperatorAnswer:
        status = self._control.plane.replica.status(self._clock.now())
        answered_at = status.service_answered_at
        value = {
            "vm": status.vm,
            "revision": status.number,
            "digest": status.digest,
            "source": None if status.source is None else status.source.value,
            "in_force_for_ms": status.now - status.in_force_since,
            "settings": status.readiness.value,
            "service_answered_ms_ago": None
            if answered_at is None
            else status.now - answered_at,
            "vms_by_revision": status.vms_by_revision,
            "newest": status.newest,
            "lagging": status.lagging,
            "counts": asdict(status.counts),
            "refused": []
            if status.refused is None
            else [str(fault) for fault in status.refused.faults],
        }
        return OperatorAnswer(200, value)

    async def _quarantine(self, request: OperatorRequest) -> OperatorAnswer:
        suspects = self._control.plane.target_guard.quarantine.suspects(
            self._clock.now()
        )
        return OperatorAnswer(200, [_suspect_row(suspect) for suspect in suspects])

    async def _lift(self, request: OperatorRequest) -> OperatorAnswer:
        requested = (
            request.body.get("fingerprint") if isinstance(request.body, dict) else None
        )
        try:
            fingerprint = Fingerprint(bytes.fromhex(requested))
        except (TypeError, ValueError):
            reason = "expected {'fingerprint': HEX}"
            return OperatorAnswer(400, {"error": reason})
        command = LiftQuarantine(fingerprint)
        self._control.post(command)
        await command.reply.wait()
        return OperatorAnswer(200, {"lifted": requested})

    async def _engine_orders(self, request: OperatorRequest) -> OperatorAnswer:
        rows = [
            {name: _json_value(value) for name, value in asdict(status).items()}
            for status in self._orders.status()
        ]
        return OperatorAnswer(200, rows)

    async def _chats(self, request: OperatorRequest) -> OperatorAnswer:
        now = self._clock.now()
        rows = [
            {
                "chat": chat.chat,
                "service": chat.service,
                "account": chat.account,
                "target": chat.target,
                "ms_ago": now - chat.placed_at,
                "revision": chat.revision,
                "reason": chat.reason,
            }
            for chat in self._recent.latest()
        ]
        return OperatorAnswer(200, rows)

    async def _explain(self, request: OperatorRequest) -> OperatorAnswer:
        service = ServiceId(request.query.get("service", ""))
        chat = request.query.get("chat")
        tree = self._state.tree
        if tree is None or service not in tree.services or chat is None:
            reason = "expected service=NAME&chat=ID with a service of the settings"
            return OperatorAnswer(400, {"error": reason})
        hint = request.query.get("hint")
        now = self._clock.now()
        ranked = self._control.plane.placer.ranker.rank(
            service, ChatId(chat), None if hint is None else TargetId(hint), now
        )
        rows = [
            {
                "target": candidate.target,
                "reason": candidate.reason.value,
                "place": place,
            }
            for place, candidate in enumerate(ranked, start=1)
        ]
        return OperatorAnswer(200, {"revision": self._state.revision, "order": rows})

    async def _metrics(self, request: OperatorRequest) -> OperatorAnswer:
        data = self._telemetry.reader.get_metrics_data()
        value: Any = {} if data is None else json.loads(data.to_json())
        return OperatorAnswer(200, value)


def _suspect_row(suspect: Suspect) -> dict[str, Any]:
    return {name: _json_value(value) for name, value in asdict(suspect).items()}


def _refusal_row(row: RefusalCount, now: Milliseconds) -> dict[str, Any]:
    return {
        "service": row.service,
        "code": row.code,
        "count": row.count,
        "since_ms_ago": now - row.first_at,
        "last_ms_ago": now - row.last_at,
        "revision": row.revision,
        "example": row.reason,
    }


def _json_value(value: Any) -> Any:
    """Convert a field for JSON: bytes to hexadecimal, an enum member to its value."""
    return value.hex() if isinstance(value, bytes) else getattr(value, "value", value)
