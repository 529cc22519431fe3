"""Chooses the service of a call by the weights of its route, alike at all VMs."""

from __future__ import annotations

import math
from collections.abc import Sequence
from hashlib import blake2b

from yuccafold._ids import CallId
from yuccafold._ids import ServiceId

DIGEST_BYTES = 8

WeightedServices = Sequence[tuple[ServiceId, float]]


def choose_service(services: WeightedServices, call: CallId) -> ServiceId:
    """Return the service of ``call``: weighted rendezvous hashing of its id.

    Each service gets the share of calls that its weight asks for. A change of the
    weights moves as few calls as possible.
    """
    if len(services) == 1:
        return services[0][0]
    return max(services, key=lambda each: _score(*each, call))[0]


def _score(service: ServiceId, weight: float, call: CallId) -> float:
    digest = blake2b(f"{call} {service}".encode(), digest_size=DIGEST_BYTES).digest()
    # Above 0 and below 1.
    place = (int.from_bytes(digest, "big") + 0.5) / (1 << 8 * DIGEST_BYTES)
    return -weight / math.log(place)
