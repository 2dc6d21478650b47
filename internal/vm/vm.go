// Package vm runs one VM of the system: it connects the control goroutine, the
// links to other VMs, the dispatcher, the record holder and the entry.
package vm

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingoreel/flamingoreel/internal/admission"
	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/dispatcher"
	"github.com/flamingoreel/flamingoreel/internal/entry"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
)

// Config are the settings of one VM.
type Config struct {
	Name       string
	Region     string
	DataCentre string
	// Cluster separates deployments: links of another cluster are refused.
	Cluster    string
	LinkAddr   string
	CallerAddr string
	// Peers maps the names of all VMs known from the settings to link addresses.
	Peers map[string]string
	// Voters names the VMs that hold the replicated log.
	Voters []string
	// DataDir is the data directory of a voter; empty elsewhere.
	DataDir string
	// Bootstrap lets the voters form a new log when all of them are empty.
	Bootstrap bool
	// Incarnation is unique for each start of the process and grows.
	Incarnation uint64
	Seed        uint64
	// MaxRecordBytes bounds the memory for request records.
	MaxRecordBytes int

	// Listener and Dial replace TCP when they are not nil.
	Listener   net.Listener
	DialLink   func(ctx context.Context, addr string) (net.Conn, error)
	DialTarget func(ctx context.Context, network, addr string) (net.Conn, error)

	Logger   log.Interface
	Registry prometheus.Registerer
}

// VM is one running VM.
type VM struct {
	cfg     Config
	started time.Time

	links      *link.Node
	store      *record.Store
	records    *record.Coordinator
	dispatcher *dispatcher.Dispatcher
	entry      *entry.Entry
	loop       *loop

	table    atomic.Pointer[control.Table]
	version  atomic.Uint64
	lease    lease
	stopping atomic.Bool
	// relays is the number of relayed requests in flight at this VM.
	relays atomic.Int64

	announcements announcements
	probes        probes
	leader        leaderHint
	background    sync.WaitGroup
	cancel        context.CancelFunc
}

// defaultRecordBytes bounds the memory for request records by default.
const defaultRecordBytes = 64 << 20

// New starts a VM. It serves as soon as it has a lease; Close ends it at once,
// Drain before Close ends it gracefully.
func New(cfg Config) (*VM, error) {
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = defaultRecordBytes
	}
	v := &VM{cfg: cfg, started: time.Now()}
	v.table.Store(control.NewState().Table())
	links, err := link.Listen(link.Config{
		Cluster: cfg.Cluster, Name: cfg.Name, Addr: cfg.LinkAddr,
		Listener: cfg.Listener, Dial: cfg.DialLink,
		Priority: priorityMethods, Seed: cfg.Seed, Logger: cfg.Logger,
	})
	if err != nil {
		return nil, err
	}
	v.links = links
	for name, addr := range cfg.Peers {
		links.SetPeer(name, addr)
	}
	v.buildTraffic()
	if err := v.buildControl(); err != nil {
		_ = links.Close()
		return nil, err
	}
	v.registerMetrics()
	v.registerHandlers()
	v.start()
	return v, nil
}

// buildTraffic creates the parts that carry requests.
func (v *VM) buildTraffic() {
	v.store = record.NewStore(time.Now().UnixMilli(), v.cfg.MaxRecordBytes)
	v.records = record.NewCoordinator(v.cfg.Name, v.cfg.Incarnation, v.links)
	v.records.SetFenced(v.replaced)
	v.dispatcher = dispatcher.New(dispatcher.Config{
		VM: v.cfg.Name, Incarnation: v.cfg.Incarnation, Region: v.cfg.Region,
		Now: v.now, LeaseValid: v.LeaseValid, Table: v.Table, Records: v.records,
		ShareSuspicions: v.shareSuspicions,
		Dial:            v.cfg.DialTarget, Logger: v.cfg.Logger, Registry: v.cfg.Registry,
	})
	v.entry = entry.New(entry.Config{
		Region: v.cfg.Region, DataCentre: v.cfg.DataCentre, Router: v, Records: v.records, Now: v.now,
		Seed: v.cfg.Seed, Logger: v.cfg.Logger, Registry: v.cfg.Registry,
	})
}

// start runs the goroutines of the VM.
func (v *VM) start() {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.links.Serve()
	for _, run := range []func(context.Context){v.loop.run, v.heartbeats, v.recoverRecords, v.sweepRecords, v.loop.formReplica} {
		v.background.Add(1)
		go func() {
			defer v.background.Done()
			run(ctx)
		}()
	}
}

// now is the monotonic time since the VM started.
func (v *VM) now() time.Duration { return time.Since(v.started) }

// Table returns the routing table in force.
func (v *VM) Table() *control.Table { return v.table.Load() }

// LeaseValid reports whether this VM may take and send work.
func (v *VM) LeaseValid() bool { return v.lease.valid(v.now()) }

// Entry returns the caller's side of the VM.
func (v *VM) Entry() *entry.Entry { return v.entry }

// Relay implements entry.Router.
func (v *VM) Relay(ctx context.Context, vm string, req *relay.Request) (*relay.Reply, *errkind.Error) {
	if vm == v.cfg.Name {
		return v.serveRelay(ctx, req)
	}
	payload, err := relay.Encode(req)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "the request cannot be encoded")
	}
	data, err := v.links.Call(ctx, vm, relay.Method, payload)
	if err != nil {
		return nil, errkind.From(err)
	}
	reply := new(relay.Reply)
	if err := relay.Decode(data, reply); err != nil {
		return nil, errkind.Wrap(errkind.LinkLost, err, "the answer of VM %s cannot be decoded", vm)
	}
	return reply, nil
}

// serveRelay runs a request that an entry relayed to this VM.
func (v *VM) serveRelay(ctx context.Context, req *relay.Request) (*relay.Reply, *errkind.Error) {
	v.relays.Add(1)
	defer v.relays.Add(-1)
	return v.dispatcher.Serve(ctx, req)
}

// replaced reports whether a later incarnation of the VM is registered.
func (v *VM) replaced(name string, incarnation uint64) bool {
	peer, ok := v.Table().VM(name)
	return ok && peer.Incarnation > incarnation
}

// shareSuspicions sends crash suspicions to all other VMs.
func (v *VM) shareSuspicions(s []admission.Suspicion) {
	payload, err := relay.Encode(s)
	if err != nil {
		return
	}
	for _, peer := range v.Table().VMs() {
		if peer.Name != v.cfg.Name {
			v.links.Send(peer.Name, relay.SuspicionMethod, payload)
		}
	}
}

// drainPoll is the time between two looks at what is left during a drain.
const drainPoll = 10 * time.Millisecond

// Drain makes the VM leave gracefully: it reports that it stops, waits until
// its dispatch contracts have moved and no request is in flight, or ctx ends.
func (v *VM) Drain(ctx context.Context) {
	v.stopping.Store(true)
	v.cfg.Logger.WithField("vm", v.cfg.Name).Info("draining")
	for v.dispatcher.Contracts() > 0 && clock.Pause(ctx, drainPoll) {
	}
	for v.relays.Load() > 0 && clock.Pause(ctx, drainPoll) {
	}
	v.dispatcher.WaitBackground(ctx)
	v.records.Wait(ctx)
}

// Stopping reports whether the VM is draining.
func (v *VM) Stopping() bool { return v.stopping.Load() }

// Close ends the VM at once.
func (v *VM) Close() {
	v.cancel()
	v.background.Wait()
	v.dispatcher.Close()
	_ = v.links.Close()
	v.loop.close()
}
