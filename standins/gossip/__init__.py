"""Simulation of a group of members in virtual time: the real state machines on a faulty network."""
