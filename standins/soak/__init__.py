"""Soak test of the platform front end: real border controllers, simulated clients, call servers and board.

Faults are drawn from a seed; the rules of the protocol page are checked from outside, against one clock.
"""
