"""One dispatcher's turn: events in, actions out, ids, ends."""
