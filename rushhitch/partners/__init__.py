"""Protocols for deliveries to partners: one codec each, behind one interface, and the webhook handshake."""
