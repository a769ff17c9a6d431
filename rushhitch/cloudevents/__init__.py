"""CloudEvents 1.0.2 over HTTP: the events, and how they stand in requests. Imported only where it is on."""
