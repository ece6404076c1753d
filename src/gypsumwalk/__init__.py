"""Manage fleet capacity and maintenance by declarations kept in version control."""

from gypsumwalk.errors import GypsumwalkError
from gypsumwalk.node import Node
from gypsumwalk.settings import Settings, decode_settings

__all__ = ["GypsumwalkError", "Node", "Settings", "__version__", "decode_settings"]

__version__ = "0.1.0"
