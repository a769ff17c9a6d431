"""The core of a dispatcher: feeds events to the decision module, carries out its actions, ends messages."""
