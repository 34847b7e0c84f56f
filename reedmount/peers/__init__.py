"""Membership on the loop: one UDP socket, one timer, and whoever wants to hear of changes. No decision."""
