"""Call records: one per call and, while it is established, its dialogs, so that survivors can release it."""
