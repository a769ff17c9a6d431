"""The control address for operators: one command line and one reply per connection."""
