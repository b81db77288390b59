"""Follow, write and snapshot log streams and keyed partitions."""
