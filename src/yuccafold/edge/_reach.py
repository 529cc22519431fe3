"""Finds out whether this VM itself is cut off from the targets of a service."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import final

from yuccafold._clock import Milliseconds
from yuccafold._ids import ServiceId
from yuccafold._ids import TargetId
from yuccafold._log import log_event

SUSPICIOUS_TARGETS = 2
"""Targets that don't answer or can't be reached one after the other, with no answer of
any between, after which a VM tries others by itself; they may also have crashed."""

MIN_UNREACHED_TARGETS = 5
"""Targets out of reach from which a VM takes itself for cut off; fewer if the service
has fewer. With half of the targets crashed, so many in a row are out of reach by chance
in 3 of 100 cases."""

SILENCE_TIME = Milliseconds(1_000)
"""How long calls may be without any answer of a service until a VM tries a target by
itself. With what follows it leaves a cut unnoticed for less than the users' 3 s."""

CONTACT_LIFETIME = Milliseconds(10_000)
"""How long after its last contact with a service a VM may help others to reach it."""


@final
@dataclass(slots=True)
class ServiceContact:
    """When a target of a service last answered, and what went wrong since.

    ``waiting_since`` is when the first call was sent since. ``unanswered`` are targets
    that accepted a call and gave no answer, ``unreached`` those that a try showed to be
    out of reach.
    """

    at: Milliseconds | None = None
    waiting_since: Milliseconds | None = None
    unanswered: set[TargetId] = field(default_factory=set)
    unreached: set[TargetId] = field(default_factory=set)
    is_cut_off: bool = False

    @property
    def suspicious(self) -> set[TargetId]:
        """The targets that failed since the last answer."""
        return self.unanswered | self.unreached

    def is_silent(self, now: Milliseconds) -> bool:
        """Return whether calls have been without any answer for long."""
        return (
            self.waiting_since is not None and now - self.waiting_since >= SILENCE_TIME
        )


@final
class Reach:
    """Tells a VM that is cut off from targets that crashed.

    Contact with a service is an answer of one of its targets. A connection that is
    accepted is none, as a proxy between may have accepted it. A VM that gets no answer
    from several targets one after the other is most likely cut off; after the first
    ones it is suspected, and more are tried. If all of them crashed instead, other VMs
    don't reach them either, so that none of them offers its help.
    """

    def __init__(self) -> None:
        self._services: dict[ServiceId, ServiceContact] = {}

    def record_sent(self, service: ServiceId, now: Milliseconds) -> None:
        """Record that a call is sent to a target."""
        contact = self._services.setdefault(service, ServiceContact())
        if contact.waiting_since is None:
            contact.waiting_since = now

    def record_contact(self, service: ServiceId, now: Milliseconds) -> None:
        """Record that a target answered, which ends a cut."""
        contact = self._services.setdefault(service, ServiceContact())
        contact.at = now
        contact.waiting_since = None
        contact.unanswered.clear()
        contact.unreached.clear()
        was_cut_off, contact.is_cut_off = contact.is_cut_off, False
        if was_cut_off:
            log_event("service_reached_again", service=service)

    def record_unanswered(self, service: ServiceId, target: TargetId) -> None:
        """Record that a target accepted a call and gave no answer."""
        contact = self._services.setdefault(service, ServiceContact())
        contact.unanswered.add(target)

    def record_unreached(
        self, service: ServiceId, target: TargetId, ready: Collection[TargetId]
    ) -> bool:
        """Record that a target was not reached; return whether a cut begins.

        ``ready`` are the targets of the service that may get calls; one that no longer
        may is expected to be gone.
        """
        contact = self._services.setdefault(service, ServiceContact())
        contact.unreached.add(target)
        contact.unreached.intersection_update(ready)
        needed = max(1, min(MIN_UNREACHED_TARGETS, len(ready)))
        if contact.is_cut_off or len(contact.unreached) < needed:
            return False
        contact.is_cut_off = True
        log_event(
            "service_cut_off",
            service=service,
            unreached=",".join(sorted(contact.unreached)),
            contact_at_ms=contact.at,
        )
        return True

    def suspected(
        self, now: Milliseconds
    ) -> dict[ServiceId, tuple[frozenset[TargetId], int]]:
        """Return the services that this VM may be cut off from.

        Each comes with the targets that are known to be out of reach, and with how many
        others to try; an answer ends the suspicion.
        """
        suspected = {}
        for name, known in self._services.items():
            is_silent = known.is_silent(now)
            if known.is_cut_off or not (known.suspicious or is_silent):
                continue
            several = len(known.suspicious) >= SUSPICIOUS_TARGETS
            if several or (is_silent and known.suspicious):
                count = MIN_UNREACHED_TARGETS - len(known.unreached)
                suspected[name] = frozenset(known.unreached), count
            elif is_silent:
                suspected[name] = frozenset(known.unreached), 1
        return suspected

    def is_cut_off(self, service: ServiceId) -> bool:
        """Return whether this VM takes itself for cut off from a service."""
        contact = self._services.get(service)
        return contact is not None and contact.is_cut_off

    def services_cut_off(self) -> list[ServiceId]:
        """Return the services that this VM is cut off from."""
        return [name for name, known in self._services.items() if known.is_cut_off]

    def services_in_reach(self, now: Milliseconds) -> list[ServiceId]:
        """Return the services whose targets this VM has recently reached."""
        return [
            name
            for name, known in self._services.items()
            if known.at is not None
            and not known.is_cut_off
            and len(known.suspicious) < SUSPICIOUS_TARGETS
            and now - known.at < CONTACT_LIFETIME
        ]
