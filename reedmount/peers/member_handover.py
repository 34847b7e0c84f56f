"""Hands the member address over between the two processes of an upgrade."""

from __future__ import annotations

import errno
from datetime import timedelta

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.net.loop import Loop
from reedmount.peers.membership import Membership
from reedmount.peers.settings import MembershipSettings

BIND_RETRY_INTERVAL = timedelta(milliseconds=100)  # for an address in use; below the probe interval


class MemberHandover:
    """One member, run by the process that has its address. A process without it serves calls all the same.

    If two processes read one address, each would get only some of the responses. So one at a time has it: the
    old one until the new one has taken over the clients, then the new one. The two exchange no messages about
    it: the old one closes its socket, the new one retries until it can bind. This also works if either dies
    at any time. The member name is the same, so no leave is announced; the new process is the same member
    with a new boot id, which needs no agreement of other members.
    """

    def __init__(self, loop: Loop, settings: MembershipSettings) -> None:
        """Raises OSError if the address cannot be bound; if it is in use, binding is retried."""
        self._loop, self._settings = loop, settings
        self.membership: Membership | None = None
        self._wanted = True
        self._timer: Timer | None = None
        self._open()

    def hand_over(self, to_another: bool) -> None:
        """Another process has taken over the clients, or (False) that process has died."""
        if to_another:
            self._close()
        elif not self._wanted:
            self._wanted = True
            self._retry_open()

    def leave(self) -> None:
        """Shut down without a successor: announce the leave and close the socket."""
        if self.membership is not None:
            self.membership.leave()
        self._close()

    def _close(self) -> None:
        self._wanted = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.membership is not None:
            self.membership.close()
            self.membership = None
            COUNTERS.add("members.seat.let_go")

    def _open(self) -> None:
        try:
            self.membership = Membership(self._loop, self._settings)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            COUNTERS.add("members.seat.waits")
            self._timer = self._loop.call_later(BIND_RETRY_INTERVAL, self._retry_open)
        else:
            COUNTERS.add("members.seat.taken")
            log(f"member {self._settings.name}: bound the member address", "seat")

    def _retry_open(self) -> None:
        self._timer = None
        if not self._wanted:
            return
        try:
            self._open()
        except OSError as error:  # it could be bound before: no reason to stop serving calls
            log(f"member {self._settings.name}: {error}", "seat.failed")
            self._timer = self._loop.call_later(BIND_RETRY_INTERVAL, self._retry_open)
