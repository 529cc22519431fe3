"""HTTP/1.1 over ``h11``: connections, listeners, connection pool and head checks."""

from __future__ import annotations

from yuccafold.http._answer_writer import AnswerWriter
from yuccafold.http._client import CallFailedError
from yuccafold.http._client import CallTimeouts
from yuccafold.http._client import PersistentConnection
from yuccafold.http._framing import Framing
from yuccafold.http._framing import framing_of
from yuccafold.http._head import METHODS
from yuccafold.http._head import REASONS
from yuccafold.http._head import CallerGone
from yuccafold.http._head import HeadFault
from yuccafold.http._head import head_fault
from yuccafold.http._head import memory_of
from yuccafold.http._listener import Listener
from yuccafold.http._pool import ConnectionPool
from yuccafold.http._pool import IdleConnection
from yuccafold.http._served import ServedConnection
from yuccafold.http._stream import Header
from yuccafold.http._stream import Headers
from yuccafold.http._stream import HttpStream
from yuccafold.http._stream import end_to_end
from yuccafold.http._stream import first_value

__all__ = [
    "METHODS",
    "REASONS",
    "AnswerWriter",
    "CallFailedError",
    "CallTimeouts",
    "CallerGone",
    "Framing",
    "ConnectionPool",
    "HeadFault",
    "Header",
    "Headers",
    "HttpStream",
    "IdleConnection",
    "PersistentConnection",
    "Listener",
    "ServedConnection",
    "end_to_end",
    "first_value",
    "framing_of",
    "head_fault",
    "memory_of",
]
