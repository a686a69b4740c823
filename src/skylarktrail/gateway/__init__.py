"""Gateway daemon: caller address, store watchers, granter, peer links and logs."""
