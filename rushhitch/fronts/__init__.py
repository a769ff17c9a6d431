"""Client-facing protocols: one module for each, all on the same connection handling and `Acceptor`."""
