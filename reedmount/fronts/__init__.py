"""External interfaces of the border controller: the platform's protocol, its notice board, and SIP."""
