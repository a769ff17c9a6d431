"""CloudEvents 1.0.2 over HTTP: events and their encoding in requests. Imported only if it is configured."""
