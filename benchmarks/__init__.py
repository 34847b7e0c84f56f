"""Measurements that take too long for CI or depend on the machine; the results are in docs/."""
