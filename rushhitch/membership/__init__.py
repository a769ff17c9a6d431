"""Group membership of dispatchers. `table`, `detector`, `bounds` and `wire` do no I/O and read no clock."""
