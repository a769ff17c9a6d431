"""Decisions of a delivery service for outbound messages; see `crowpier.logic` and `crowpier.interface`."""

from crowpier.logic import Dispatcher

__all__ = ["Dispatcher"]
