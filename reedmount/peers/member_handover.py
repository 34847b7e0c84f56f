"""The one place among the members that two processes of an upgrade share: when it changes hands."""

from __future__ import annotations

import errno
from datetime import timedelta

from reedmount.core.actors import Timer
from reedmount.core.checks import COUNTERS, log
from reedmount.net.loop import Loop
from reedmount.peers.membership import Membership
from reedmount.peers.settings import MembershipSettings

TRY_AGAIN = timedelta(milliseconds=100)  # an address that another process has: below a probe's own period


class MemberHandover:
    """One member, in whichever process has its address now. A process without it serves calls all the same.

    Two processes that read one address would each get some of the answers and none all of them, so one at a
    time has it: the old one until the new one has taken the clients, then the new one. Nothing is said of it
    between the two: the old one closes its socket, the new one tries until it can bind. That holds as well
    where either dies at any instant. The name is the same, so no leave is said; the new process is a new life
    of the same member, which needs no other member to agree.
    """

    def __init__(self, loop: Loop, settings: MembershipSettings) -> None:
        """Raises OSError where the address can never be had; one that is in use is waited for."""
        self._loop, self._settings = loop, settings
        self.membership: Membership | None = None
        self._wanted = True
        self._timer: Timer | None = None
        self._open()

    def hand_over(self, to_another: bool) -> None:
        """Another process has the clients from now on, or (False) it has died and does no more."""
        if to_another:
            self._close()
        elif not self._wanted:
            self._wanted = True
            self._try()

    def leave(self) -> None:
        """We end, and nobody has our place: say so, and let go of it."""
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
            self._timer = self._loop.call_later(TRY_AGAIN, self._try)
        else:
            COUNTERS.add("members.seat.taken")
            log(f"member {self._settings.name}: the address among the members is ours", "seat")

    def _try(self) -> None:
        self._timer = None
        if not self._wanted:
            return
        try:
            self._open()
        except OSError as error:  # it was there before: no reason to end what serves calls
            log(f"member {self._settings.name}: {error}", "seat.failed")
            self._timer = self._loop.call_later(TRY_AGAIN, self._try)
