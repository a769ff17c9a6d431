"""Configuration, validated; errors name the place and the remedy."""
