"""A member's durable store: an append-only log of checksummed records that detects corruption."""
