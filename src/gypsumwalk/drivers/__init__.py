"""Thin drivers: sockets, files, threads and the clock around the decisions."""
