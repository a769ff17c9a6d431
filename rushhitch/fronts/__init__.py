"""How clients hand messages in: one file a protocol, one seam to the core."""
