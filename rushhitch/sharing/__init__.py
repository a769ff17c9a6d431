"""State that dispatchers share, over membership's `View`. No I/O here."""
