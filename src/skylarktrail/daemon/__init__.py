"""The daemon process: actors, sockets and timers that run the core."""
