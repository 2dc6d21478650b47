package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/flamingoreel/flamingoreel/internal/target"
)

// announcement returns the target's current announcement.
func (t *Target) announcement() target.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Announcement{
		ID:           t.cfg.ID,
		Service:      t.cfg.Service,
		DataCentre:   t.cfg.DataCentre,
		Address:      t.cfg.Addr,
		Incarnation:  t.run.number,
		Slots:        t.cfg.Slots,
		Connections:  t.cfg.Connections,
		ChecksGrants: !t.cfg.IgnoreGrants,
		State:        t.run.state(),
	}
}

func (t *Target) startAnnouncing() {
	stop, done := make(chan struct{}), make(chan struct{})
	t.mu.Lock()
	t.announceStop, t.announceDone = stop, done
	t.mu.Unlock()
	go t.announceLoop(stop, done)
}

func (t *Target) stopAnnouncing() {
	t.mu.Lock()
	stop, done := t.announceStop, t.announceDone
	t.announceStop = nil
	t.mu.Unlock()
	if stop != nil {
		close(stop)
		<-done
	}
}

// announceLoop sends an announcement immediately, at every interval and when
// the state changes. It uses one VM until that fails, then the next one.
func (t *Target) announceLoop(stop, done chan struct{}) {
	defer close(done)
	if len(t.cfg.Announce) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	vmIndex := 0
	for {
		if t.waitUnfrozen(ctx, t.current()) != nil {
			return
		}
		vmIndex = t.announceOnce(ctx, vmIndex)
		select {
		case <-stop:
			return
		case <-t.announceNow:
		case <-time.After(t.cfg.AnnounceInterval):
		}
	}
}

// announceOnce tries each VM at most once, from vmIndex on, and returns the
// index of the VM that accepted.
func (t *Target) announceOnce(ctx context.Context, vmIndex int) int {
	body, err := json.Marshal(t.announcement())
	if err != nil {
		return vmIndex
	}
	for range t.cfg.Announce {
		if t.postAnnouncement(ctx, t.cfg.Announce[vmIndex], body) == nil {
			return vmIndex
		}
		vmIndex = (vmIndex + 1) % len(t.cfg.Announce)
	}
	return vmIndex
}

func (t *Target) postAnnouncement(ctx context.Context, vm string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, vm+target.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("announcement refused with status %d", resp.StatusCode)
	}
	return nil
}

// triggerAnnouncement makes announceLoop send an announcement now. Triggers that
// are pending at the same time cause one announcement.
func (t *Target) triggerAnnouncement() {
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}
