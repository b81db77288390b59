"""Name the topics of the platform's store.

In topics whose names begin with "keyed.", the store retains the newest record of each key forever.
"""

OPERATOR_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"  # of the data centre; the record exists as long as it holds
REGISTRATIONS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.nodes"
CRASHES_TOPIC = "keyed.crashes"
VERSIONS_TOPIC = "keyed.versions"
STREAMS_TOPIC = "keyed.streams"
HOLDINGS_TOPIC = "keyed.holdings"
# Only its writer's next incarnation reads a use record; several topics keep that read short.
USE_TOPICS = tuple(f"keyed.use-{number}" for number in range(8))
