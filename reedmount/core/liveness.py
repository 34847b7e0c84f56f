"""Whether a peer that holds something for us is still there, judged by what is heard of it.

Pure: instants come in with each call. Silence alone says nothing, since a peer with no news is silent too: a
peer that was quiet for a while is tested, and what counts is a test that was not answered.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta

PROBE_AFTER_SILENCE = timedelta(seconds=1)  # with nothing heard for so long, a peer is tested
PROBE_TIMEOUT = timedelta(milliseconds=1500)  # for an answer to a test; then it is tested again
CONNECTION_PROBE_TIMEOUT = timedelta(
    milliseconds=600
)  # the same for a connection whose peer is heard on others meanwhile
DEAD_AFTER = timedelta(
    milliseconds=7400
)  # of silence under tests; what is over has to be told 8 s after its end
MIN_PROBED = timedelta(seconds=4)  # of this silence a test has gone unanswered


@dataclass(slots=True)
class Liveness:
    """What was heard of one peer, and what it was asked."""

    last_received_at: datetime
    first_probe_at: datetime | None = None  # of the tests that are not answered
    last_probe_at: datetime | None = None

    def record_received(self, at: datetime) -> None:
        """Something came: whatever was asked is answered, since a test only shows that the peer is there."""
        if at > self.last_received_at:
            self.last_received_at = at
        if self.first_probe_at is not None and at >= self.first_probe_at:
            self.first_probe_at = self.last_probe_at = None

    def record_probe(self, at: datetime) -> None:
        """A test was sent, or could not be for want of a connection that comes up."""
        if self.first_probe_at is None:
            self.first_probe_at = at
        self.last_probe_at = at

    def is_suspect(self, now: datetime, wait: timedelta = PROBE_TIMEOUT) -> bool:
        """Whether a test has gone unanswered for longer than an answer takes."""
        return self.first_probe_at is not None and now - self.first_probe_at >= wait

    def is_dead(self, now: datetime) -> bool:
        """Whether what it held is to be counted as lost."""
        if self.first_probe_at is None or now - self.first_probe_at < MIN_PROBED:
            return False
        return now - self.last_received_at >= DEAD_AFTER

    def probe_due(self, now: datetime) -> bool:
        """Whether it is to be tested now."""
        if now - self.last_received_at < PROBE_AFTER_SILENCE:
            return False
        return self.last_probe_at is None or now - self.last_probe_at >= PROBE_TIMEOUT
