// Package reach decides by which path an entry VM sends requests to targets: by
// its own connections, or through another entry VM while it reaches no target
// itself. Path is the state of the entry VM's own path, Peers selects the entry
// VM that relays a request. The package is deterministic and does no I/O: the
// time and random numbers are arguments, and the caller serialises all calls.
package reach
