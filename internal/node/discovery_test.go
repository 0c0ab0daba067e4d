package node

import (
	"fmt"
	"log/slog"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// watchStartRecorder is a watcher that records its initial state.
type watchStartRecorder struct {
	listWatcher
	generation int64
	restart    bool
}

func (r *watchStartRecorder) SetInitialState(generation int64, restart bool) {
	r.generation, r.restart = generation, restart
	r.listWatcher.SetInitialState(generation, restart)
}

func recordWatchStart(n *Node) *watchStartRecorder {
	r := &watchStartRecorder{listWatcher: n.watcher}
	n.watcher = r
	return r
}

// applyList applies a list as the loop does.
func applyList(n *Node, l discovery.List) {
	n.handleListEvent(discovery.Event{Update: n.directory.Diff(l), HasUpdate: true})
}

// A sender whose state folder has been in use is restarted, so its initial list may be stale. This holds even if the
// journal is empty, because of a rewrite without entries or because there was never a message. With an empty folder it
// is a first start.
func TestRestartIsDetectedFromStateFolder(t *testing.T) {
	cfg, err := ParseConfig(configText(newTestPlatform(t), discovery.List{Generation: 1}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	for i, want := range []bool{false, true, true, true} {
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		start := recordWatchStart(n)
		n.resumeFromJournal()
		if stale := n.nextEvents[0].(logic.ListUpdate).Stale; stale != want || start.restart != want || start.generation != 1 {
			t.Errorf("stale %v, watch starts with %+v, want %v", stale, start, want)
		}
		switch i { // 0: nothing is written
		case 1:
			mustAppend(t, n.journal, record{Op: opDone, ID: "m"})
		case 2:
			if err := n.journal.Compact(); err != nil || n.journal.size != 0 {
				t.Fatalf("%d bytes after a rewrite without entries, %v", n.journal.size, err)
			}
		}
		n.close()
	}
}

// The cost of a list update is linear in its rows and in the calls in flight, not in their product.
func TestListUpdateCostDoesNotMultiplyRowsByCalls(t *testing.T) {
	const rows = 20000
	cost := func(calls int) time.Duration {
		cfg, err := ParseConfig(configText(newTestPlatform(t), discovery.List{}))
		if err != nil {
			t.Fatal(err)
		}
		cfg.StateDir = t.TempDir()
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		defer n.close()
		for i := range calls { // each to an endpoint that is not on the list
			n.held[strconv.Itoa(i)] = &heldMessage{call: &call{endpoint: logic.EndpointID(rows + 1 + i), state: new(atomic.Int32)}, cancelCall: func(error) {}}
		}
		least := time.Hour
		for i := range 3 {
			l := discovery.List{Generation: int64(i), Reset: true}
			for k := range rows {
				l.Instances = append(l.Instances, discovery.Instance{ID: strconv.Itoa(k), HostPort: fmt.Sprintf("h:%d", i+1), Lifecycle: "up"})
			}
			u := n.directory.Diff(l)
			at := time.Now()
			n.handleListEvent(discovery.Event{Update: u, HasUpdate: true})
			least = min(least, time.Since(at))
		}
		return least
	}
	if none, many := cost(0), cost(5000); many > 4*none+20*time.Millisecond {
		t.Errorf("%v with no calls in flight, %v with 5000", none, many)
	}
}

// The size limit of a list follows from the memory limit.
func TestMaxListSizeFollowsMemory(t *testing.T) {
	for _, x := range []struct {
		memory float64
		want   int64
	}{{0, 4 << 20}, {16, 4 << 20}, {192, 24 << 20}, {256, 32 << 20}} {
		if got := (Limits{MemoryMB: x.memory}).maxListBytes(); got != x.want {
			t.Errorf("%v MB: %d bytes, want %d", x.memory, got, x.want)
		}
	}
}
