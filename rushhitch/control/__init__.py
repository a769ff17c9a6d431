"""The operators' address: one line to a connection, one answer."""
