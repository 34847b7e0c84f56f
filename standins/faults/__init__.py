"""Fault injection: real processes, a simulated network between them, seeded faults and an event history."""
