"""The gateway daemon: callers' address, watchers of the store, granter, logs."""
