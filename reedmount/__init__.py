"""reedmount: call routing and overload control for edge proxies."""
