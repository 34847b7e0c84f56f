"""The fault rig: real processes of the program, a net of our own between them, seeded faults, a history."""
