"""Settings of a daemon and the operator file of a site."""
