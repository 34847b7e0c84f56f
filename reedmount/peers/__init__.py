"""Drives the membership protocol on the event loop: UDP socket, timer, change callbacks; no decisions."""
