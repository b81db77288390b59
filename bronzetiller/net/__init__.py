"""Provide an HTTP server and client over the sockets and the event loop of circuits."""
