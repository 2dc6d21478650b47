package controller

import "sync"

// knownLeader holds the link address of the leader that a VM follows, "" while
// none is known.
type knownLeader struct {
	mu   sync.Mutex
	addr string
	// changed is closed when the leader changes; nil while it has no receiver.
	changed chan struct{}
}

// get returns the address of the leader.
func (k *knownLeader) get() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.addr
}

// watch returns the address of the leader and a channel that is closed when the
// leader changes.
func (k *knownLeader) watch() (string, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.addr, k.changed
}

// set stores the address of the leader.
func (k *knownLeader) set(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setLocked(addr)
}

// compareAndSet stores the address of the leader if the stored one equals old.
func (k *knownLeader) compareAndSet(old, addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addr == old {
		k.setLocked(addr)
	}
}

// setLocked stores the address and closes changed. The caller holds mu.
func (k *knownLeader) setLocked(addr string) {
	if k.addr != addr && k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	k.addr = addr
}
