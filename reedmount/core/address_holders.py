"""Which of the listed call servers holds an address: the one whose process is the latest there.

A list may go on naming a server whose address another process has. No two processes share an address, so the
earlier one counts as removed. Pure.
"""

from __future__ import annotations

from dataclasses import replace

from reedmount.core.bounded import BoundedDict
from reedmount.core.ports import ListedServer

MAX_REPLACED = 4096  # names that the list has not removed yet


class AddressHolders:
    """The holder of each address, and the servers that another one has replaced."""

    def __init__(self) -> None:
        self._holders: dict[tuple[str, int], ListedServer] = {}
        self._replaced = BoundedDict[str, None](MAX_REPLACED)

    def resolve(self, entries: list[ListedServer]) -> list[ListedServer]:
        """Return the changed servers of a list, with those that do not hold their address as removed."""
        removed = {entry.server for entry in entries if entry.removed}
        resolved = []
        for entry in entries:
            holder = self._holders.get(entry.address)
            if entry.removed:
                self._replaced.pop(entry.server, None)
            elif holder is None or holder.server in {entry.server, *removed}:
                self._holders[entry.address] = entry
            elif self._is_earlier(entry, holder):
                entry = _removal(entry)
            else:
                self._replace(holder, entry)
                resolved.append(_removal(holder))
            resolved.append(entry)
        for entry in resolved:
            holder = self._holders.get(entry.address)
            if entry.removed and holder is not None and holder.server == entry.server:
                del self._holders[entry.address]
        return resolved

    def _is_earlier(self, entry: ListedServer, holder: ListedServer) -> bool:
        if entry.started is None or holder.started is None:
            return entry.server in self._replaced
        return entry.started < holder.started

    def _replace(self, holder: ListedServer, successor: ListedServer) -> None:
        self._holders[successor.address] = successor
        self._replaced.pop(successor.server, None)
        self._replaced[holder.server] = None


def _removal(entry: ListedServer) -> ListedServer:
    return replace(entry, serving=False, removed=True)
