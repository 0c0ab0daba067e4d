package node

import (
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"crossdeal/internal/discovery"
	"crossdeal/logic"
)

// A call for the list has failed, and a sender of many leaves discovery alone for seconds. A move in this time is
// followed at once: what the new address has to tell counts as told 4 s after the signal.
func TestDiscoveryMoveWithoutActiveWatch(t *testing.T) {
	p, q := newTestPlatform(t), newTestPlatform(t)
	p.down = true
	q.list = discovery.List{Generation: 9, Reset: true, Instances: []discovery.Instance{}}
	cfg, err := ParseConfig([]byte(strings.Replace(string(configText(p, discovery.List{Generation: 1, Reset: true})), `"balancers":1,`, `"balancers":300,`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	failed := make(chan bool, 1)
	n := startNodeWithConfig(t, cfg, t.TempDir(), func(n *Node) {
		n.restarted = true // no spread of first calls
		n.log = slog.New(notifyOnLogLine("msg=discovery ", failed))
		n.watcher = n.newDiscoveryClient()
	})
	await(t, failed, "failure")
	first := 1 * time.Second // the module's pause is 2 s at least
	at := time.Now()
	n.MoveDiscovery(strings.TrimPrefix(q.server.URL, "http://"))
	if query := await(t, q.listRequests, "call to the new address"); query != "" || time.Since(at) > first {
		t.Errorf("%q %v after the move, want the whole list at once", query, time.Since(at))
	}
	n.stop()
	await(t, n.done, "end of the sender")
}

// notifyOnLogLine tells of lines that hold a text.
func notifyOnLogLine(text string, seen chan<- bool) slog.Handler {
	return slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		if strings.Contains(string(b), text) {
			select {
			case seen <- true:
			default:
			}
		}
		return len(b), nil
	}), nil)
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// The failure of a call to the old address may come to the loop after the word of the move: the module hears of both.
func TestDiscoveryMoveReportedWithLateFailure(t *testing.T) {
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
	n.watching = true
	n.MoveDiscovery("127.0.0.1:1")
	n.handleListEvent(discovery.Event{Err: io.ErrUnexpectedEOF})
	if len(n.nextEvents) != 2 || n.nextEvents[1] != logic.Event(logic.DiscoveryMoved{}) {
		t.Errorf("the module hears %v", n.nextEvents)
	}
}
