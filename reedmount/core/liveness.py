"""Failure detection for a peer that holds state for this process.

Pure: the time is passed in with each call. Silence alone proves nothing, since a peer with nothing to send is
silent too. A peer that was silent for a while is probed, and an unanswered probe is what counts.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

PROBE_AFTER_SILENCE = timedelta(seconds=1)  # after which a peer is probed
PROBE_TIMEOUT = timedelta(milliseconds=1500)  # for an answer; then the peer is probed again
CONNECTION_PROBE_TIMEOUT = timedelta(milliseconds=600)  # for a connection, while others to the peer receive
DEAD_AFTER = timedelta(milliseconds=7400)  # of silence; a call's end has to be reported within 8 s
MIN_PROBED = timedelta(seconds=4)  # part of that silence during which a probe was unanswered


@dataclass(slots=True)
class Liveness:
    """When one peer was last received from, and which probes it has not answered."""

    last_received_at: datetime
    first_probe_at: datetime | None = None  # of the unanswered probes
    last_probe_at: datetime | None = None

    def record_received(self, at: datetime) -> None:
        """Something was received: any message answers a probe, which only asks whether the peer is there."""
        if at > self.last_received_at:
            self.last_received_at = at
        if self.first_probe_at is not None and at >= self.first_probe_at:
            self.first_probe_at = self.last_probe_at = None

    def record_probe(self, at: datetime) -> None:
        """A probe was sent, or could not be since no connection came up."""
        if self.first_probe_at is None:
            self.first_probe_at = at
        self.last_probe_at = at

    def is_suspect(self, now: datetime, wait: timedelta = PROBE_TIMEOUT) -> bool:
        """Whether a probe has been unanswered for longer than an answer takes."""
        return self.first_probe_at is not None and now - self.first_probe_at >= wait

    def is_dead(self, now: datetime) -> bool:
        """Whether the state it held counts as lost."""
        if self.first_probe_at is None or now - self.first_probe_at < MIN_PROBED:
            return False
        return now - self.last_received_at >= DEAD_AFTER

    def probe_due(self, now: datetime) -> bool:
        """Whether the peer should be probed now."""
        if now - self.last_received_at < PROBE_AFTER_SILENCE:
            return False
        return self.last_probe_at is None or now - self.last_probe_at >= PROBE_TIMEOUT
