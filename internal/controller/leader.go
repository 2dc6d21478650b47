package controller

import "sync"

// knownLeader is the link address of the leader that a VM follows, "" while it
// knows none.
type knownLeader struct {
	mu   sync.Mutex
	addr string
	// changed is closed when the leader changes; nil while nobody waits for that.
	changed chan struct{}
}

// get returns the leader.
func (k *knownLeader) get() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.addr
}

// follow returns the leader and a channel that closes when there is another one.
func (k *knownLeader) follow() (string, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.addr, k.changed
}

// set makes a VM the leader.
func (k *knownLeader) set(addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(addr)
}

// replace makes a VM the leader if another one is that still.
func (k *knownLeader) replace(old, addr string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.addr == old {
		k.put(addr)
	}
}

func (k *knownLeader) put(addr string) {
	if k.addr != addr && k.changed != nil {
		close(k.changed)
		k.changed = nil
	}
	k.addr = addr
}
