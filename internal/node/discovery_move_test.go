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

// After a failed request a sender of a large fleet pauses for seconds before the next one. If discovery moves in this
// pause, the sender requests the list from the new address at once: changes there count as known 4 s after the signal.
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
		n.restarted = true // no random delay of the first request
		n.log = slog.New(notifyOnLogLine("msg=discovery ", failed))
		n.watcher = n.newDiscoveryClient()
	})
	await(t, failed, "failed request")
	maxDelay := 1 * time.Second // the pause of the decision logic is at least 2 s
	movedAt := time.Now()
	n.MoveDiscovery(strings.TrimPrefix(q.server.URL, "http://"))
	if query := await(t, q.listRequests, "list request to the new address"); query != "" || time.Since(movedAt) > maxDelay {
		t.Errorf("request %q %v after the move, want one for the whole list at once", query, time.Since(movedAt))
	}
	n.stop()
	await(t, n.done, "end of the sender")
}

// notifyOnLogLine returns a log handler that signals on seen when a line contains text.
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

// If the failure of a request to the old address reaches the loop after the move, the decision logic gets both events.
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
		t.Errorf("events %v, want the failure and then the move", n.nextEvents)
	}
}
