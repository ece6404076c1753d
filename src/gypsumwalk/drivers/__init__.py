"""Drivers: the I/O, threads and clocks around the pure state machines."""
