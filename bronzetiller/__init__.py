"""Route metered model requests and keep every workspace inside its prepaid budget."""

__version__ = "0.1.0"
