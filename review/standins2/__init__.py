"""Stand-ins of the second review: a deployment on loopback, its runners and clients."""
