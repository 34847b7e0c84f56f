"""What each source says of the call servers, the rule where they disagree, which bands are open. No I/O."""
