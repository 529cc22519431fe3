"""Which service a call of a route goes to, where the route has several over time."""

from __future__ import annotations

from yuccafold.edge.split._choice import choose_service
from yuccafold.edge.split._route_services import RouteServices
from yuccafold.edge.split._topic import ServiceChoiceTopic

__all__ = ["RouteServices", "ServiceChoiceTopic", "choose_service"]
