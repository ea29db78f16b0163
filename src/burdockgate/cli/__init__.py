"""The command-line interface: a parser in :mod:`.main`, a module per command group."""
