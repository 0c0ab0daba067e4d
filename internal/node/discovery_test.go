package node

import (
	"log/slog"
	"testing"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// startRecorder is a watcher that keeps what it began with.
type startRecorder struct {
	watcher
	generation int64
	restart    bool
}

func (r *startRecorder) Begin(generation int64, restart bool) {
	r.generation, r.restart = generation, restart
	r.watcher.Begin(generation, restart)
}

func recordStart(n *Node) *startRecorder {
	r := &startRecorder{watcher: n.disc}
	n.disc = r
	return r
}

// learn has the loop take a list.
func learn(n *Node, l discovery.List) {
	n.list(discovery.Event{Update: n.dir.Reduce(l), News: true})
}

// A sender that finds its folder in use comes back on a list that may be old, also if its journal is empty, as after a
// rewrite with nothing owed or with no message ever; one that finds an empty folder starts anew.
func TestJournalShowsARestart(t *testing.T) {
	cfg, err := ParseConfig(configText(newPlatform(t), discovery.List{Generation: 1}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	for i, want := range []bool{false, true, true, true} {
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		start := recordStart(n)
		n.resume()
		if old := n.next[0].(logic.Endpoints).Old; old != want || start.restart != want || start.generation != 1 {
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
