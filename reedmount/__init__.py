"""reedmount: call routing and overload control for edge proxies."""

__version__ = "0.2.0"
