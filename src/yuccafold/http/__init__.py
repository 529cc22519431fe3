"""HTTP/1.1 over ``h11``: connections, listeners, idle connections, heads."""

from __future__ import annotations

from yuccafold.http._head import METHODS
from yuccafold.http._head import REASONS
from yuccafold.http._head import CallerGone
from yuccafold.http._head import HeadFault
from yuccafold.http._head import head_fault
from yuccafold.http._listener import BACKLOG
from yuccafold.http._listener import Listener
from yuccafold.http._pool import ConnectionPool
from yuccafold.http._pool import IdleConnection
from yuccafold.http._stream import Header
from yuccafold.http._stream import Headers
from yuccafold.http._stream import HttpStream
from yuccafold.http._stream import end_to_end
from yuccafold.http._stream import first_value

__all__ = [
    "BACKLOG",
    "METHODS",
    "REASONS",
    "CallerGone",
    "ConnectionPool",
    "HeadFault",
    "Header",
    "Headers",
    "HttpStream",
    "IdleConnection",
    "Listener",
    "end_to_end",
    "first_value",
    "head_fault",
]
