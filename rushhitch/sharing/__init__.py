"""Budgets that dispatchers share, by the counts of membership's `View`."""
