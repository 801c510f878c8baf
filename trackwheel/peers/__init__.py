"""Links between boxes: typed messages in CBOR over websockets, several to a frame."""
