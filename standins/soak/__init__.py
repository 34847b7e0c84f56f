"""A soak of the platform's front: real border controllers between our own clients, call servers and board.

Faults are drawn from a seed; the rules of the protocol page are checked from outside, on one clock.
"""
