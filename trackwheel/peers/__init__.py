"""Connections between boxes: typed CBOR messages over WebSockets, batched into frames."""
