package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Sizes and times of a soak.
const (
	// soakNetwork is the third octet of the VMs' addresses.
	soakNetwork       = 10
	soakTargets       = 3
	soakCallers       = 8
	soakDuration      = 6 * time.Second
	soakFaultInterval = 350 * time.Millisecond
	soakDeadline      = 2 * time.Second
	// soakPause and soakLongPause are the longest times between two requests of a
	// caller. After a long pause it uses a connection that its entry VM is about to
	// close.
	soakPause     = 15 * time.Millisecond
	soakLongPause = 1500 * time.Millisecond
	// soakRecovery is how long after the last fault all entry VMs must serve again:
	// the users allow 15 s.
	soakRecovery = 15 * time.Second
	// soakHolderPoll is the interval at which the keys that targets hold are checked.
	soakHolderPoll = 10 * time.Millisecond
)

// soakSeeds returns the seeds that FLAMINGOREEL_FAULT_SEEDS=FIRST:COUNT names, or
// the default seeds. A seed that once failed goes to the front of the default
// seeds, with the cause of the failure.
func soakSeeds(t *testing.T) []uint64 {
	spec := os.Getenv("FLAMINGOREEL_FAULT_SEEDS")
	if spec == "" {
		return []uint64{
			1, // SIGHUP ended VMs that drained, and cut their requests
			2,
		}
	}
	first, count, _ := strings.Cut(spec, ":")
	from, err := strconv.ParseUint(first, 10, 32)
	if err != nil {
		t.Fatalf("FLAMINGOREEL_FAULT_SEEDS: %v", err)
	}
	n, err := strconv.Atoi(count)
	if err != nil {
		t.Fatalf("FLAMINGOREEL_FAULT_SEEDS: %v", err)
	}
	var seeds []uint64
	for i := range n {
		seeds = append(seeds, from+uint64(i))
	}
	return seeds
}

// Tests the guarantees to callers and operators under overlapping random faults of
// processes, connections and heartbeats: no POST runs twice, a refused request did
// not run, responses belong to their requests, a key has at most one holder,
// confirmed changes persist, service resumes, and planned stops, signals and changes
// of the settings cut no request.
func TestFaultSoak(t *testing.T) {
	for _, seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { newSoak(t, seed).run() })
	}
}

// soak is one run of the test.
type soak struct {
	*deployment
	rng     *rand.Rand
	targets []*platformTarget
	proxies []*faultyProxy
	// paths breaks the paths of single entry VMs; nil if there are too few CPUs.
	paths *targetPaths
	// faults counts the faults that are not undone yet.
	faults sync.WaitGroup

	mu sync.Mutex
	// faulty holds the processes with a fault. The control VMs share one entry.
	faulty  map[string]bool
	results []result
	// disruptions holds when processes had a fault, by name.
	disruptions map[string][]disruption
	// confirmed is the number of the operator's changes that were confirmed.
	confirmed int
	crashes   crashLog
	// spans are the times with unplanned faults.
	spans []span
}

// result is the response that a caller got; status 0 means none.
type result struct {
	id, method string
	entry      int
	status     int
	body, want string
	// err is why there was no response.
	err error
	// written is when the whole request was written; zero if it was not.
	sent, written, ended time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{deployment: newDeploymentIn(t, soakNetwork, soakPlaces), rng: rand.New(rand.NewPCG(seed, 11)), faulty: make(map[string]bool)}
	if len(allowedCPUs(t)) >= minPathCPUs {
		s.paths = newTargetPaths(t, s.deployment)
	}
	for _, service := range []string{"ledger", "reports"} {
		for i := range soakTargets {
			proxy := newProxy(t)
			proxy.paths = s.paths
			target := startPlatformTarget(t, &platformTarget{
				id: fmt.Sprint(service, "-", i), service: service, zone: fmt.Sprint("z", i%2+1), sharded: service == "reports",
				controls: s.controls, serviceTime: 20 * time.Millisecond, announcedAddr: proxy.listener.Addr().String(), proxy: proxy, paths: s.paths, crashes: &s.crashes,
			})
			s.targets, s.proxies = append(s.targets, target), append(s.proxies, proxy)
		}
	}
	s.callAny("config.patch", "", firstItems)
	s.awaitReady()
	return s
}

func (s *soak) run() {
	s.awaitService(soakRecovery)
	callers, stopCallers := context.WithCancel(context.Background())
	var background sync.WaitGroup
	for i := range soakCallers {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		background.Go(func() { s.call(callers, i, rng) })
	}
	background.Go(func() { s.operate(callers) })
	background.Go(func() { s.watchHolders(callers) })
	for end := time.Now().Add(soakPlannedDuration); time.Now().Before(end); time.Sleep(soakFaultInterval) {
		s.planWork()
	}
	for end := time.Now().Add(soakDuration); time.Now().Before(end); time.Sleep(soakFaultInterval) {
		s.inject()
		s.announce()
	}
	s.faults.Wait()
	s.awaitService(soakRecovery)
	stopCallers()
	background.Wait()
	s.checkResults()
	s.checkChanges()
	s.checkAnnouncements()
}

// awaitService waits until every entry VM serves POST requests and sharded requests.
func (s *soak) awaitService(limit time.Duration) {
	s.t.Helper()
	for entry := range s.entries {
		n := 0
		s.eventually(fmt.Sprintf("service at entry %d", entry), limit, func() bool {
			n++
			post, _ := s.request(entry, "POST", "/post/x", fmt.Sprintf("await-%d-%d-%d", entry, n, time.Now().UnixNano()), "")
			pull, _ := s.request(entry, "GET", "/pull/x", fmt.Sprintf("await-k-%d-%d", entry, n), strconv.Itoa(n*7919%65536))
			return post == http.StatusOK && pull == http.StatusOK
		})
	}
}

// call sends the requests of one caller over keep-alive connections until ctx ends.
func (s *soak) call(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Timeout: 2 * soakDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ctx.Err() == nil; n++ {
		entry := rng.IntN(len(s.entries))
		id := entryID(entry, fmt.Sprintf("c%d-%d", caller, n))
		method, path, key := "POST", "/post/"+id, ""
		if rng.IntN(2) == 0 {
			method, path, key = "GET", "/pull/"+id, strconv.Itoa(rng.IntN(65536))
		}
		r := s.send(client, entry, id, method, path, key)
		s.mu.Lock()
		s.results = append(s.results, r)
		s.mu.Unlock()
		pause := soakPause
		if caller%4 == 0 {
			pause = soakLongPause
		}
		time.Sleep(time.Duration(rng.Int64N(int64(pause))))
	}
}

func (s *soak) send(client *http.Client, entry int, id, method, path, key string) result {
	var written atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			now := time.Now()
			written.Store(&now)
		}
	}}
	r := result{id: id, method: method, entry: entry, want: method + " " + path + " dues", sent: time.Now()}
	s.exchange(httptrace.WithClientTrace(context.Background(), trace), client, &r, path, key)
	r.ended = time.Now()
	if at := written.Load(); at != nil {
		r.written = *at
	}
	return r
}

// exchange sends the request of a result and completes the result with the response.
func (s *soak) exchange(ctx context.Context, client *http.Client, r *result, path, key string) {
	// The body has no GetBody, so that the HTTP client never retries the request.
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+s.entries[r.entry]+path, io.NopCloser(strings.NewReader("dues")))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.ContentLength = int64(len("dues"))
	req.Host = "a.example"
	req.Header.Set("Flamingoreel-Request-Id", r.id)
	req.Header.Set("Flamingoreel-Deadline-Ms", strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Flamingoreel-Shard-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		r.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.body = resp.StatusCode, string(body)
	s.noteLeave(r.id, resp)
}

// operate adds routes one after another and counts the confirmed ones.
func (s *soak) operate(ctx context.Context) {
	for n := 1; ctx.Err() == nil; {
		if s.change(n) {
			s.mu.Lock()
			s.confirmed = n
			s.mu.Unlock()
			n++
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// change sends one change to a control VM and reports whether it was confirmed.
func (s *soak) change(n int) bool {
	body := fmt.Sprintf(`{"upsert":{"routes":{"n%d":{"hostname":"a.example","path_prefix":"/n%d/","kind":"safe","timeout":"3s",`+
		`"target_latency":"800ms","service":"ledger","max_attempts":2,"version":"%08x"}}}}`, n, n, n)
	status, _ := callControl(s.controls[n%len(s.controls)], "config.patch", "", []byte(body))
	if status == http.StatusOK {
		return true
	}
	for _, control := range s.controls {
		if status, _ := callControl(control, "config.patch", "", []byte(body)); status == http.StatusOK {
			return true
		}
	}
	return false
}

// watchHolders fails the test when two targets hold a key at the same time.
func (s *soak) watchHolders(ctx context.Context) {
	for ctx.Err() == nil {
		holders := make(map[string][][2]int)
		for _, target := range s.targets {
			target.mu.Lock()
		}
		now := time.Now()
		for _, target := range s.targets {
			holders[target.id] = target.held(now)
		}
		for _, target := range s.targets {
			target.mu.Unlock()
		}
		for a, rows := range holders {
			for b, others := range holders {
				if a < b && overlap(rows, others) {
					s.t.Errorf("%s and %s hold the same key: %v and %v", a, b, rows, others)
					return
				}
			}
		}
		time.Sleep(soakHolderPoll)
	}
}

func overlap(a, b [][2]int) bool {
	for _, x := range a {
		for _, y := range b {
			if x[0] <= y[1] && y[0] <= x[1] {
				return true
			}
		}
	}
	return false
}

// checkResults compares the responses to callers with the requests that targets ran.
func (s *soak) checkResults() {
	served := 0
	for _, r := range s.results {
		runs := 0
		for _, target := range s.targets {
			runs += target.executionsOf(r.id)
		}
		switch {
		case s.lost(r, runs):
			s.t.Errorf("request %s to entry %d ran %d times and got no answer %v after it was written at %v, without an unplanned fault: %v",
				r.id, r.entry, runs, r.ended.Sub(r.written), r.written, r.err)
		case r.method == "POST" && runs > 1:
			s.t.Errorf("post %s ran %d times", r.id, runs)
		case (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests) && r.method == "POST" && runs > 0:
			s.t.Errorf("post %s was refused with %d and ran", r.id, r.status)
		case r.status == http.StatusOK && (runs == 0 || r.body != r.want):
			s.t.Errorf("request %s ran %d times and got %q, want %q", r.id, runs, r.body, r.want)
		case r.status == http.StatusNotFound:
			s.t.Errorf("request %s got 404 for an existing route", r.id)
		case r.status == http.StatusOK:
			served++
		}
	}
	s.t.Logf("%d of %d requests served, %d changes confirmed", served, len(s.results), s.confirmed)
	if served*4 < len(s.results) {
		s.t.Errorf("%d of %d requests were served, want at least a quarter", served, len(s.results))
	}
}

// checkChanges checks that the configuration holds all confirmed changes.
func (s *soak) checkChanges() {
	var body []byte
	s.eventually("the items read back", soakRecovery, func() bool {
		var status int
		status, body = callControl(s.controls[0], "config.get", "", nil)
		return status == http.StatusOK
	})
	for n := 1; n <= s.confirmed; n++ {
		if !strings.Contains(string(body), fmt.Sprintf(`"/n%d/"`, n)) {
			s.t.Errorf("the confirmed route n%d is missing", n)
		}
	}
}

// inject starts one random fault that ends by itself.
func (s *soak) inject() {
	duration := 300*time.Millisecond + time.Duration(s.rng.IntN(1200))*time.Millisecond
	switch kind := s.rng.IntN(13); kind {
	case 0, 1, 2:
		// At most one of the three control VMs may be lost at a time.
		s.faultProcess("control", s.rng.IntN(len(s.controls)), kind, duration)
	case 3, 4, 5:
		s.faultProcess("entry", s.rng.IntN(len(s.entries)), kind-3, duration)
	case 6:
		target := s.targets[s.rng.IntN(len(s.targets))]
		s.undoAfter(4*duration, func() { target.heartbeatsOff.Store(true) }, func() { target.heartbeatsOff.Store(false) })
	case 7:
		end := s.unplanned(allEntries)
		s.proxies[s.rng.IntN(len(s.proxies))].reset()
		end()
	case 8:
		s.changeSettings()
	case 9, 10:
		s.isolateEntries()
	default:
		proxy := s.proxies[s.rng.IntN(len(s.proxies))]
		mode := proxyPaused + proxyMode(s.rng.IntN(3))
		s.undoAfter(duration, func() { proxy.setMode(mode) }, func() { proxy.setMode(proxyForwarding) })
	}
}

// undoAfter calls do, and undo after a duration.
func (s *soak) undoAfter(duration time.Duration, do, undo func()) {
	end := s.unplanned(allEntries)
	do()
	s.faults.Go(func() {
		time.Sleep(duration)
		undo()
		end()
	})
}

// Faults of a process.
const (
	faultKill = iota
	faultSuspend
	faultStop
)

// faultProcess kills, suspends or stops a process and restarts or resumes it.
func (s *soak) faultProcess(role string, index, fault int, duration time.Duration) {
	name := fmt.Sprint(role, "-", index)
	group, affected := name, index
	if role == "control" {
		group, affected = role, allEntries
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faulty[group] {
		return
	}
	s.faulty[group] = true
	cmd := s.procs[name]
	s.faults.Go(func() {
		defer s.noteDisruption(name)()
		switch fault {
		case faultKill:
			end := s.unplanned(affected)
			s.signal(name, syscall.SIGKILL)
			_ = cmd.Wait()
			time.Sleep(duration)
			s.restart(name)
			end()
		case faultSuspend:
			end := s.unplanned(affected)
			s.signal(name, syscall.SIGSTOP)
			time.Sleep(duration)
			s.signal(name, syscall.SIGCONT)
			end()
		default:
			s.stopUnderSignals(name, cmd, rng)
			s.restart(name)
		}
		// A control VM counts as lost until it has caught up.
		time.Sleep(time.Second)
		s.mu.Lock()
		delete(s.faulty, group)
		s.mu.Unlock()
	})
}

func (s *soak) signal(name string, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.procs[name].Process.Signal(sig); err != nil {
		s.t.Errorf("%v to %s: %v", sig, name, err)
	}
}

func (s *soak) restart(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deployment.run(name)
}
