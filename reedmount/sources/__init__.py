"""The shells of the pool: each source brings its words to one host, which tells the core what has changed."""
