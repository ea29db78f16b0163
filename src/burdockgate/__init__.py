"""A dispatcher for jobs made of many sub-second tasks."""

__version__ = "0.1.0.dev0"
