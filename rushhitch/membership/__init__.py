"""Which dispatchers are there. `table`, `detector`, `bounds`, `sessions` decide, with no I/O and no clock."""
