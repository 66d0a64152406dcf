"""The real call controller: sockets round the decision module. No decision is made here."""
