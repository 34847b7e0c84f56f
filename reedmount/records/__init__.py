"""What is held of each call: its record, and while it stands its dialogs, for a survivor to end it."""
