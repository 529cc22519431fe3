"""A fleet of HTTP routers for a very large number of returning chats."""

from __future__ import annotations

__version__ = "0.1.0"
