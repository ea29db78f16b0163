"""Adapter for the users' platform: its settings, callers, workers and metadata store.

Each module decodes one kind of the platform's messages into types of the other
packages, or encodes messages to the platform. No other package depends on the names in
the platform's wire format.
"""
