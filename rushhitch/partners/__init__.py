"""How messages are delivered: one codec a protocol, behind one seam. No I/O here."""
