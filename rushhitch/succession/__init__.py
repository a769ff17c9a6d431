"""Upgrade under load: one process hands its messages, listeners and connections over to another."""
