"""Where the border controller meets the outside: the platform, its notice board, and SIP."""
