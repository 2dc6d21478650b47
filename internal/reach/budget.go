package reach

import "time"

// Parameters of a LinkBudget.
const (
	// usableShare is the share of a VM's link that requests may use while it relays
	// some of them. Beyond it, packets queue.
	usableShare = 0.85
	// relayingWindow is how long after the last relayed request a VM counts as
	// relaying.
	relayingWindow = time.Second
	// burst is the time for which a VM may save unused capacity.
	burst = 250 * time.Millisecond
	// sizeWeight is the weight of a new observation in the mean size of requests.
	sizeWeight = 0.05
	// initialSize is the assumed size of a request with its response, in bytes,
	// before the first observation.
	initialSize = 4 << 10
	// headBytes is the size of the heads of a request and its response.
	headBytes = 1 << 10
)

// LinkBudget limits the requests that a VM serves to the capacity of its network
// link while it relays requests of others. Each request passes the link with its
// response once in each direction, whether it is the VM's own or relayed.
//
// Both count alike: a relayed request that is refused returns as another VM's own,
// at the price of a new connection.
type LinkBudget struct {
	// rate is in bytes per second; 0 means no limit.
	rate   float64
	tokens float64
	last   time.Duration
	// relayedAt is when the last request of another VM was counted.
	relayedAt time.Duration
	relayed   bool
	// sizes holds the mean size of requests with their responses, by service.
	sizes map[string]float64
}

// NewLinkBudget returns a budget for a link with a capacity in bytes per second; 0
// means no limit.
func NewLinkBudget(capacity float64) *LinkBudget {
	rate := usableShare * capacity
	return &LinkBudget{rate: rate, tokens: rate * burst.Seconds(), sizes: make(map[string]float64)}
}

// AdmitOwn counts a request of the VM's own callers and reports whether there is
// capacity for it. There always is while the VM relays nothing.
func (b *LinkBudget) AdmitOwn(now time.Duration, service string) bool {
	return b.admit(now, service, !b.relayed || now-b.relayedAt >= relayingWindow)
}

// AdmitRelayed counts a request of another VM and reports whether there is capacity
// for it.
func (b *LinkBudget) AdmitRelayed(now time.Duration, service string) bool {
	b.relayed, b.relayedAt = true, now
	return b.admit(now, service, false)
}

func (b *LinkBudget) admit(now time.Duration, service string, always bool) bool {
	saved := b.rate * burst.Seconds()
	b.tokens = min(b.tokens+b.rate*(now-b.last).Seconds(), saved)
	b.last = now
	if b.rate > 0 && b.tokens < 0 && !always {
		return false
	}
	b.tokens = max(b.tokens-b.size(service), -saved)
	return true
}

// Observe records the size in bytes of the bodies of a request and its response.
func (b *LinkBudget) Observe(service string, bytes int64) {
	size := b.size(service)
	b.sizes[service] = size + sizeWeight*(float64(bytes)+headBytes-size)
}

func (b *LinkBudget) size(service string) float64 {
	if size, ok := b.sizes[service]; ok {
		return size
	}
	return initialSize
}
