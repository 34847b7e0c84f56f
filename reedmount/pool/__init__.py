"""The pool of call servers: claims of each source, the rule that merges them, priority bands. No I/O."""
