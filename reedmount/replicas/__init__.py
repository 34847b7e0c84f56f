"""Replicated call records: placement, durability and failover of per-member shards. No I/O."""
