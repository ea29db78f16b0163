"""Adapter between burdockgate and the users' platform.

Each module decodes one kind of the platform's messages into types of the product,
or encodes the product's answers. Nothing outside this package knows the names on the
platform's wire.
"""
