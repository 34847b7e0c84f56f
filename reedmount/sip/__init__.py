"""SIP as RFC 3261 has it: messages, framing, transactions and dialogs."""
