"""What a member keeps on its disk: a log of records that knows which of them are sound."""
