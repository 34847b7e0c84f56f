"""The protocol-independent core: calls, attempts, the pool and the host of the decision module."""
