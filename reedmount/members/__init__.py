"""Membership, failure detection and quorum: SWIM with Lifeguard, without I/O."""
