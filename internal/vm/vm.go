// Package vm runs one VM of the system: it connects the control goroutine, the
// links to other VMs, the dispatcher, the store of request records and the
// HTTP entry for callers.
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
	"github.com/flamingoreel/flamingoreel/internal/callers"
	"github.com/flamingoreel/flamingoreel/internal/clock"
	"github.com/flamingoreel/flamingoreel/internal/control"
	"github.com/flamingoreel/flamingoreel/internal/dispatcher"
	"github.com/flamingoreel/flamingoreel/internal/entry"
	"github.com/flamingoreel/flamingoreel/internal/errkind"
	"github.com/flamingoreel/flamingoreel/internal/link"
	"github.com/flamingoreel/flamingoreel/internal/record"
	"github.com/flamingoreel/flamingoreel/internal/relay"
)

// Config holds the settings of one VM.
type Config struct {
	Name       string
	Region     string
	DataCentre string
	// Cluster names the deployment; links to VMs of another cluster are refused.
	Cluster    string
	LinkAddr   string
	CallerAddr string
	// Peers maps the name of each VM in the settings to its link address.
	Peers map[string]string
	// Voters names the VMs whose replicas vote in the replicated control log.
	Voters []string
	// DataDir is the data directory of a voter; empty elsewhere.
	DataDir string
	// Bootstrap lets the voters create a new log when none of them has one.
	Bootstrap bool
	// Incarnation is unique for each start of the process and increases.
	Incarnation uint64
	Seed        uint64
	// MaxRecordBytes bounds the memory for request records.
	MaxRecordBytes int
	// Bodies reads the bodies of callers' requests; nil means without a limit on their memory.
	Bodies *callers.BodyReader

	// Listener, DialLink and DialTarget replace TCP when they are not nil.
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

// defaultRecordBytes is the default of Config.MaxRecordBytes.
const defaultRecordBytes = 64 << 20

// New starts a VM. It serves requests as soon as it has a lease. Close stops it
// immediately; calling Drain before Close stops it gracefully.
func New(cfg Config) (*VM, error) {
	if cfg.MaxRecordBytes == 0 {
		cfg.MaxRecordBytes = defaultRecordBytes
	}
	v := &VM{cfg: cfg, started: time.Now()}
	v.table.Store(control.NewState().Table())
	links, err := link.Listen(link.Config{
		Cluster: cfg.Cluster, Name: cfg.Name, Addr: cfg.LinkAddr,
		Listener: cfg.Listener, Dial: cfg.DialLink,
		PriorityMethods: priorityMethods, Seed: cfg.Seed, Logger: cfg.Logger,
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

// buildTraffic creates the components that process requests.
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
		Bodies: v.cfg.Bodies, Seed: v.cfg.Seed, Logger: v.cfg.Logger, Registry: v.cfg.Registry,
	})
}

// start starts the goroutines of the VM.
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

// now returns the monotonic time since the VM started.
func (v *VM) now() time.Duration { return time.Since(v.started) }

// Table returns the current routing table.
func (v *VM) Table() *control.Table { return v.table.Load() }

// LeaseValid reports whether this VM may accept requests and send them to
// targets.
func (v *VM) LeaseValid() bool { return v.lease.valid(v.now()) }

// Entry returns the component that serves callers over HTTP.
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
	data, err := v.links.Call(ctx, vm, relay.MethodRelay, payload)
	if err != nil {
		return nil, errkind.From(err)
	}
	reply := new(relay.Reply)
	if err := relay.Decode(data, reply); err != nil {
		return nil, errkind.Wrap(errkind.LinkLost, err, "the response of VM %s cannot be decoded", vm)
	}
	return reply, nil
}

// serveRelay dispatches a request that an entry relayed to this VM.
func (v *VM) serveRelay(ctx context.Context, req *relay.Request) (*relay.Reply, *errkind.Error) {
	v.relays.Add(1)
	defer v.relays.Add(-1)
	return v.dispatcher.Serve(ctx, req)
}

// replaced reports whether a later incarnation of the named VM is registered.
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
			v.links.Send(peer.Name, relay.MethodSuspicions, payload)
		}
	}
}

// drainPollInterval is the time between two checks during a drain of whether
// contracts or requests are left.
const drainPollInterval = 10 * time.Millisecond

// Drain prepares the VM for a graceful stop. Its heartbeats report that it is
// stopping. Drain returns when the dispatch contracts have moved to other VMs
// and no request is in flight, or when ctx ends.
func (v *VM) Drain(ctx context.Context) {
	v.stopping.Store(true)
	v.cfg.Logger.WithField("vm", v.cfg.Name).Info("draining")
	for v.dispatcher.ContractCount() > 0 && clock.Sleep(ctx, drainPollInterval) {
	}
	for v.relays.Load() > 0 && clock.Sleep(ctx, drainPollInterval) {
	}
	v.dispatcher.WaitBackground(ctx)
	v.records.Wait(ctx)
}

// Stopping reports whether the VM is draining.
func (v *VM) Stopping() bool { return v.stopping.Load() }

// Close stops the VM immediately.
func (v *VM) Close() {
	v.cancel()
	v.background.Wait()
	v.dispatcher.Close()
	_ = v.links.Close()
	v.loop.close()
}
