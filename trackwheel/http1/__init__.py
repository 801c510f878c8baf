"""HTTP/1.1 over asyncio transports, parsed by httptools: a server and a pooling client."""
