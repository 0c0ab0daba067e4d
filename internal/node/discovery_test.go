package node

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A fleet watches like few senders while discovery answers soon: what changes within 0.2 s of an answer that no further
// call follows counts as told, though nothing tells it. Once an answer with news is late, discovery is overbooked by
// such calls, and each of many senders pauses.
func TestWatchPausesWhereDiscoveryIsBusy(t *testing.T) {
	for _, senders := range []int{2, 10} {
		p := newPlatform(t)
		p.list = List{Generation: 3, Reset: true, Instances: []Instance{{ID: "a", Lifecycle: "up"}}}
		events := make(chan any, 8)
		d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), senders, 5, slog.New(slog.DiscardHandler), events)
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); d.watch(ctx) }()
		await(t, p.asked, "first call")
		await(t, events, "list")
		at := time.Now()
		await(t, p.asked, "watch")
		if gap := time.Since(at); gap > 100*time.Millisecond {
			t.Errorf("%d senders: the watch began %v after the list", senders, gap)
		}
		<-time.After(apartBusy + 50*time.Millisecond)
		p.set(func() { p.list = List{Generation: 4, Instances: []Instance{{ID: "a", Lifecycle: "up"}}} })
		await(t, events, "news")
		at = time.Now()
		query := await(t, p.asked, "next watch")
		least, hold := time.Duration(0), "from=4&hold_ms=4000"
		if senders >= apartFrom {
			least, hold = time.Duration(senders)*apartEach*90/100, "from=4&hold_ms=18000"
		}
		if gap := time.Since(at); gap < least || least == 0 && gap > 100*time.Millisecond || query != hold {
			t.Errorf("%d senders: %s after %v, want %s after %v at least", senders, query, gap, hold, least)
		}
		stop()
		<-done
	}
}

// A call that is out for longer than discovery turns calls away waits for news, and the loop is told so.
func TestWatchThatWaitsIsTold(t *testing.T) {
	p := newPlatform(t)
	p.list = List{Generation: 3, Reset: true}
	events := make(chan any, 8)
	d := newDiscovery(strings.TrimPrefix(p.srv.URL, "http://"), 2, 5, slog.New(slog.DiscardHandler), events)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); d.watch(ctx) }()
	if ev := await(t, events, "list").(listEvent); ev.watched {
		t.Error("a list is told as a watch that waits")
	}
	at := time.Now()
	if ev := await(t, events, "a watch that waits").(listEvent); !ev.watched || time.Since(at) < 2*time.Second {
		t.Errorf("%+v after %v, want a watch that waits after the 2 s in which it may be turned away", ev, time.Since(at))
	}
	stop()
	<-done
}

// Whatever the number of senders, the answer after a pause comes before what changed since the last one counts as told
// for longer than a drain's grace.
func TestAnswersComeWithinListAge(t *testing.T) {
	for _, senders := range []int{apartFrom, 36, 80, 1 << 40} {
		d := newDiscovery("127.0.0.1:1", senders, 5, slog.New(slog.DiscardHandler), nil)
		if longest := d.apart*108/100 + 2*time.Second; d.apart <= 0 || longest > listAge+time.Second {
			t.Errorf("%d senders: an answer may come after %v", senders, longest)
		}
	}
}
