"""What lives for one version of the table or of the view."""
