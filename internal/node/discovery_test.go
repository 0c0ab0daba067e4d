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

// watchStartRecorder is a watcher that keeps what it began with.
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

// applyList has the loop take a list.
func applyList(n *Node, l discovery.List) {
	n.handleListEvent(discovery.Event{Update: n.directory.Diff(l), HasUpdate: true})
}

// A sender that finds its folder in use comes back on a list that may be old, also if its journal is empty, as after a
// rewrite with nothing owed or with no message ever; one that finds an empty folder starts anew.
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
		if old := n.nextEvents[0].(logic.ListUpdate).Stale; old != want || start.restart != want || start.generation != 1 {
			t.Errorf("old %v, the watch begins with %+v, want %v", old, start, want)
		}
		switch i { // 0: nothing was ever written
		case 1:
			mustAppend(t, n.journal, record{Op: opDone, ID: "m"})
		case 2:
			if err := n.journal.Compact(); err != nil || n.journal.size != 0 {
				t.Fatalf("%d bytes after a rewrite with nothing owed, %v", n.journal.size, err)
			}
		}
		n.close()
	}
}

// A list costs what its rows and the calls that are out cost, not their product.
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
		for i := range calls { // each to an endpoint that the list does not have
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
		t.Errorf("%v with no calls out, %v with 5000", none, many)
	}
}

// How long a list may be follows from the memory that the platform gives.
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
