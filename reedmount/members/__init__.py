"""Who is there, who has failed, and whether we may decide for all: SWIM with Lifeguard, without I/O."""
