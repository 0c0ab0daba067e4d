package node

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Calls of a fleet add up: among many senders a watch holds long, and after news each asks again after a pause of its
// own, the first time too. Few senders ask at once.
func TestWatchApart(t *testing.T) {
	for _, senders := range []int{2, 10} {
		p := newPlatform(t)
		p.list = List{Generation: 3, Reset: true}
		events := make(chan any, 8)
		d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), senders, 5, slog.New(slog.DiscardHandler), events)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); d.watch(ctx) }()
		await(t, p.asked, "first call")
		await(t, events, "news")
		at := time.Now()
		query := await(t, p.asked, "second call")
		least, hold := time.Duration(0), "hold_ms=4000"
		if senders >= apartFrom {
			least, hold = time.Duration(senders)*apartEach*80/100, "hold_ms=18000"
		}
		if gap := time.Since(at); gap < least || !strings.HasSuffix(query, hold) {
			t.Errorf("%d senders: %s after %v, want %s after %v at least", senders, query, gap, hold, least)
		}
		stop()
		<-done
	}
}
