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

// announcement returns what the target says of itself now.
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

// announceLoop announces at once, every interval and when the state changes.
// It stays with one VM until that fails, then goes on to the next.
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
	at := 0
	for {
		if t.awake(ctx, t.current()) != nil {
			return
		}
		at = t.announceOnce(ctx, at)
		select {
		case <-stop:
			return
		case <-t.kick:
		case <-time.After(t.cfg.AnnounceInterval):
		}
	}
}

// announceOnce tries each VM at most once and returns the one that accepted.
func (t *Target) announceOnce(ctx context.Context, at int) int {
	body, err := json.Marshal(t.announcement())
	if err != nil {
		return at
	}
	for range t.cfg.Announce {
		if t.post(ctx, t.cfg.Announce[at], body) == nil {
			return at
		}
		at = (at + 1) % len(t.cfg.Announce)
	}
	return at
}

func (t *Target) post(ctx context.Context, vm string, body []byte) error {
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

// announceSoon asks for an announcement now; requests are merged.
func (t *Target) announceSoon() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}
