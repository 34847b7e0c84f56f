"""What the border controller is without any wire: calls, attempts, the pool and the module's host."""
