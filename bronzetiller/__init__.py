"""Route metered model requests and keep each workspace within its prepaid budget."""

__version__ = "0.1.0"
