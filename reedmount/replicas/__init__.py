"""Copies of what members hold for others: who keeps them, what is durable, who acts for the dead. No I/O."""
