"""Rate planning between forwarders and planners. Decision modules do no I/O and read no clock."""
