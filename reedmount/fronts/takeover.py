"""Which established calls the new process at a call server's address has.

Its start does not tell: the old process may answer set-ups on its connections until it ends. A connection
that answers a probe after the old process is known to have ended reaches the new one, and so does any that
was dialled later. Pure: events go in, and the calls that nothing can prove any more come out.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Generic, Protocol, TypeVar


class DialledConnection(Protocol):
    """A connection to the address of both processes."""

    @property
    def dialled_at(self) -> datetime:
        """When this side began to connect."""


Connection = TypeVar("Connection", bound=DialledConnection)


class Takeover(Generic[Connection]):
    """The calls that the new process may have, until a connection proves that it has them."""

    def __init__(self, connections: Iterable[Connection], calls: Mapping[str, datetime]) -> None:
        """``connections`` are up and were dialled since the new process's start.

        ``calls`` gives for each call when the connection on which it was answered was dialled.
        """
        self._connections = list(connections)
        self.unproven = {
            name: dialled_at for name, dialled_at in calls.items() if self._may_be_proven(dialled_at)
        }

    @property
    def connections(self) -> list[Connection]:
        """The connections that have neither answered nor ended."""
        return list(self._connections)

    def answered(self, connection: Connection) -> bool:
        """A connection has answered its probe: its calls, and those of later ones, are proven.

        Returns whether it was awaited.
        """
        if connection not in self._connections:
            return False
        self._connections.remove(connection)
        for name, dialled_at in list(self.unproven.items()):
            if dialled_at >= connection.dialled_at:
                del self.unproven[name]
        return True

    def ended(self, connection: Connection) -> list[str]:
        """A connection has ended: return the calls that no other one can prove."""
        if connection not in self._connections:
            return []
        self._connections.remove(connection)
        lost = [name for name, dialled_at in self.unproven.items() if not self._may_be_proven(dialled_at)]
        for name in lost:
            del self.unproven[name]
        return lost

    def expire(self) -> list[str]:
        """No answer is awaited any more: return the calls that were not proven."""
        lost, self.unproven = list(self.unproven), {}
        self._connections.clear()
        return lost

    def _may_be_proven(self, dialled_at: datetime) -> bool:
        return any(connection.dialled_at <= dialled_at for connection in self._connections)
