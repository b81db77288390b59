"""Follow, write and snapshot the streams of the product's own log."""
