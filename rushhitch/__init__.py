"""The real dispatcher: carries messages from RESP2 clients to HTTP/1.1 endpoints, as `crowpier` decides."""
