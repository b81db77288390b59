"""Serve path routes: forward callers' requests to the engines and services behind them."""
