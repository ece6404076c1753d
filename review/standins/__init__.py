"""Stand-ins for the clients, runners and platform of a small deployment."""
