"""Builds the view of membership from its records."""

from __future__ import annotations

from yuccafold._clock import Milliseconds
from yuccafold.fleet._lists import ListHistory
from yuccafold.fleet._messages import MemberStatus
from yuccafold.fleet._own_record import OwnRecord
from yuccafold.fleet._table import Member
from yuccafold.fleet._table import MemberTable
from yuccafold.fleet._view import MembershipView
from yuccafold.fleet._view import MemberView
from yuccafold.fleet._vm_list import ListedState
from yuccafold.fleet._vm_list import VmListEntry


def build_view(
    local_vm: VmListEntry,
    own: OwnRecord,
    table: MemberTable,
    lists: ListHistory,
    now: Milliseconds,
) -> MembershipView:
    """Return the view that the records give at ``now``."""
    members = {member.vm: _view_of(member) for member in table.visible(now)}
    members[local_vm.id] = MemberView(
        local_vm.id,
        own.incarnation,
        MemberStatus.ALIVE,
        own.leaving,
        own.started_at,
        local_vm,
    )
    return MembershipView(local_vm.id, members, lists.lists)


def _view_of(member: Member) -> MemberView:
    listed_leaving = (
        member.entry is not None and member.entry.state is ListedState.LEAVING
    )
    return MemberView(
        member.vm,
        member.incarnation,
        member.status,
        member.leaving or listed_leaving,
        member.since,
        member.entry,
    )
