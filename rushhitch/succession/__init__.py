"""One process takes over from another under load: who owns which message, listener, ban and wait."""
