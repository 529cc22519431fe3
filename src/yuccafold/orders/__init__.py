"""Orders to model engines: desired state, permits, fencing and rate limits."""

from __future__ import annotations

from yuccafold.orders._carrier import OrderCarrier
from yuccafold.orders._controller import EngineStatus
from yuccafold.orders._controller import OrderController
from yuccafold.orders._desired import DesiredEngine
from yuccafold.orders._desired import EngineOrder
from yuccafold.orders._desired import Observation
from yuccafold.orders._desired import OrderKind
from yuccafold.orders._desired import desired_engines
from yuccafold.orders._desired import loads_per_minute
from yuccafold.orders._desired import min_serving_engines
from yuccafold.orders._desired import next_order
from yuccafold.orders._fence import Fence
from yuccafold.orders._job import EngineAnswer
from yuccafold.orders._job import EngineCommand
from yuccafold.orders._messages import LeaseAnswer
from yuccafold.orders._messages import LeaseRequest
from yuccafold.orders._messages import PermitAnswer
from yuccafold.orders._messages import PermitRefusal
from yuccafold.orders._messages import PermitRelease
from yuccafold.orders._messages import PermitRequest
from yuccafold.orders._messages import register_messages
from yuccafold.orders._options import OrderOptions

__all__ = [
    "DesiredEngine",
    "EngineAnswer",
    "EngineCommand",
    "EngineOrder",
    "EngineStatus",
    "Fence",
    "LeaseAnswer",
    "LeaseRequest",
    "Observation",
    "OrderCarrier",
    "OrderController",
    "OrderKind",
    "OrderOptions",
    "PermitAnswer",
    "PermitRefusal",
    "PermitRelease",
    "PermitRequest",
    "desired_engines",
    "min_serving_engines",
    "loads_per_minute",
    "next_order",
    "register_messages",
]
