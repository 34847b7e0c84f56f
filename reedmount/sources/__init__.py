"""Sources of call servers: each passes its claims to one pool host, which reports changes to the core."""
