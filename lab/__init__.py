"""The fault lab: stand-ins for everything outside a dispatcher, faults, histories, and a rules checker.

It drives the program from outside, over loopback; the program never imports it.
"""
