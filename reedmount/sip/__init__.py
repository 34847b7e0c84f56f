"""SIP (RFC 3261): messages, framing, transactions, dialogs and the transport layer."""
