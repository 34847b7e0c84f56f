"""Measurements that are too long for CI, or that tell of this machine: their results stand in docs/."""
